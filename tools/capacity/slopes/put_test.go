package slopes

import (
	"strings"
	"testing"
)

// An added entry replaces one of the same name, and one with a new name is put after those of its mechanism; comments
// stay.
func TestPutReplacesByNameAndAddsBesideItsMechanism(t *testing.T) {
	other := strings.NewReplacer("view.bytes_out.rest", "policy.bytes_out.rest", `"view"`, `"policy"`).Replace(entry)
	text := "# what this is\n" + entry + "\n# ---- policy ----\n" + other
	all, err := Parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	again, fresh, last := all[0], all[0], all[0]
	again.Points = [][2]float64{{10, 31}, {100, 211}}
	fresh.Name = "view.bytes_in.rest"
	last.Name, last.Mechanism = "list.bytes_in.rest", "list"
	out, err := Put("f.toml", []byte(text), again, fresh, last)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Parse("f.toml", out)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, s := range got {
		names = append(names, s.Name)
	}
	if got, want := strings.Join(names, " "), "view.bytes_out.rest view.bytes_in.rest policy.bytes_out.rest list.bytes_in.rest"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	if got[0].Points[1] != [2]float64{100, 211} || len(got[0].Points) != 2 {
		t.Errorf("the entry does not have the new points: %v", got[0].Points)
	}
	at := func(part string) int { return strings.Index(string(out), part) }
	if at("# what this is") != 0 || at("view.bytes_in.rest") > at("# ---- policy ----") || at("# ---- policy ----") > at("policy.bytes_out.rest") {
		t.Errorf("sections and comments are not kept:\n%s", out)
	}
	if same, err := Put("f.toml", []byte(text)); err != nil || strings.TrimSpace(string(same)) != strings.TrimSpace(text) {
		t.Errorf("Put without added entries changes the text, %v:\n%s", err, same)
	}
}

func TestPutRejectsAnInvalidEntry(t *testing.T) {
	bad := Slope{Name: "view.bytes_out.rest", Role: "agent"}
	if out, err := Put("f.toml", []byte(entry), bad); err == nil {
		t.Errorf("an invalid entry is accepted:\n%s", out)
	}
}
