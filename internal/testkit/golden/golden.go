// Package golden compares the output of an encoder with bytes that an earlier build wrote, so that stored data,
// messages on the wire and the bodies of the admin endpoints stay readable when identifiers are renamed. A golden file
// is written once and never again.
package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// createVariable is the environment variable that makes the tests write missing golden files. An existing file is
// never overwritten: if the bytes differ, the build is wrong, not the file.
const createVariable = "GOLDEN_CREATE"

// Path returns the path of the golden file with the given name, relative to the test's package.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Read returns the content of a golden file.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(Path(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Check compares the output of this build with a golden file.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	create(t, name, got)
	want := Read(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from what earlier builds wrote:\n%s", Path(name), difference(want, got))
	}
}

// CheckContains checks that lines contains every line of a golden file. It may contain further lines.
func CheckContains(t *testing.T, name string, lines []string) {
	t.Helper()
	create(t, name, []byte(strings.Join(lines, "\n")+"\n"))
	for _, l := range strings.Split(strings.TrimSpace(string(Read(t, name))), "\n") {
		if !slices.Contains(lines, l) {
			t.Errorf("%s: line %s is missing", Path(name), l)
		}
	}
}

func create(t *testing.T, name string, data []byte) {
	t.Helper()
	if os.Getenv(createVariable) == "" {
		return
	}
	if _, err := os.Stat(Path(name)); err == nil {
		return
	}
	if err := os.MkdirAll(filepath.Dir(Path(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(Path(name), data, 0o644); err != nil {
		t.Fatal(err)
	}
}

// difference describes the first line that differs.
func difference(want, got []byte) string {
	wantLines, gotLines := bytes.Split(want, []byte{'\n'}), bytes.Split(got, []byte{'\n'})
	for i := range max(len(wantLines), len(gotLines)) {
		var w, g []byte
		if i < len(wantLines) {
			w = wantLines[i]
		}
		if i < len(gotLines) {
			g = gotLines[i]
		}
		if !bytes.Equal(w, g) {
			return fmt.Sprintf("line %d\nwant %.400q\ngot  %.400q", i+1, w, g)
		}
	}
	return "no line differs"
}

// Codec is an encoding of one type.
type Codec[T any] struct {
	Name   string // of the golden file
	Encode func(T) ([]byte, error)
	Decode func([]byte) (T, error)
}

// Check checks that a value with every field set is encoded to the golden bytes, and that the golden bytes are decoded
// to that value.
func (c Codec[T]) Check(t *testing.T) {
	t.Helper()
	var value T
	Fill(&value)
	data, err := c.Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	Check(t, c.Name, data)
	if c.Decode == nil {
		return
	}
	old, err := c.Decode(Read(t, c.Name))
	if err != nil {
		t.Fatalf("%s can't be decoded: %v", Path(c.Name), err)
	}
	if !reflect.DeepEqual(old, value) {
		t.Errorf("%s is decoded to other values:\ngot  %+v\nwant %+v", Path(c.Name), old, value)
	}
}

// CheckJSON is Codec.Check for a type that is stored or shown as JSON, and read back.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	Codec[T]{
		Name:   name,
		Encode: encodeJSON[T],
		Decode: func(data []byte) (v T, err error) { return v, json.Unmarshal(data, &v) },
	}.Check(t)
}

// CheckBody fills the value that pointer points to, as FillEmbedded does, and compares its JSON with a golden file.
func CheckBody(t *testing.T, name string, pointer any, formerly map[string]string) {
	t.Helper()
	FillEmbedded(pointer, formerly)
	data, err := encodeJSON(pointer)
	if err != nil {
		t.Fatal(err)
	}
	Check(t, name, data)
}

func encodeJSON[T any](v T) ([]byte, error) { return json.MarshalIndent(v, "", " ") }

// CheckKeys compares the keys of a settings file, in lower case, with a golden file. A field without a tag has its
// name as its key, in any case.
func CheckKeys(t *testing.T, name string, settings reflect.Type) {
	t.Helper()
	Check(t, name, []byte(strings.ToLower(strings.Join(Keys(settings), "\n"))+"\n"))
}

// maxNesting bounds how deep a recursive type is filled.
const maxNesting = 3

// Fill sets every exported field below a pointer to a value derived from the path of encoded names that leads to the
// field. A struct's fields may therefore be renamed or reordered as long as their encoded names stay the same.
func Fill(pointer any) { FillEmbedded(pointer, nil) }

// FillEmbedded is like Fill, for types that are embedded without a tag and had other names when the golden file was
// written. formerly maps their current names to the earlier ones. An embedded type's name is not an encoded key, but
// it is part of the path from which values below it are derived.
func FillEmbedded(pointer any, formerly map[string]string) {
	f := filler{formerly: formerly}
	f.fill(reflect.ValueOf(pointer).Elem(), "", map[reflect.Type]int{})
}

type filler struct{ formerly map[string]string }

func (x filler) fill(v reflect.Value, path string, nesting map[reflect.Type]int) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("value" + path)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		fillInt(v, path)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(number(path) >> (64 - v.Type().Bits() + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number(path)>>48) / 4)
	case reflect.Pointer:
		if nesting[v.Type()] < maxNesting {
			v.Set(reflect.New(v.Type().Elem()))
			x.fill(v.Elem(), path, deeper(nesting, v.Type()))
		}
	case reflect.Slice:
		x.fillSlice(v, path, nesting)
	case reflect.Array:
		for i := range v.Len() {
			x.fill(v.Index(i), fmt.Sprintf("%s/%d", path, i), nesting)
		}
	case reflect.Map:
		x.fillMap(v, path, nesting)
	case reflect.Struct:
		x.fillStruct(v, path, nesting)
	}
}

