package page

import (
	"fmt"
	"slices"
	"strings"

	"vetchhaven/tools/capacity/slopes"
)

// Limits that keep docs/CAPACITY.md short enough to be read completely.
const (
	maxLine     = 150 // longest line of text, in characters
	smallShare  = 0.1 // share of a bound on a sum below which a mechanism has no row of its own
	breaksAfter = 2   // number of rows for bounds that are met at the target size, after those that are not
)

// Brief returns the tables of docs/CAPACITY.md, by name: short forms of those that Tables returns, except the runs. A
// role's table has, for each load, mechanism and quantity that is required or bounded, the entry that is greatest at
// the target size; of bytes in and out only the greater one, with its messages; and the sum of all figures that a
// bound applies to. Simulated incidents have tables by size.
func Brief(s *Size, all []slopes.Slope) map[string]string {
	p := newPrinter(s, all)
	tables := map[string]string{"size": p.sizeLine(), "breaks": p.firstBreaks(), "chain": p.tiers(), "minutes": p.minutes()}
	for _, role := range slopes.Roles {
		if role != "chain" {
			tables[role] = p.brief(role)
		}
	}
	return tables
}

// sizeLine returns the target size as text.
func (p *printer) sizeLine() string {
	var sizes []string
	for i := range p.size.Variable {
		v := &p.size.Variable[i]
		if v.Value != nil {
			sizes = append(sizes, v.Words+" "+count(*v.Value))
		} else {
			sizes = append(sizes, fmt.Sprintf("%s %s at rest, %s on a day, %s in the worst minute", v.Words, count(*v.Rest), count(*v.Day), count(*v.Worst)))
		}
	}
	return wrap("**The size aimed at:** " + strings.Join(sizes, "; ") + ".")
}

// wrap breaks a text into lines of at most maxLine characters.
func wrap(text string) string {
	var b strings.Builder
	at := 0
	for _, word := range strings.Fields(text) {
		if n := len([]rune(word)); at > 0 && at+1+n > maxLine {
			b.WriteString("\n")
			at = 0
		} else if at > 0 {
			b.WriteString(" ")
			at++
		}
		b.WriteString(word)
		at += len([]rune(word))
	}
	return b.String() + "\n"
}

// brief returns the short form of one role's table.
func (p *printer) brief(role string) string {
	t := table("load", "figure", "slope", "at the size", "measured over", "times beyond", "bound", "met", "run")
	var gaps []string
	for _, load := range slopes.Loads {
		for _, e := range p.of(role, load) {
			if p.governs(e, false) && !p.inOtherRow(e) && !p.isSmall(e) && !p.isFarther(e) {
				p.short(t, e)
			}
		}
		p.together(t, role, load)
		if missing := p.gaps(role, load); len(missing) > 0 {
			gaps = append(gaps, loads[load]+" "+bothWays(strings.Join(missing, "; ")))
		}
	}
	text := "Not measured.\n"
	if len(t.rows) > 0 {
		text = t.String()
	}
	if len(gaps) > 0 {
		text += "\n" + wrap("Not measured: "+strings.Join(gaps, ". ")+".")
	}
	return text
}

// bothWays uses one word for a figure that is missing in both directions.
func bothWays(missing string) string {
	return strings.NewReplacer("messages out, messages in", "messages", "bytes out, bytes in", "bytes").Replace(missing)
}

// other returns the entry whose name has newWord in place of oldWord, or nil if there is no such entry.
func (p *printer) other(e *slopes.Slope, oldWord, newWord string) *slopes.Slope {
	name := strings.Replace(e.Name, "."+oldWord, "."+newWord, 1)
	if i := slices.IndexFunc(p.all, func(o slopes.Slope) bool { return o.Name == name }); i >= 0 && name != e.Name {
		return &p.all[i]
	}
	return nil
}

// direction splits a quantity that has a direction: for bytes_out, word is bytes and other is bytes_in. Both are
// empty if the quantity has no direction.
func direction(quantity string) (word, other string) {
	if w, ok := strings.CutSuffix(quantity, "_in"); ok {
		return w, w + "_out"
	}
	if w, ok := strings.CutSuffix(quantity, "_out"); ok {
		return w, w + "_in"
	}
	return "", ""
}

