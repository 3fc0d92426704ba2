// Package tomlfile reads operators' TOML files strictly into plain structs: an unknown key is an error, and every
// error names the file, the line and the key. A File keeps the line numbers of all keys, so that checks after parsing
// can report errors the same way. The package has no other state and starts no goroutine. The readers of the fleet's
// configuration, of policies, scenarios and fault tests use it.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a parsed file: its path, and the line of each key.
type File struct {
	Path  string
	lines map[string]int // line numbers from 1, by key such as "a.b" or "a[1].b"
}

// Read decodes the file at path into a pointer to a plain struct. Struct fields without a toml tag match the key that
// equals their name, ignoring case.
func Read(path string, into any) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err // err already names the operation and the path
	}
	return Parse(path, data, into)
}

// Parse decodes data like Read. path is used only in errors.
func Parse(path string, data []byte, into any) (*File, error) {
	f := &File{Path: path, lines: map[string]int{}}
	if err := f.index(data); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return nil, locateDecodeError(path, err)
	}
	return f, f.checkDurations("", reflect.ValueOf(into))
}

// locateDecodeError adds the line and the key to an error of the decoder.
func locateDecodeError(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("%s:%d: %s: there is no such key", path, row, strings.Join(first.Key(), "."))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		at := strings.Join(wrong.Key(), ".")
		if at != "" {
			at += ": "
		}
		return fmt.Errorf("%s:%d: %s%s", path, row, at, strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}

// checkDurations returns an error for the first Duration below v that could not be parsed.
func (f *File) checkDurations(key string, v reflect.Value) error {
	if v.Type() == reflect.TypeFor[Duration]() {
		if d := v.Interface().(Duration); d.malformed != "" {
			return f.Errorf(key, "%s is no time such as \"250ms\" or \"1m30s\"", d.malformed)
		}
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return f.checkDurations(key, v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			if err := f.checkDurations(fmt.Sprintf("%s[%d]", key, i), v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if err := f.checkField(key, v.Type().Field(i), v.Field(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkField calls checkDurations for one field of the struct at key.
func (f *File) checkField(key string, field reflect.StructField, v reflect.Value) error {
	if field.Anonymous { // the keys of an embedded struct belong to the table of the outer struct
		return f.checkDurations(key, v)
	}
	if !field.IsExported() {
		return nil
	}
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name == "" {
		name = strings.ToLower(field.Name)
	}
	return f.checkDurations(join(key, name), v)
}

// index records the line of each key: "a.b", and "a[1].b" within the second [[a]].
func (f *File) index(data []byte) error {
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	elements := map[string]int{} // number of elements so far, by array of tables
	for parser.NextExpression() {
		expression := parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			parts, line := keyOf(&parser, expression.Key())
			table = tableKey(parts, elements)
			f.lines[table] = line
		case unstable.ArrayTable:
			parts, line := keyOf(&parser, expression.Key())
			last := len(parts) - 1
			array := join(tableKey(parts[:last], elements), parts[last])
			table = fmt.Sprintf("%s[%d]", array, elements[array])
			elements[array]++
			f.lines[table] = line
		case unstable.KeyValue:
			parts, line := keyOf(&parser, expression.Key())
			key := join(table, strings.Join(parts, "."))
			f.lines[key] = line
			f.indexValue(&parser, key, expression.Value())
		}
	}
	if err := parser.Error(); err != nil {
		line := 1
		var at *unstable.ParserError
		if errors.As(err, &at) {
			line = parser.Shape(parser.Range(at.Highlight)).Start.Line
		}
		return fmt.Errorf("%s:%d: %w", f.Path, line, err)
	}
	return nil
}

// tableKey joins the parts of a table's key. A part that names an array of tables refers to its latest element.
func tableKey(parts []string, elements map[string]int) string {
	table := ""
	for _, part := range parts {
		table = join(table, part)
		if n := elements[table]; n > 0 {
			table = fmt.Sprintf("%s[%d]", table, n-1)
		}
	}
	return table
}

// indexValue records the lines of the keys of inline tables, including those within arrays.
func (f *File) indexValue(parser *unstable.Parser, key string, value *unstable.Node) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			parts, line := keyOf(parser, children.Node().Key())
			name := join(key, strings.Join(parts, "."))
			f.lines[name] = line
			f.indexValue(parser, name, children.Node().Value())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			f.indexValue(parser, fmt.Sprintf("%s[%d]", key, i), children.Node())
		}
	}
}

// keyOf returns the parts of a dotted key, and the line of the first part.
func keyOf(parser *unstable.Parser, key unstable.Iterator) (parts []string, line int) {
	for key.Next() {
		node := key.Node()
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return parts, line
}

// join appends a key to the key of its table, which is empty for the root table.
func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// Line returns the line of a key. If the file lacks the key, it returns the line of the innermost table around the key;
// 1 if the file has none of these either.
func (f *File) Line(key string) int {
	for {
		if n := f.lines[key]; n > 0 {
			return n
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 1
		}
		key = key[:cut]
	}
}

// Has reports whether the file sets a key.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

// Errorf returns an error about a key, with the file and the line. The text should state what was found and what is
// allowed.
func (f *File) Errorf(key, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s: %s", f.Path, f.Line(key), key, fmt.Sprintf(format, args...))
}

// Duration is a time.Duration that a file gives as text with its unit, as in "250ms" or "1m30s". A bare number is an
// error because its unit is unknown.
type Duration struct {
	duration  time.Duration
	malformed string // the quoted text if it is not a duration; Parse returns an error for it
}

// NewDuration converts a time.Duration to a Duration, for defaults.
func NewDuration(d time.Duration) Duration { return Duration{duration: d} }

// UnmarshalText accepts the syntax of time.ParseDuration. It never returns an error, because the decoder would report
// the error without the line. Parse reports malformed durations instead.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	d.duration = duration
	if err != nil {
		d.malformed = fmt.Sprintf("%q", text)
	}
	return nil
}

// D converts the Duration to a time.Duration.
func (d Duration) D() time.Duration { return d.duration }

// String formats the Duration like a time.Duration.
func (d Duration) String() string { return d.duration.String() }