func fillInt(v reflect.Value, path string) {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		v.SetInt(int64(number(path)>>44) * int64(time.Millisecond))
		return
	}
	v.SetInt(int64(number(path) >> (64 - v.Type().Bits() + 2)))
}

func (x filler) fillSlice(v reflect.Value, path string, nesting map[reflect.Type]int) {
	if nesting[v.Type()] >= maxNesting {
		return
	}
	const elements = 2
	v.Set(reflect.MakeSlice(v.Type(), elements, elements))
	for i := range elements {
		x.fill(v.Index(i), fmt.Sprintf("%s/%d", path, i), deeper(nesting, v.Type()))
	}
}

func (x filler) fillMap(v reflect.Value, path string, nesting map[reflect.Type]int) {
	if nesting[v.Type()] >= maxNesting {
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	key := reflect.New(v.Type().Key()).Elem()
	x.fill(key, path+"/key", nesting)
	value := reflect.New(v.Type().Elem()).Elem()
	x.fill(value, path+"/value", deeper(nesting, v.Type()))
	v.SetMapIndex(key, value)
}

func (x filler) fillStruct(v reflect.Value, path string, nesting map[reflect.Type]int) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.IsExported() && encodedName(f) != "-" {
			name := encodedName(f)
			if earlier, renamed := x.formerly[name]; renamed && f.Anonymous {
				name = earlier
			}
			x.fill(v.Field(i), path+"/"+name, nesting)
		}
	}
}

func deeper(nesting map[reflect.Type]int, t reflect.Type) map[reflect.Type]int {
	next := map[reflect.Type]int{}
	for k, n := range nesting {
		next[k] = n
	}
	next[t]++
	return next
}

// encodedName returns the name that a field's tag gives it in an encoding, or its Go name if there is no such tag.
func encodedName(f reflect.StructField) string {
	for _, kind := range []string{"cbor", "json", "toml"} {
		if name, _, _ := strings.Cut(f.Tag.Get(kind), ","); name != "" {
			return name
		}
	}
	return f.Name
}

func number(path string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(path)) // writing to a hash never fails
	return h.Sum64()
}

// Keys returns the names of a type's encoded fields as sorted paths, such as "records/addr".
func Keys(t reflect.Type) []string {
	var all []string
	keys(t, "", map[reflect.Type]bool{}, &all)
	slices.Sort(all)
	return slices.Compact(all)
}

func keys(t reflect.Type, path string, above map[reflect.Type]bool, all *[]string) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		keys(t.Elem(), path, above, all)
	case reflect.Struct:
		if above[t] || t == reflect.TypeFor[time.Time]() {
			return
		}
		above[t] = true
		for i := range t.NumField() {
			f := t.Field(i)
			if f.Anonymous && f.Tag == "" {
				keys(f.Type, path, above, all)
				continue
			}
			if !f.IsExported() || encodedName(f) == "-" {
				continue
			}
			*all = append(*all, path+encodedName(f))
			keys(f.Type, path+encodedName(f)+"/", above, all)
		}
		delete(above, t)
	}
}

// Values returns the sorted values of all leaves below v, independent of the names and the order of the fields. Zero
// values are left out.
func Values(v any) []byte {
	var all []string
	leaves(reflect.ValueOf(v), &all)
	slices.Sort(all)
	return []byte(strings.Join(all, "\n") + "\n")
}

func leaves(v reflect.Value, all *[]string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			leaves(v.Elem(), all)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			leaves(v.Field(i), all)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			leaves(v.Index(i), all)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			leaves(key, all)
			leaves(v.MapIndex(key), all)
		}
	case reflect.Func, reflect.Chan, reflect.UnsafePointer, reflect.Invalid:
	default:
		if !v.IsZero() {
			*all = append(*all, fmt.Sprintf("%v", v))
		}
	}
}
