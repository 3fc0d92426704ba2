package tomlfile

import (
	"strings"
	"testing"
	"time"
)

type sample struct {
	Name string
	Wait Duration
	Box  []struct {
		Size int
		In   struct{ Deep int }
		Row  []struct{ X int }
	}
	Inline []struct{ A, B int }
	inner
}

type inner struct{ Pause Duration }

const text = `name = "x"

wait = "1.5s"
[[box]]
size = 1
[box.in]
deep = 4
[[box]]
size = 2
[[box.row]]
x = 7
[[box.row]]
x = 8
`

func TestKeysHaveTheirLines(t *testing.T) {
	var s sample
	f, err := Parse("f.toml", []byte("inline = [\n {a = 1,\n b = 2},\n {a = 3}]\n"+text), &s)
	if err != nil {
		t.Fatal(err)
	}
	if s.Wait.D() != 1500*time.Millisecond || len(s.Box) != 2 || s.Box[1].Row[1].X != 8 {
		t.Errorf("%+v", s)
	}
	for key, want := range map[string]int{"name": 5, "box[0].size": 9, "box[0].in.deep": 11, "box[1]": 12,
		"box[1].size": 13, "box[1].row[1].x": 17, "box[1].none": 12, "nothing": 1, "inline[0].b": 3, "inline[1].a": 4} {
		if got := f.Line(key); got != want {
			t.Errorf("%s is on line %d, want %d", key, got, want)
		}
	}
	if err := f.Errorf("box[1].size", "%d is too small, at least 3", 2); err.Error() !=
		"f.toml:13: box[1].size: 2 is too small, at least 3" {
		t.Error(err)
	}
}

func TestErrorsNameLineAndKey(t *testing.T) {
	for _, tt := range []struct{ name, text, want string }{
		{"unknown key", "name = \"x\"\nbad = 1\n", "f.toml:2: bad: there is no such key"},
		{"unknown key in an array", "[[box]]\nsize = 1\n[[box]]\nsiz = 2\n", "f.toml:4: box.siz: there is no such key"},
		{"wrong type", "name = 5\n", "f.toml:1: name: "},
		{"malformed duration", "\nwait = \"5 apples\"\n", "f.toml:2: wait: \"5 apples\" is no time"},
		{"duration without unit", "\nwait = 5\n", "f.toml:2: wait: "},
		{"malformed duration of an embedded struct", "\npause = 5\n", "f.toml:2: pause: \"5\" is no time"},
		{"no value", "\n\nname = \n", "f.toml:3: "},
		{"duplicate key", "name = \"a\"\nname = \"b\"\n", "f.toml:2: "},
		{"unclosed table", "[box", "f.toml:1: "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var s sample
			_, err := Parse("f.toml", []byte(tt.text), &s)
			if err == nil || !strings.HasPrefix(err.Error(), tt.want) {
				t.Errorf("%q: %v, want %s...", tt.text, err, tt.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(text)
	f.Add("a.b = {c = [1, {d = 2}]}\n[[x]]\n[x.y]\n[[x.y.z]]")
	f.Fuzz(func(t *testing.T, text string) {
		var s sample
		if _, err := Parse("f", []byte(text), &s); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("the error does not begin with file and line: %v", err)
		}
	})
}