// opposite returns the greatest entry of the other direction with the same load and mechanism, or nil if there is no
// such entry.
func (p *printer) opposite(e *slopes.Slope) *slopes.Slope {
	_, other := direction(e.Quantity)
	if other == "" {
		return nil
	}
	for i := range p.all {
		if o := &p.all[i]; o.Role == e.Role && o.Load == e.Load && o.Mechanism == e.Mechanism && o.Quantity == other && p.governs(o, false) {
			return o
		}
	}
	return nil
}

// inOtherRow reports whether an entry has no row of its own because another row covers it: messages are in the row of
// their bytes, and of two directions only the greater has a row.
func (p *printer) inOtherRow(e *slopes.Slope) bool {
	word, _ := direction(e.Quantity)
	if word == "messages" && slices.ContainsFunc(p.all, func(o slopes.Slope) bool {
		w, _ := direction(o.Quantity)
		return w == "bytes" && o.Role == e.Role && o.Load == e.Load && o.Mechanism == e.Mechanism && p.other(&o, o.Quantity, strings.Replace(o.Quantity, "bytes", "messages", 1)) != nil
	}) {
		return true
	}
	if o := p.opposite(e); o != nil {
		a, b := p.targetValue(e), p.targetValue(o)
		return b > a || b == a && o.Name < e.Name
	}
	return false
}

// isSmall reports whether an entry, with both directions added, is a small share of a bound on a sum.
func (p *printer) isSmall(e *slopes.Slope) bool {
	value := p.targetValue(e)
	if o := p.opposite(e); o != nil {
		value += p.targetValue(o)
	}
	return slices.ContainsFunc(p.size.Bound, func(b Bound) bool {
		return b.Sum && b.of(e) && b.in(e.Load) && value*scale(b.Unit, e.Unit) < smallShare*b.Most
	})
}

// isFarther reports whether an entry meets a bound on single entries, and another entry of its load is closer to the
// bound.
func (p *printer) isFarther(e *slopes.Slope) bool {
	return slices.ContainsFunc(p.size.Bound, func(b Bound) bool {
		by := scale(b.Unit, e.Unit)
		return !b.Sum && b.of(e) && b.in(e.Load) && by*p.targetValue(e) <= b.Most && slices.ContainsFunc(p.all, func(o slopes.Slope) bool {
			return b.of(&o) && o.Load == e.Load && o.Role == e.Role && scale(b.Unit, o.Unit)*p.targetValue(&o) > by*p.targetValue(e)
		})
	})
}

// workedOut begins the note of an entry whose points are calculated from the measurements of other entries.
const workedOut = "worked out"

// short adds the short row of an entry to a table.
func (p *printer) short(t *grid, e *slopes.Slope) {
	v := p.size.variable(e.Variable)
	f, x := e.Fit(), v.at(e.Load)
	value, measured := at(e, f, x)
	_, high := e.Range()
	there, beyond := unit(value, e.Unit), "within"
	switch {
	case strings.HasPrefix(e.Note, workedOut):
		beyond = workedOut
	case measured:
		beyond = "measured"
	case x > high:
		beyond = extrapolation(x / high)
		if e.Form == "table" {
			there = "not extrapolated"
		}
	}
	word, _ := direction(e.Quantity)
	if m := p.other(e, e.Quantity, strings.Replace(e.Quantity, "bytes", "messages", 1)); m != nil && word == "bytes" && there != "not extrapolated" {
		there += fmt.Sprintf(", %s msg/s", count(round(p.targetValue(m))))
	}
	bound, kept := p.boundOf(e, value)
	bound = strings.TrimSuffix(bound, forAll)
	form := shortFormula(e, f)
	if e.Ceiling > 0 {
		form += ", at most " + unit(e.Ceiling, e.Unit)
	}
	t.row(e.Load, p.figure(e), form, there, over(e, v), beyond, bound, kept, p.number(e))
}

