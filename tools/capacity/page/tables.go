package page

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"vetchhaven/tools/capacity/slopes"
)

// Far is the factor beyond the largest measured size up to which an extrapolated figure has no mark.
const Far = 4

// Tables returns the tables of docs/capacity/tables.md, by name, with every entry: the target size, a table for each
// role, the bounds in the order in which they are crossed as the size grows, and the runs. Brief returns those of
// docs/CAPACITY.md.
func Tables(s *Size, all []slopes.Slope) map[string]string {
	p := newPrinter(s, all)
	tables := map[string]string{"size": p.sizes(), "breaks": p.breaks(), "runs": p.runs()}
	for _, role := range slopes.Roles {
		tables[role] = p.role(role)
	}
	return tables
}

type printer struct {
	size *Size
	all  []slopes.Slope
	list []run
}

func newPrinter(s *Size, all []slopes.Slope) *printer {
	p := &printer{size: s, all: all}
	for i := range all {
		if r := runOf(&all[i]); !slices.Contains(p.list, r) {
			p.list = append(p.list, r)
		}
	}
	return p
}

// run is a measuring command with its date and machine.
type run struct{ command, date, machine string }

func runOf(s *slopes.Slope) run { return run{s.Command, s.Date, s.Machine} }

// number returns the number of an entry's run in the table of runs.
func (p *printer) number(s *slopes.Slope) string {
	return fmt.Sprintf("[%d]", slices.Index(p.list, runOf(s))+1)
}

func (p *printer) sizes() string {
	t := table("what", "at the size", "from")
	for i := range p.size.Variable {
		v := &p.size.Variable[i]
		value := ""
		if v.Value != nil {
			value = count(*v.Value)
		} else {
			value = fmt.Sprintf("%s at rest, %s on a day, %s in the worst minute", count(*v.Rest), count(*v.Day), count(*v.Worst))
		}
		t.row(v.Words, value, v.Source)
	}
	for i := range p.size.Bound {
		b := &p.size.Bound[i]
		t.row("bound: "+b.Name, unit(b.Most, b.Unit)+" at most", b.Source)
	}
	return t.String()
}

var loads = map[string]string{"rest": "at rest", "day": "ordinary day", "worst": "worst minute"}

// role returns the table of one role.
func (p *printer) role(role string) string {
	t := table("load", "figure", "carried by", "slope", "at the size", "residual", "measured over", "times beyond", "bound", "met", "run")
	for _, load := range slopes.Loads {
		for _, e := range p.of(role, load) {
			p.entry(t, e)
		}
		if missing := p.gaps(role, load); len(missing) > 0 {
			t.row(loads[load], strings.Join(missing, "; "), "", "not measured", "", "", "", "", "", "", "")
		}
		for i := range p.size.Bound {
			if b := &p.size.Bound[i]; b.Sum && b.Role == role && b.in(load) {
				if parts := p.parts(b, load); len(parts) > 0 {
					sum := total(parts, 1)
					t.row(loads[load], "**all together: "+b.Name+"**", names(parts), "", unit(sum, b.Unit), "", "", "", unit(b.Most, b.Unit), met(sum <= b.Most), "")
				}
			}
		}
	}
	if len(t.rows) == 0 {
		return "Not measured.\n"
	}
	return t.String()
}

// of returns a role's entries at a load, sorted by mechanism and name.
func (p *printer) of(role, load string) (rows []*slopes.Slope) {
	for i := range p.all {
		if e := &p.all[i]; e.Role == role && e.Load == load {
			rows = append(rows, e)
		}
	}
	slices.SortStableFunc(rows, func(a, b *slopes.Slope) int {
		return cmp.Or(strings.Compare(a.Mechanism, b.Mechanism), strings.Compare(a.Name, b.Name))
	})
	return rows
}

