// Package tomlfile reads operators' files strictly. Every error names the file, the line and the
// field, and a key that nobody knows is an error.
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

// File knows on which line each key of a file stands.
type File struct {
	Path  string
	lines map[string]int
}

// Read decodes the file at path into a pointer to a plain struct.
func Read(path string, into any) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the operation and the path
	}
	return Parse(path, data, into)
}

// Parse decodes data, which errors call path.
func Parse(path string, data []byte, into any) (*File, error) {
	f := &File{Path: path, lines: map[string]int{}}
	if err := f.index(data); err != nil {
		return nil, err
	}
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var strict *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		first := strict.Errors[0]
		row, _ := first.Position()
		return nil, fmt.Errorf("%s:%d: %s: there is no such key", path, row, strings.Join(first.Key(), "."))
	case errors.As(err, &wrong):
		row, _ := wrong.Position()
		at := strings.Join(wrong.Key(), ".")
		if at != "" {
			at += ": "
		}
		return nil, fmt.Errorf("%s:%d: %s%s", path, row, at, strings.TrimPrefix(wrong.Error(), "toml: "))
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, f.durations("", reflect.ValueOf(into))
}

// durations finds the first Duration that was no time.
func (f *File) durations(key string, v reflect.Value) error {
	if v.Type() == reflect.TypeFor[Duration]() {
		if d := v.Interface().(Duration); d.bad != "" {
			return f.Errorf(key, "%s is no time such as \"250ms\" or \"1m30s\"", d.bad)
		}
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return f.durations(key, v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			if err := f.durations(fmt.Sprintf("%s[%d]", key, i), v.Index(i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.Anonymous { // its keys stand among those around it
				if err := f.durations(key, v.Field(i)); err != nil {
					return err
				}
				continue
			}
			if !field.IsExported() {
				continue
			}
			name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
			if name == "" {
				name = strings.ToLower(field.Name)
			}
			if err := f.durations(join(key, name), v.Field(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// index notes the line of each key: "a.b", and "a[1].b" within the second [[a]].
func (f *File) index(data []byte) error {
	p := unstable.Parser{}
	p.Reset(data)
	table := ""
	count := map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			parts, line := keyOf(&p, e.Key())
			table = ""
			for i, part := range parts { // an inner table belongs to the latest of its outer ones
				table = join(table, part)
				last := i == len(parts)-1
				if n := count[table]; n > 0 && !(last && e.Kind == unstable.ArrayTable) {
					table = fmt.Sprintf("%s[%d]", table, n-1)
				}
			}
			if e.Kind == unstable.ArrayTable {
				count[table]++
				table = fmt.Sprintf("%s[%d]", table, count[table]-1)
			}
			f.lines[table] = line
		case unstable.KeyValue:
			parts, line := keyOf(&p, e.Key())
			key := join(table, strings.Join(parts, "."))
			f.lines[key] = line
			f.inner(&p, key, e.Value())
		}
	}
	if err := p.Error(); err != nil {
		line := 1
		var at *unstable.ParserError
		if errors.As(err, &at) {
			line = p.Shape(p.Range(at.Highlight)).Start.Line
		}
		return fmt.Errorf("%s:%d: %w", f.Path, line, err)
	}
	return nil
}

// inner notes the keys of inline tables, also within arrays.
func (f *File) inner(p *unstable.Parser, key string, v *unstable.Node) {
	it := v.Children()
	switch v.Kind {
	case unstable.InlineTable:
		for it.Next() {
			parts, line := keyOf(p, it.Node().Key())
			name := join(key, strings.Join(parts, "."))
			f.lines[name] = line
			f.inner(p, name, it.Node().Value())
		}
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			f.inner(p, fmt.Sprintf("%s[%d]", key, i), it.Node())
		}
	}
}

func keyOf(p *unstable.Parser, it unstable.Iterator) (parts []string, line int) {
	for it.Next() {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		parts = append(parts, string(n.Data))
	}
	return parts, line
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// Line is where a key stands, or the nearest of the tables around it that is written; 1 if none is.
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

// Errorf is an error about a key: what was found, and what is allowed.
func (f *File) Errorf(key, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s: %s", f.Path, f.Line(key), key, fmt.Sprintf(format, args...))
}

// Duration is a time with its unit, as in "250ms" or "1m30s". A bare number is an error: its unit
// would have to be guessed.
type Duration struct {
	v   time.Duration
	bad string // what is no time: Parse says where
}

// Of is a Duration of a time.Duration.
func Of(d time.Duration) Duration { return Duration{v: d} }

// UnmarshalText reads what time.ParseDuration takes. It leaves the error to Parse, which knows the
// line: the decoder does not say it for errors from here.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if d.v = v; err != nil {
		d.bad = fmt.Sprintf("%q", text)
	}
	return nil
}

// D is the same as a time.Duration.
func (d Duration) D() time.Duration { return d.v }

func (d Duration) String() string { return d.v.String() }
