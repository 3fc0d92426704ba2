package scenario

import (
	"cmp"
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/tomlfile"
)

// incident is one fault or operator action at a given time.
type incident struct {
	What     string
	At       tomlfile.Duration
	For      tomlfile.Duration
	Servers  []string
	Share    float64
	Factor   float64
	Class    string
	Zones    []string
	By       tomlfile.Duration
	Over     tomlfile.Duration
	DrainFor tomlfile.Duration `toml:"drain_for"`
	After    tomlfile.Duration
	Name     string
	Kind     string
	Zone     string
	Pod      int
	Count    int
	Agents   []int
	Drain    bool
}

// fields lists the fields of each incident; those after the bar are optional.
var fields = map[string]string{
	"fast-errors":    "for servers share",
	"slow":           "for servers factor",
	"silent":         "servers | for",
	"heavy":          "for class share factor",
	"load":           "for factor",
	"shift":          "for zone factor",
	"shrink":         "servers over | drain_for",
	"drain":          "servers | drain_for",
	"kill":           "servers",
	"restart":        "servers | after",
	"replace":        "servers | after over drain_for",
	"join":           "name kind | zone pod count over",
	"move-pod":       "servers pod",
	"list-late":      "for by",
	"list-down":      "for",
	"zone-cut":       "for zones",
	"resets":         "for share",
	"lost-answers":   "for share",
	"list-refuse":    "for share",
	"agents-restart": "| agents after over drain",
}