// governs reports whether an entry is required or bounded, and has the greatest value among its alternatives (entries
// of the same role, load, mechanism and quantity) at the target size. With same, only alternatives with the same
// variable are compared, and all entries of path and chain govern, as these are separate cases.
func (p *printer) governs(e *slopes.Slope, same bool) bool {
	if e.Instead != "" {
		return false
	}
	if same && (e.Role == "path" || e.Role == "chain") {
		return true
	}
	wanted := slices.ContainsFunc(p.size.Asked, func(a Asked) bool {
		return a.Role == e.Role && slices.Contains(a.Quantities, e.Quantity) && slices.Contains(a.Mechanisms, e.Mechanism)
	}) || slices.ContainsFunc(p.size.Bound, func(b Bound) bool { return b.of(e) })
	if !wanted {
		return false
	}
	for i := range p.all {
		o := &p.all[i]
		if o == e || o.Instead != "" || o.Role != e.Role || o.Load != e.Load || o.Mechanism != e.Mechanism || o.Quantity != e.Quantity || same && o.Variable != e.Variable {
			continue
		}
		if by := scale(e.Unit, o.Unit); by > 0 {
			if a, b := p.targetValue(e), by*p.targetValue(o); b > a || b == a && o.Name < e.Name {
				return false
			}
		}
	}
	return true
}

// targetValue returns an entry's value at the target size.
func (p *printer) targetValue(e *slopes.Slope) float64 {
	value, _ := at(e, e.Fit(), p.size.variable(e.Variable).at(e.Load))
	return value
}

// at returns an entry's value at a size: the measured value if the size was measured, otherwise the value of the curve.
func at(e *slopes.Slope, f slopes.Fit, x float64) (value float64, measured bool) {
	for _, p := range e.Points {
		if p[0] == x {
			return p[1], true
		}
	}
	return f.Value(x), false
}

// gaps returns the required figures that a role does not have at a load, as a text for each mechanism.
func (p *printer) gaps(role, load string) (gaps []string) {
	for i := range p.size.Asked {
		if a := &p.size.Asked[i]; a.Role == role && slices.Contains(a.Loads, load) {
			for _, m := range a.Mechanisms {
				if list := p.missing(a, load, m); len(list) > 0 {
					gaps = append(gaps, m+": "+strings.Join(list, ", "))
				}
			}
		}
	}
	return gaps
}

// missing returns the required quantities for which a role has no entry.
func (p *printer) missing(a *Asked, load, mechanism string) (missing []string) {
	for _, q := range a.Quantities {
		if q == "state" && load != "rest" { // state is the same at all loads
			continue
		}
		if !slices.ContainsFunc(p.all, func(e slopes.Slope) bool {
			return e.Role == a.Role && e.Load == load && e.Mechanism == mechanism && e.Quantity == q
		}) {
			missing = append(missing, words(q))
		}
	}
	return missing
}

func words(quantity string) string { return strings.ReplaceAll(quantity, "_", " ") }

// entry adds the row of an entry to a table.
func (p *printer) entry(t *grid, e *slopes.Slope) {
	v := p.size.variable(e.Variable)
	f, x := e.Fit(), v.at(e.Load)
	value, measured := at(e, f, x)
	low, high := e.Range()
	there, beyond := unit(value, e.Unit), "within"
	if measured {
		there += ", measured"
	}
	if x > high {
		beyond = extrapolation(x / high)
		if e.Form == "table" {
			there = "not extrapolated; " + unit(f.Value(high), e.Unit) + " at " + count(high)
		}
	} else if x < low {
		beyond = "below"
	}
	residual := "none left"
	if !math.IsNaN(f.Residual) {
		residual = fmt.Sprintf("%.1f%%", 100*f.Residual)
	}
	if e.Form == "table" || e.Form == "steps" {
		residual = "read off"
	}
	bound, kept := p.boundOf(e, value)
	bound = cmp.Or(bound, "none")
	figure := words(e.Quantity) + " `" + e.Name + "`"
	if e.Note != "" {
		figure += ": " + e.Note
	}
	if e.Instead != "" {
		figure += "; since carried by `" + e.Instead + "`"
	}
	t.row(loads[e.Load], figure, e.Mechanism, formula(e, f, v), there, residual, over(e, v), beyond, bound, kept, p.number(e))
}

func met(ok bool) string {
	if ok {
		return "yes"
	}
	return "**no**"
}

