package slopes

import (
	"cmp"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"vetchhaven/internal/tomlfile"
)

// Allowed values of the fields of an entry.
var (
	Roles = []string{"agent", "voter", "keeper", "source", "operator", "path", "chain"}
	Loads = []string{"rest", "day", "worst"}
	Forms = []string{"constant", "linear", "log", "nlogn", "power", "steps", "table"}
	word  = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	name  = regexp.MustCompile(`^[a-z][a-z0-9_]*(\.[a-z0-9_]+)+$`)
)

// Read reads a file of entries strictly. Each error names the file, the line and the field.
func Read(path string) ([]Slope, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse parses entries from data. Errors refer to the file by path.
func Parse(path string, data []byte) ([]Slope, error) {
	var in struct {
		Slope []Slope `toml:"slope"`
	}
	f, err := tomlfile.Parse(path, data, &in)
	if err != nil {
		return nil, err
	}
	seen := map[string]int{}
	for i := range in.Slope {
		s := &in.Slope[i]
		at := func(field string) string { return "slope[" + itoa(i) + "]." + field }
		if !name.MatchString(s.Name) {
			return nil, f.Errorf(at("name"), "%q is not a name such as \"view.bytes_out.rest\"", s.Name)
		}
		if line, twice := seen[s.Name]; twice {
			return nil, f.Errorf(at("name"), "%q is already on line %d", s.Name, line)
		}
		seen[s.Name] = f.Line(at("name"))
		for _, c := range []struct {
			field, value string
			of           []string
		}{{"role", s.Role, Roles}, {"load", s.Load, Loads}, {"form", s.Form, Forms}} {
			if !slices.Contains(c.of, c.value) {
				return nil, f.Errorf(at(c.field), "%q is not one of %s", c.value, strings.Join(c.of, ", "))
			}
		}
		for _, c := range []struct{ field, value string }{{"quantity", s.Quantity}, {"mechanism", s.Mechanism}, {"variable", s.Variable}} {
			if !word.MatchString(c.value) {
				return nil, f.Errorf(at(c.field), "%q is not a word of lower-case letters, digits and _", c.value)
			}
		}
		if _, err := time.Parse(time.DateOnly, s.Date); err != nil {
			return nil, f.Errorf(at("date"), "%q is not a date such as 2026-12-02", s.Date)
		}
		for _, c := range []struct{ field, value string }{{"command", s.Command}, {"machine", s.Machine}} {
			if strings.TrimSpace(c.value) == "" || strings.ContainsAny(c.value, "|\n") {
				return nil, f.Errorf(at(c.field), "%q is not a non-empty line of text without |", c.value)
			}
		}
		if strings.ContainsAny(s.Unit+s.Note, "|\n") {
			return nil, f.Errorf(at("note"), "unit and note must be lines of text without |")
		}
		if err := s.check(); err != "" {
			return nil, f.Errorf(at("points"), "%s", err)
		}
		if top := slices.MaxFunc(s.Points, func(a, b [2]float64) int { return cmp.Compare(a[1], b[1]) }); s.Ceiling < 0 || s.Ceiling > 0 && top[1] > s.Ceiling {
			return nil, f.Errorf(at("ceiling"), "%s is below a point of %s", number(s.Ceiling), number(top[1]))
		}
	}
	return in.Slope, nil
}

// check returns a description of an error in the points of an entry, given its form, or "" if they are valid.
func (s *Slope) check() string {
	if len(s.Points) == 0 {
		return "there are no points: a quantity that was not measured has no entry"
	}
	for i, p := range s.Points {
		switch {
		case i > 0 && p[0] <= s.Points[i-1][0]:
			return "size " + number(p[0]) + " comes after " + number(s.Points[i-1][0]) + ": sizes must ascend"
		case p[0] <= 0 && slices.Contains([]string{"log", "nlogn", "power"}, s.Form):
			return "size " + number(p[0]) + " has no logarithm"
		case p[1] <= 0 && s.Form == "power":
			return "value " + number(p[1]) + " has no logarithm"
		}
	}
	if n := s.unknowns(); len(s.Points) < n {
		return "a fit by " + s.Form + " needs at least " + itoa(n) + " points"
	}
	return ""
}
