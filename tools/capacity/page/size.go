// Package page prints the tables of docs/CAPACITY.md and docs/capacity/tables.md from the target size and the measured
// slopes.
package page

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"vetchhaven/internal/tomlfile"
	"vetchhaven/tools/capacity/slopes"
)

// Size is the content of docs/capacity/size.toml: the target size, the bounds, and the figures that are required.
type Size struct {
	Variable []Variable `toml:"variable"`
	Bound    []Bound    `toml:"bound"`
	Asked    []Asked    `toml:"asked"`
}

// Variable is a quantity on which figures depend, such as the number of agents, and its target value.
type Variable struct {
	Name   string   `toml:"name"`
	Words  string   `toml:"words"`
	Value  *float64 `toml:"value"` // at all loads; otherwise there is a value for each load:
	Rest   *float64 `toml:"rest"`
	Day    *float64 `toml:"day"`
	Worst  *float64 `toml:"worst"`
	Grows  bool     `toml:"grows"` // whether it grows with the size of the fleet
	Source string   `toml:"source"`
}

// at returns the target value at a load.
func (v *Variable) at(load string) float64 {
	if v.Value != nil {
		return *v.Value
	}
	return *map[string]*float64{"rest": v.Rest, "day": v.Day, "worst": v.Worst}[load]
}

// Bound is an upper bound on figures of a role.
type Bound struct {
	Name       string   `toml:"name"`
	Role       string   `toml:"role"`
	Quantities []string `toml:"quantities"`
	Mechanisms []string `toml:"mechanisms"` // empty: all
	Loads      []string `toml:"loads"`      // empty: all
	Unit       string   `toml:"unit"`
	Most       float64  `toml:"most"`
	Sum        bool     `toml:"sum"` // the bound is on the sum of all figures that it applies to
	Source     string   `toml:"source"`
}

// of reports whether the bound applies to an entry, regardless of its load. An entry that is replaced by another one
// has no bound.
func (b *Bound) of(s *slopes.Slope) bool {
	return s.Instead == "" && b.Role == s.Role && slices.Contains(b.Quantities, s.Quantity) && (len(b.Mechanisms) == 0 || slices.Contains(b.Mechanisms, s.Mechanism))
}

func (b *Bound) in(load string) bool { return len(b.Loads) == 0 || slices.Contains(b.Loads, load) }

// Asked is a set of required figures: they must be measured for a role.
type Asked struct {
	Role       string   `toml:"role"`
	Mechanisms []string `toml:"mechanisms"`
	Loads      []string `toml:"loads"`
	Quantities []string `toml:"quantities"`
}

// ReadSize reads the file of the target size, strictly.
func ReadSize(path string) (*Size, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSize(path, data)
}

// ParseSize parses the target size from data. Errors name the file as path.
func ParseSize(path string, data []byte) (*Size, error) {
	s := &Size{}
	f, err := tomlfile.Parse(path, data, s)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for i := range s.Variable {
		v := &s.Variable[i]
		at := fmt.Sprintf("variable[%d].", i)
		byLoad := v.Rest != nil && v.Day != nil && v.Worst != nil
		switch {
		case v.Name == "" || seen[v.Name]:
			return nil, f.Errorf(at+"name", "%q is empty or used twice", v.Name)
		case v.Words == "" || v.Source == "":
			return nil, f.Errorf(at+"source", "%s needs words and a source", v.Name)
		case (v.Value != nil) == byLoad, v.Value != nil && (v.Rest != nil || v.Day != nil || v.Worst != nil):
			return nil, f.Errorf(at+"value", "%s has either a value, or one each for rest, day and worst", v.Name)
		}
		seen[v.Name] = true
	}
	lists := func(at string, role string, loads, quantities []string) error {
		if !slices.Contains(slopes.Roles, role) {
			return f.Errorf(at+"role", "%q is not one of %s", role, strings.Join(slopes.Roles, ", "))
		}
		for _, l := range loads {
			if !slices.Contains(slopes.Loads, l) {
				return f.Errorf(at+"loads", "%q is not one of %s", l, strings.Join(slopes.Loads, ", "))
			}
		}
		if len(quantities) == 0 {
			return f.Errorf(at+"quantities", "the list is empty")
		}
		return nil
	}
	for i := range s.Bound {
		b := &s.Bound[i]
		at := fmt.Sprintf("bound[%d].", i)
		if err := lists(at, b.Role, b.Loads, b.Quantities); err != nil {
			return nil, err
		}
		if b.Name == "" || b.Source == "" || b.Most <= 0 || b.Unit == "" {
			return nil, f.Errorf(at+"most", "a bound needs a name, a source, a unit, and a most over 0")
		}
	}
	for i := range s.Asked {
		if err := lists(fmt.Sprintf("asked[%d].", i), s.Asked[i].Role, s.Asked[i].Loads, s.Asked[i].Quantities); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// variable returns the variable of that name, or nil if there is no such variable.
func (s *Size) variable(name string) *Variable {
	for i := range s.Variable {
		if s.Variable[i].Name == name {
			return &s.Variable[i]
		}
	}
	return nil
}

// Fits checks that each entry's variable has a target value, that the entry named as the replacement of another exists
// and is not replaced itself, and that units can be converted to those of the bounds.
func (s *Size) Fits(path string, data []byte, all []slopes.Slope) error {
	f, err := tomlfile.Parse(path, data, &struct {
		Slope []slopes.Slope `toml:"slope"`
	}{})
	if err != nil {
		return err
	}
	for i := range all {
		e := &all[i]
		if s.variable(e.Variable) == nil {
			return f.Errorf(fmt.Sprintf("slope[%d].variable", i), "%q is not a variable of docs/capacity/size.toml: add it there, with its value and source", e.Variable)
		}
		if e.Instead != "" && !slices.ContainsFunc(all, func(o slopes.Slope) bool { return o.Name == e.Instead && o.Instead == "" }) {
			return f.Errorf(fmt.Sprintf("slope[%d].instead", i), "%q is not an entry, or is itself replaced", e.Instead)
		}
		for j := range s.Bound {
			if b := &s.Bound[j]; b.of(e) && b.in(e.Load) && scale(b.Unit, e.Unit) == 0 {
				return f.Errorf(fmt.Sprintf("slope[%d].unit", i), "%q can't be converted to the unit of its bound (%s), %s", e.Unit, b.Name, b.Unit)
			}
		}
	}
	return nil
}

// units are the units that can be converted to others of the same kind, with their size in the base unit (s, B or
// B/s).
var units = map[string]struct {
	kind string
	of   float64
}{
	"ns": {"time", 1e-9}, "us": {"time", 1e-6}, "ms": {"time", 1e-3}, "s": {"time", 1},
	"B": {"bytes", 1}, "KB": {"bytes", 1e3}, "MB": {"bytes", 1e6}, "GB": {"bytes", 1e9},
	"B/s": {"rate", 1}, "KB/s": {"rate", 1e3}, "MB/s": {"rate", 1e6},
}

// scale returns the factor that converts a figure from one unit to another; 0: the units are of different kinds.
func scale(to, from string) float64 {
	a, b := units[to], units[from]
	switch {
	case to == from:
		return 1
	case a.kind != "" && a.kind == b.kind:
		return b.of / a.of
	}
	return 0
}