// extrapolation formats the factor by which a figure is extrapolated beyond the measured sizes, in bold above Far.
func extrapolation(times float64) string {
	text := fmt.Sprintf("%.1f", times)
	if times > Far {
		return "**" + text + "**"
	}
	return text
}

// over returns the range of sizes over which an entry was measured, as text.
func over(e *slopes.Slope, v *Variable) string {
	low, high := e.Range()
	if low == high {
		return fmt.Sprintf("%s %s", count(low), v.Words)
	}
	return fmt.Sprintf("%s to %s %s", count(low), count(high), v.Words)
}

// forAll is the suffix of a bound that all mechanisms of a role share.
const forAll = " for all"

// boundOf returns the bound on an entry as text, and whether the entry alone meets it.
func (p *printer) boundOf(e *slopes.Slope, value float64) (bound, kept string) {
	for i := range p.size.Bound {
		if b := &p.size.Bound[i]; b.of(e) && b.in(e.Load) {
			bound, kept = unit(b.Most, b.Unit), met(value*scale(b.Unit, e.Unit) <= b.Most)
			if b.Sum {
				bound += forAll
			}
		}
	}
	return bound, kept
}

// figure returns an entry's name, preceded by its quantity if the name does not contain it.
func (p *printer) figure(e *slopes.Slope) string {
	if strings.Contains(e.Name, "."+e.Quantity) {
		return "`" + e.Name + "`"
	}
	return words(e.Quantity) + " `" + e.Name + "`"
}

// shortFormula returns a fit as short text, in which n is the size.
func shortFormula(e *slopes.Slope, f slopes.Fit) string {
	one := func(x float64) string { return strings.TrimSuffix(unit(x, e.Unit), " of a core") }
	plus := func(term string) string {
		if f.B < 0 {
			return fmt.Sprintf("%s - %s %s", one(f.A), one(-f.B), term)
		}
		return fmt.Sprintf("%s + %s %s", one(f.A), one(f.B), term)
	}
	switch e.Form {
	case "constant":
		return "flat, mean " + one(f.A)
	case "linear":
		return plus("n")
	case "log":
		return plus("ln n")
	case "nlogn":
		return plus("n ln n")
	case "power":
		return fmt.Sprintf("%s n^%.2f", one(f.A), f.B)
	}
	first, last := e.Points[0], e.Points[len(e.Points)-1]
	text := count(first[0]) + ": " + one(first[1])
	if len(e.Points) > 1 {
		text += "; " + count(last[0]) + ": " + one(last[1])
	}
	return text
}

// together adds a row with the sums that a role's bounds apply to, at a load that has figures of its own, and with the
// number of mechanisms in them.
func (p *printer) together(t *grid, role, load string) {
	var values, bounds, kept []string
	who := map[string]bool{}
	for i := range p.size.Bound {
		b := &p.size.Bound[i]
		if !b.Sum || b.Role != role || !b.in(load) {
			continue
		}
		parts := p.parts(b, load)
		if !slices.ContainsFunc(parts, func(t term) bool { return t.as == load }) {
			continue
		}
		for _, t := range parts {
			who[t.e.Mechanism] = true
		}
		sum := total(parts, 1)
		values, bounds, kept = append(values, unit(sum, b.Unit)), append(bounds, unit(b.Most, b.Unit)), append(kept, met(sum <= b.Most))
	}
	if len(values) > 0 {
		t.row(load, fmt.Sprintf("**all together**, of %d", len(who)), "", strings.Join(values, "; "), "", "", strings.Join(bounds, "; "), strings.Join(kept, "; "), "")
	}
}

// firstBreaks returns the table of bounds that are not met, and of the first breaksAfter that are.
func (p *printer) firstBreaks() string {
	all := p.crossings()
	if len(all) == 0 {
		return "Not measured.\n"
	}
	t := table("", "bound", "load", "crossed at", "most of it, or all", "at the size", "at most", "met")
	after, rest := 0, 0
	for i := range all {
		c := &all[i]
		if c.met() {
			if after++; after > breaksAfter {
				rest++
				continue
			}
		}
		t.row(i+1, c.bound.Name, c.load, c.at, "`"+c.top+"`", unit(c.value, c.bound.Unit), unit(c.bound.Most, c.bound.Unit), met(c.met()))
	}
	if rest > 0 {
		t.row(fmt.Sprintf("%d to %d", len(all)-rest+1, len(all)), "", "", "later", "", "", "", met(true))
	}
	return t.String()
}