// incidents converts the file's incidents into changes in order of time.
func (c *validator) incidents(f *file, s *model.Scenario) {
	known := map[string]model.ServerSpec{}
	places := len(s.Servers)
	for _, v := range s.Servers {
		known[v.Name] = v
	}
	add := func(at time.Duration, what any) { s.Timeline = append(s.Timeline, model.Change{At: at, What: what}) }
	order := make([]int, len(f.Incident)) // by time, so that later incidents can name servers that have joined
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(f.Incident[a].At.D(), f.Incident[b].At.D()) })
	for _, i := range order {
		in := &f.Incident[i]
		at := func(field string) string { return fmt.Sprintf("incident[%d].%s", i, field) }
		if !c.checkFields(in.What, at) {
			return
		}
		from, until := in.At.D(), in.At.D()+in.For.D()
		switch {
		case in.At.D() < 0 || from >= s.Length:
			c.fail(at("at"), "%v is not within the %v that the scenario takes", in.At, s.Length)
		case in.For.D() < 0 || until > s.Length:
			c.fail(at("for"), "%v from %v is past the %v that the scenario takes", in.For, in.At, s.Length)
		case c.own.Has(at("for")) && in.For.D() == 0:
			c.fail(at("for"), "a time above 0 is needed")
		}
		var list []model.ServerSpec
		for _, name := range in.Servers {
			v, ok := known[name]
			some := []model.ServerSpec{v}
			if !ok {
				some, ok = c.matchServers(at("servers"), name, known)
			}
			if !ok {
				return
			}
			list = append(list, some...)
		}
		if c.own.Has(at("servers")) && len(list) == 0 {
			c.fail(at("servers"), "no server is named")
		}
		c.share(at("share"), in.Share)
		if c.own.Has(at("factor")) {
			c.positive(at("factor"), in.Factor)
		}
		for _, v := range []struct {
			field string
			d     tomlfile.Duration
		}{{"by", in.By}, {"over", in.Over}, {"drain_for", in.DrainFor}, {"after", in.After}} {
			if c.nonNegativeTime(at(v.field), v.d); from+v.d.D() > s.Length {
				c.fail(at(v.field), "%v from %v is past the %v that the scenario takes", v.d, in.At, s.Length)
			}
		}
		if c.err != nil {
			return
		}
		label := in.What
		if len(in.Servers) > 0 {
			label += " " + abbreviate(in.Servers)
		}
		each := func(on, off func(v model.ServerSpec) any) {
			for _, v := range list {
				add(from, on(v))
				if in.For.D() > 0 {
					add(until, off(v))
				}
			}
		}
		switch in.What {
		case "fast-errors":
			each(func(v model.ServerSpec) any { return model.ServerErrors{Server: v.Name, Rate: in.Share} },
				func(v model.ServerSpec) any { return model.ServerErrors{Server: v.Name} })
			label += fmt.Sprintf(", %.0f%%", 100*in.Share)
		case "slow":
			each(func(v model.ServerSpec) any { return model.ServerSpeed{Server: v.Name, Factor: in.Factor} },
				func(v model.ServerSpec) any { return model.ServerSpeed{Server: v.Name, Factor: 1} })
			label += fmt.Sprintf(", speed x%g", in.Factor)
		case "silent":
			each(func(v model.ServerSpec) any { return model.Silence{Server: v.Name, On: true} },
				func(v model.ServerSpec) any { return model.Silence{Server: v.Name} })
		case "heavy":
			class := c.name(at("class"), in.Class, names(s.Classes, func(k model.Class) string { return k.Name }))
			add(from, model.Heavy{Class: class, Share: in.Share, Factor: in.Factor})
			add(until, model.Heavy{Class: class})
			label += fmt.Sprintf(" %s, %.2g%% x%g", in.Class, 100*in.Share, in.Factor)
		case "load":
			add(from, model.Burst{Factor: in.Factor})
			add(until, model.Burst{Factor: 1})
			label += fmt.Sprintf(" x%g", in.Factor)
		case "shift":
			zone := c.name(at("zone"), in.Zone, s.Zones)
			add(from, model.Shift{Zone: zone, Factor: in.Factor})
			add(until, model.Shift{Zone: zone, Factor: 1})
			label += fmt.Sprintf(" %s x%g", in.Zone, in.Factor)
		case "shrink", "drain":
			for n, v := range list {
				t := from + in.Over.D()*time.Duration(n)/time.Duration(max(1, len(list)))
				add(t, model.Drain{Server: v.Name})
				if end := t + in.DrainFor.D(); in.DrainFor.D() > 0 || in.What == "shrink" {
					add(min(end, s.Length), model.Kill{Server: v.Name})
					until = max(until, end)
				}
			}
		case "kill":
			each(func(v model.ServerSpec) any { return model.Kill{Server: v.Name} }, nil)
		case "restart", "replace":
			until = from + in.Over.D() + in.DrainFor.D() + in.After.D()
			if until > s.Length {
				c.fail(at("after"), "the incident ends at %v, past the %v that the scenario takes", until, s.Length)
			}
			for n, v := range list {
				from := from + in.Over.D()*time.Duration(n)/time.Duration(len(list))
				if in.DrainFor.D() > 0 {
					add(from, model.Drain{Server: v.Name})
					from += in.DrainFor.D()
				}
				add(from, model.Kill{Server: v.Name})
				if in.What == "replace" { // the new process has a new ID and the old address
					v.Name += "-new"
					for known[v.Name] != (model.ServerSpec{}) {
						v.Name += "-new"
					}
					known[v.Name] = v
				}
				add(from+in.After.D(), model.Start{Server: v})
			}
		case "join":
			kind := c.name(at("kind"), in.Kind, names(s.Kinds, func(k model.Kind) string { return k.Name }))
			zone := c.name(at("zone"), cmp.Or(in.Zone, s.Zones[0]), s.Zones)
			count := cmp.Or(in.Count, 1)
			if count < 1 || places+count > maxServers {
				c.fail(at("count"), "%d: at least 1, and %d servers in all, are allowed", count, maxServers)
				return
			}
			for n := range count {
				v := model.ServerSpec{Name: in.Name, Place: places, Kind: kind, Zone: zone, Pod: in.Pod}
				if count > 1 {
					v.Name = fmt.Sprintf("%s-%d", in.Name, n+1)
				}
				if _, taken := known[v.Name]; taken || in.Name == "" {
					c.fail(at("name"), "%q is empty or in the fleet already", v.Name)
					return
				}
				known[v.Name] = v
				places++
				add(from+in.Over.D()*time.Duration(n)/time.Duration(count), model.Start{Server: v})
			}
			label += fmt.Sprintf(" %d x %s", count, in.Kind)
			until = from + in.Over.D()
		case "move-pod":
			each(func(v model.ServerSpec) any { return model.MovePod{Server: v.Name, Pod: in.Pod} }, nil)
			for _, v := range list {
				v.Pod = in.Pod
				known[v.Name] = v
			}
			label += fmt.Sprintf(" to pod %d", in.Pod)
		case "list-late":
			add(from, model.ListLate{By: in.By.D()})
			add(until, model.ListLate{})
			label += " by " + in.By.String()
		case "list-down":
			add(from, model.ListDown{On: true})
			add(until, model.ListDown{})
		case "zone-cut":
			if len(in.Zones) != 2 {
				c.fail(at("zones"), "two zones are needed, %d are named", len(in.Zones))
				return
			}
			a, b := c.name(at("zones"), in.Zones[0], s.Zones), c.name(at("zones"), in.Zones[1], s.Zones)
			if a == b {
				c.fail(at("zones"), "a zone can't be cut off from itself")
			}
			add(from, model.Cut{A: a, B: b, On: true})
			add(until, model.Cut{A: a, B: b})
			label += " " + strings.Join(in.Zones, " / ")
		case "resets":
			add(from, model.Resets{Share: in.Share})
			add(until, model.Resets{})
			label += fmt.Sprintf(" %.0f%%", 100*in.Share)
		case "lost-answers":
			add(from, model.Lost{Share: in.Share})
			add(until, model.Lost{})
			label += fmt.Sprintf(" %.0f%%", 100*in.Share)
		case "list-refuse":
			add(from, model.ListRefuse{Share: in.Share})
			add(until, model.ListRefuse{})
			label += fmt.Sprintf(" %.0f%%", 100*in.Share)
		case "agents-restart":
			first, end := 0, s.Agents
			if len(in.Agents) > 0 {
				if len(in.Agents) != 2 || in.Agents[0] < 0 || in.Agents[1] > s.Agents || in.Agents[0] >= in.Agents[1] {
					c.fail(at("agents"), "%v: the first agent and the one after the last are needed, within 0 to %d", in.Agents, s.Agents)
					return
				}
				first, end = in.Agents[0], in.Agents[1]
			}
			// If the field over is set, the agents restart in ten groups, one after another.
			steps := 1
			if in.Over.D() > 0 {
				steps = min(10, end-first)
			}
			for n := range steps {
				at := from + in.Over.D()*time.Duration(n)/time.Duration(steps)
				a, z := first+(end-first)*n/steps, first+(end-first)*(n+1)/steps
				add(at, model.Agents{From: a, To: z, Drain: in.Drain})
				add(at+in.After.D(), model.Agents{From: a, To: z, Up: true})
			}
			if until = from + in.Over.D() + in.After.D(); until > s.Length {
				c.fail(at("over"), "the incident ends at %v, past the %v that the scenario takes", until, s.Length)
			}
		}
		s.Marks = append(s.Marks, model.Mark{From: from, To: until, Text: label})
	}
	slices.SortStableFunc(s.Timeline, func(a, b model.Change) int { return cmp.Compare(a.At, b.At) })
}