// formula returns a fit as text, with its ceiling.
func formula(e *slopes.Slope, f slopes.Fit, v *Variable) string {
	if e.Ceiling > 0 {
		return curve(e, f, v) + ", at most " + unit(e.Ceiling, e.Unit)
	}
	return curve(e, f, v)
}

func curve(e *slopes.Slope, f slopes.Fit, v *Variable) string {
	one := func(x float64) string { return unit(x, e.Unit) }
	switch e.Form {
	case "constant":
		return one(f.A) + ", flat"
	case "linear":
		return fmt.Sprintf("%s + %s x %s", one(f.A), one(f.B), v.Words)
	case "log":
		return fmt.Sprintf("%s + %s x ln(%s)", one(f.A), one(f.B), v.Words)
	case "nlogn":
		return fmt.Sprintf("%s + %s x n ln n, n %s", one(f.A), one(f.B), v.Words)
	case "power":
		return fmt.Sprintf("%s x (%s)^%.2f", one(f.A), v.Words, f.B)
	}
	var all []string
	for _, p := range e.Points {
		all = append(all, count(p[0])+": "+one(p[1]))
	}
	return strings.Join(all, "; ")
}

// part is an entry's share of a sum.
type part struct {
	e   *slopes.Slope
	fit slopes.Fit
	x   float64 // the target size
	by  float64 // factor that converts to the bound's unit
	as  string  // the load at which the figure was measured
}

// at returns the value in a fleet of share times the target size.
func (p *part) at(share float64, grows bool) float64 {
	x := p.x
	if grows {
		x *= share
	}
	value, _ := at(p.e, p.fit, x)
	return value * p.by
}

// parts returns the terms of the sum to which a bound applies. The term of a mechanism and quantity is the greatest
// figure at the load itself or, if the load has no figure, at the next lower load.
func (p *printer) parts(b *Bound, load string) (all []term) {
	type key struct{ mechanism, quantity string }
	best := map[key]term{}
	var order []key
	for _, as := range slopes.Loads[:slices.Index(slopes.Loads, load)+1] {
		found := map[key]bool{}
		for i := range p.all {
			e := &p.all[i]
			if !b.of(e) || e.Load != as {
				continue
			}
			v := p.size.variable(e.Variable)
			t := term{part{e, e.Fit(), v.at(as), scale(b.Unit, e.Unit), as}, v.Grows}
			k := key{e.Mechanism, e.Quantity}
			was, known := best[k]
			if !known {
				order = append(order, k)
			}
			if !known || !found[k] || t.value(1) > was.value(1) {
				best[k], found[k] = t, true
			}
		}
	}
	slices.SortFunc(order, func(a, b key) int { return strings.Compare(a.mechanism+a.quantity, b.mechanism+b.quantity) })
	for _, k := range order {
		all = append(all, best[k])
	}
	return all
}

type term struct {
	part
	grows bool
}

func (t term) value(share float64) float64 { return t.at(share, t.grows) }

func total(all []term, share float64) (sum float64) {
	for _, t := range all {
		sum += t.value(share)
	}
	return sum
}

func names(all []term) string {
	var list []string
	for _, t := range all {
		if !slices.Contains(list, t.e.Mechanism) {
			list = append(list, t.e.Mechanism)
		}
	}
	return strings.Join(list, ", ")
}

// crossing is the size at which a curve crosses its bound.
type crossing struct {
	share   float64 // of the target size; +Inf: the curve does not cross the bound up to maxShare times the target size
	bound   *Bound
	load    string
	carried string // the mechanisms that contribute to the figure
	top     string // the entry, or the greatest term of a sum
	at      string // the size at which the curve crosses the bound, as text
	value   float64
}

func (c *crossing) met() bool { return c.value <= c.bound.Most }

const maxShare = 100 // largest multiple of the target size that is searched for a crossing