// tiers returns the table of incidents in chains of tiers; the second word of an entry's name is the incident.
func (p *printer) tiers() string {
	var all []*slopes.Slope
	for _, load := range slopes.Loads {
		all = append(all, p.of("chain", load)...)
	}
	return p.incidents(all, nil, func(e *slopes.Slope) string { return strings.Split(e.Name, ".")[1] })
}

// minutes returns the table of the membership view's worst minutes; the last word of an entry's name is the incident.
func (p *printer) minutes() string {
	all := slices.DeleteFunc(p.of("agent", "worst"), func(e *slopes.Slope) bool { return e.Mechanism != "view" })
	return p.incidents(all, []string{"bytes_out", "bytes_out_most", "time_agreed"}, func(e *slopes.Slope) string {
		return strings.TrimSuffix(e.Name[strings.LastIndex(e.Name, ".")+1:], "_80ms") // the round-trip time of all these incidents
	})
}

// incidents returns a short table of figures at a few sizes, with a row for each incident and a column for each
// quantity; an empty list of quantities means all. If an incident has several entries of a quantity, the one whose
// name ends in the quantity is used.
func (p *printer) incidents(all []*slopes.Slope, quantities []string, of func(*slopes.Slope) string) string {
	given := len(quantities) > 0
	var incidents []string
	var sizes []float64
	grows := ""
	cells := map[[2]string]*slopes.Slope{}
	for _, e := range all {
		if given && !slices.Contains(quantities, e.Quantity) {
			continue
		}
		k := [2]string{of(e), e.Quantity}
		if !slices.Contains(incidents, k[0]) {
			incidents = append(incidents, k[0])
		}
		if !slices.Contains(quantities, e.Quantity) {
			quantities = append(quantities, e.Quantity)
		}
		if cells[k] == nil || strings.HasSuffix(e.Name, "."+e.Quantity) {
			cells[k] = e
		}
		grows = p.size.variable(e.Variable).Words
		for _, at := range e.Points {
			if !slices.Contains(sizes, at[0]) {
				sizes = append(sizes, at[0])
			}
		}
	}
	if len(incidents) == 0 {
		return "Not measured.\n"
	}
	slices.Sort(sizes)
	var by []string
	for _, x := range sizes {
		by = append(by, count(x))
	}
	head := []any{"by " + grows + ": " + strings.Join(by, " / ")}
	for _, q := range quantities {
		head = append(head, words(q))
	}
	t := table(append(head, "run")...)
	for _, incident := range incidents {
		row, runs := []any{words(incident)}, []string{}
		for _, q := range quantities {
			e := cells[[2]string{incident, q}]
			if e == nil {
				row = append(row, "")
				continue
			}
			row = append(row, bySize(e, sizes))
			if n := p.number(e); !slices.Contains(runs, n) {
				runs = append(runs, n)
			}
		}
		t.row(append(row, strings.Join(runs, " "))...)
	}
	return t.String()
}

// bySize returns an entry's values at sizes; "-" means not measured. A unit that all values share is written once.
func bySize(e *slopes.Slope, sizes []float64) string {
	var all, units []string
	for _, x := range sizes {
		text, u := "-", ""
		if i := slices.IndexFunc(e.Points, func(p [2]float64) bool { return p[0] == x }); i >= 0 {
			text = strings.TrimSuffix(unit(e.Points[i][1], e.Unit), " "+perCall)
			if _, u, _ = strings.Cut(text, " "); !slices.Contains(units, u) {
				units = append(units, u)
			}
		}
		all = append(all, text)
	}
	if len(units) != 1 || units[0] == "" {
		return strings.Join(all, " / ")
	}
	for i := range all {
		all[i] = strings.TrimSuffix(all[i], " "+units[0])
	}
	return strings.Join(all, " / ") + " " + units[0]
}

// perCall is the unit of attempts, which is not printed.
const perCall = "1/call"