// matchServers returns the servers whose names match a pattern (path.Match), in order of their names.
func (c *validator) matchServers(key, pattern string, known map[string]model.ServerSpec) (list []model.ServerSpec, ok bool) {
	for name, v := range known {
		hit, err := path.Match(pattern, name)
		if err != nil {
			c.fail(key, "%q is not a valid pattern: %v", pattern, err)
			return nil, false
		}
		if _, replaced := known[name+"-new"]; hit && !replaced {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		c.fail(key, "%q is not in the fleet at that time", pattern)
		return nil, false
	}
	slices.SortFunc(list, func(a, b model.ServerSpec) int { return cmp.Compare(a.Name, b.Name) })
	return list, true
}

// checkFields checks that an incident's type exists, and that it has all required fields and no unsupported ones.
func (c *validator) checkFields(what string, at func(string) string) bool {
	takes, ok := fields[what]
	if !ok {
		var all []string
		for name := range fields {
			all = append(all, name)
		}
		slices.Sort(all)
		c.fail(at("what"), "%q is none of %s", what, strings.Join(all, ", "))
		return false
	}
	needed, also, _ := strings.Cut(takes, "|")
	for _, field := range strings.Fields(needed) {
		if !c.own.Has(at(field)) {
			c.fail(at(field), "is required by %s and missing", what)
		}
	}
	allowed := append(strings.Fields(needed+" "+also), "what", "at")
	for _, field := range []string{"for", "servers", "share", "factor", "class", "zones", "by", "over", "drain_for",
		"after", "name", "kind", "zone", "pod", "count", "agents", "drain"} {
		if c.own.Has(at(field)) && !slices.Contains(allowed, field) {
			c.fail(at(field), "%s does not take this field; it takes %s", what, strings.Join(allowed, ", "))
		}
	}
	return c.err == nil
}

func abbreviate(list []string) string {
	if len(list) > 3 {
		return fmt.Sprintf("%s and %d more", strings.Join(list[:2], ", "), len(list)-2)
	}
	return strings.Join(list, ", ")
}