// crossings returns the crossings of all bounds, in ascending order of size.
func (p *printer) crossings() (all []crossing) {
	seen := map[string]bool{}
	for i := range p.size.Bound {
		b := &p.size.Bound[i]
		for _, load := range slopes.Loads {
			if !b.in(load) {
				continue
			}
			if b.Sum {
				parts := p.parts(b, load)
				if len(parts) == 0 || !slices.ContainsFunc(parts, func(t term) bool { return t.as == load }) {
					continue
				}
				share := cross(func(x float64) float64 { return total(parts, x) }, b.Most)
				top := slices.MaxFunc(parts, func(a, b term) int { return cmp.Compare(a.value(1), b.value(1)) })
				low := 0.0 // largest of the smallest measured sizes, in agents, among the terms that matter at the crossing
				agents := p.size.variable("agents").at(load)
				for _, t := range parts {
					if first := t.e.Points[0][0] / t.x * agents; t.grows && t.x > 0 && t.e.Form != "constant" && !math.IsInf(share, 1) && t.value(share) > total(parts, share)/20 {
						low = max(low, first)
					}
				}
				at := where(share, agents, "agents", math.Round(low))
				if share == 0 { // the sum of the terms that do not grow exceeds the bound
					top = slices.MaxFunc(parts, func(a, b term) int { return cmp.Compare(a.value(0), b.value(0)) })
					v := p.size.variable(top.e.Variable)
					at = fmt.Sprintf("at any size, with %s %s", count(v.at(top.as)), v.Words)
				}
				all = append(all, crossing{share, b, load, names(parts), top.e.Name, at, total(parts, 1)})
			}
			for j := range p.all {
				e := &p.all[j]
				if !b.of(e) || e.Load != load || seen[e.Name] || e.Form == "table" || !p.governs(e, true) {
					continue
				}
				seen[e.Name] = true
				v, f := p.size.variable(e.Variable), e.Fit()
				if b.Sum && v.Grows { // the entry is a term of the sum
					continue
				}
				aim, by := v.at(load), scale(b.Unit, e.Unit)
				if aim == 0 {
					continue
				}
				share := cross(func(x float64) float64 { return f.Value(x*aim) * by }, b.Most)
				if b.Sum && share > 1 {
					continue
				}
				all = append(all, crossing{share, b, load, e.Mechanism, e.Name, where(share, aim, v.Words, e.Points[0][0]), p.targetValue(e) * by})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b crossing) int { return cmp.Compare(a.share, b.share) })
	return all
}

// breaks returns the table of the bounds, in ascending order of the size at which the load crosses them.
func (p *printer) breaks() string {
	all := p.crossings()
	if len(all) == 0 {
		return "Not measured.\n"
	}
	t := table("", "bound", "load", "carried by", "crossed at", "at the size aimed at", "bound", "met")
	for i, c := range all {
		carried := c.carried + " `" + c.top + "`"
		if c.bound.Sum {
			carried = c.carried + "; most: `" + c.top + "`"
		}
		t.row(i+1, c.bound.Name, loads[c.load], carried, c.at, unit(c.value, c.bound.Unit), unit(c.bound.Most, c.bound.Unit), met(c.met()))
	}
	return t.String()
}

// where returns the size at which a bound is crossed, as text; low is the smallest measured size.
func where(share, aim float64, words string, low float64) string {
	switch {
	case math.IsInf(share, 1):
		return fmt.Sprintf("not up to %s %s", count(maxShare*aim), words)
	case share*aim < low:
		return fmt.Sprintf("below %s %s, the smallest size measured", count(low), words)
	case share == 0:
		return "at the smallest size"
	}
	return fmt.Sprintf("%s %s (%.2g of the size)", count(round(share*aim)), words, share)
}

// cross returns the share of the target size at which an increasing curve crosses a bound: 0 if the curve is above the
// bound at any size, +Inf if it is not above the bound up to maxShare times the target size.
func cross(value func(share float64) float64, bound float64) float64 {
	low, high := 1e-6, float64(maxShare)
	if value(low) > bound {
		return 0
	}
	if value(high) <= bound {
		return math.Inf(1)
	}
	for range 80 {
		if mid := math.Sqrt(low * high); value(mid) > bound {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

func (p *printer) runs() string {
	if len(p.list) == 0 {
		return "None.\n"
	}
	t := table("run", "command", "date", "machine")
	for i, r := range p.list {
		t.row(fmt.Sprintf("[%d]", i+1), "`"+r.command+"`", r.date, r.machine)
	}
	return t.String()
}
