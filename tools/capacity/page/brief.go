package page

import (
	"fmt"
	"slices"
	"strings"

	"vetchhaven/tools/capacity/slopes"
)

// Of docs/CAPACITY.md, which a person reads whole:
const (
	lineMost    = 150 // characters of a line of text
	small       = 0.1 // of a bound that it shares: what a mechanism takes below that has no row of its own
	breaksAfter = 2   // bounds that are met at the size aimed at, after those that are not
)

// Brief are the tables of docs/CAPACITY.md, by name: those that Tables has, but the runs, in short. A role's table has of
// each load, mechanism and quantity what is greatest at the size aimed at, of what is asked for or bounded; of bytes in and
// out the greater, with its messages; and all that a bound holds for together. What is played as incidents is by size.
func Brief(s *Size, all []slopes.Slope) map[string]string {
	p := printerOf(s, all)
	tables := map[string]string{"size": p.sizeLine(), "breaks": p.firstBreaks(), "chain": p.tiers(), "minutes": p.minutes()}
	for _, role := range slopes.Roles {
		if role != "chain" {
			tables[role] = p.brief(role)
		}
	}
	return tables
}

// sizeLine is the size aimed at as text.
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

// wrap breaks a text into lines.
func wrap(text string) string {
	var b strings.Builder
	at := 0
	for _, word := range strings.Fields(text) {
		if n := len([]rune(word)); at > 0 && at+1+n > lineMost {
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

// brief is the short table of one role.
func (p *printer) brief(role string) string {
	t := table("load", "figure", "slope", "at the size", "measured over", "times beyond", "bound", "met", "run")
	var gaps []string
	for _, load := range slopes.Loads {
		for _, e := range p.of(role, load) {
			if p.governs(e, false) && !p.beside(e) && !p.isSmall(e) && !p.isFarther(e) {
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

// bothWays has one word for what is missing out and in.
func bothWays(missing string) string {
	return strings.NewReplacer("messages out, messages in", "messages", "bytes out, bytes in", "bytes").Replace(missing)
}

// other is the entry of the same case with a word of its name replaced; nil: there is none.
func (p *printer) other(e *slopes.Slope, was, is string) *slopes.Slope {
	name := strings.Replace(e.Name, "."+was, "."+is, 1)
	if i := slices.IndexFunc(p.all, func(o slopes.Slope) bool { return o.Name == name }); i >= 0 && name != e.Name {
		return &p.all[i]
	}
	return nil
}

// way is a quantity's own word, of two ways: bytes of bytes_out. Empty: it has no ways.
func way(quantity string) (word, other string) {
	if w, ok := strings.CutSuffix(quantity, "_in"); ok {
		return w, w + "_out"
	}
	if w, ok := strings.CutSuffix(quantity, "_out"); ok {
		return w, w + "_in"
	}
	return "", ""
}

// opposite is the greatest entry of the other way, of the same load and mechanism.
func (p *printer) opposite(e *slopes.Slope) *slopes.Slope {
	_, other := way(e.Quantity)
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

// beside reports whether an entry is told beside another, and has no row: messages beside the bytes that they are, and of
// two ways the lesser.
func (p *printer) beside(e *slopes.Slope) bool {
	word, _ := way(e.Quantity)
	if word == "messages" && slices.ContainsFunc(p.all, func(o slopes.Slope) bool {
		w, _ := way(o.Quantity)
		return w == "bytes" && o.Role == e.Role && o.Load == e.Load && o.Mechanism == e.Mechanism && p.other(&o, o.Quantity, strings.Replace(o.Quantity, "bytes", "messages", 1)) != nil
	}) {
		return true
	}
	if o := p.opposite(e); o != nil {
		a, b := p.aimed(e), p.aimed(o)
		return b > a || b == a && o.Name < e.Name
	}
	return false
}

// isSmall reports whether an entry, both ways together, is little of a bound that it shares with others.
func (p *printer) isSmall(e *slopes.Slope) bool {
	value := p.aimed(e)
	if o := p.opposite(e); o != nil {
		value += p.aimed(o)
	}
	return slices.ContainsFunc(p.size.Bound, func(b Bound) bool {
		return b.Sum && b.of(e) && b.in(e.Load) && value*scale(b.Unit, e.Unit) < small*b.Most
	})
}

// isFarther reports whether an entry keeps a bound that holds for each by itself, and another of its load is nearer to it.
func (p *printer) isFarther(e *slopes.Slope) bool {
	return slices.ContainsFunc(p.size.Bound, func(b Bound) bool {
		by := scale(b.Unit, e.Unit)
		return !b.Sum && b.of(e) && b.in(e.Load) && by*p.aimed(e) <= b.Most && slices.ContainsFunc(p.all, func(o slopes.Slope) bool {
			return b.of(&o) && o.Load == e.Load && o.Role == e.Role && scale(b.Unit, o.Unit)*p.aimed(&o) > by*p.aimed(e)
		})
	})
}

// workedOut begins the note of an entry whose points are not measured, but worked out from others that are.
const workedOut = "worked out"

// short is an entry's row.
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
		beyond = farther(x / high)
		if e.Form == "table" {
			there = "not extrapolated"
		}
	}
	word, _ := way(e.Quantity)
	if m := p.other(e, e.Quantity, strings.Replace(e.Quantity, "bytes", "messages", 1)); m != nil && word == "bytes" && there != "not extrapolated" {
		there += fmt.Sprintf(", %s msg/s", count(round(p.aimed(m))))
	}
	bound, kept := p.boundOf(e, value)
	bound = strings.TrimSuffix(bound, forAll)
	form := shortFormula(e, f)
	if e.Ceiling > 0 {
		form += ", at most " + unit(e.Ceiling, e.Unit)
	}
	t.row(e.Load, p.figure(e), form, there, over(e, v), beyond, bound, kept, p.number(e))
}

// farther is how many times beyond what was measured a figure is, marked where that is far.
func farther(times float64) string {
	text := fmt.Sprintf("%.1f", times)
	if times > Far {
		return "**" + text + "**"
	}
	return text
}

// over is which sizes an entry was measured over.
func over(e *slopes.Slope, v *Variable) string {
	low, high := e.Range()
	if low == high {
		return fmt.Sprintf("%s %s", count(low), v.Words)
	}
	return fmt.Sprintf("%s to %s %s", count(low), count(high), v.Words)
}

// forAll marks a bound that all mechanisms of a role share.
const forAll = " for all"

// boundOf is the bound on an entry, and whether the entry keeps it alone.
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

// figure is an entry's name, and its quantity where the name has another word.
func (p *printer) figure(e *slopes.Slope) string {
	if strings.Contains(e.Name, "."+e.Quantity) {
		return "`" + e.Name + "`"
	}
	return words(e.Quantity) + " `" + e.Name + "`"
}

// shortFormula is a fit in few words; n is the size.
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

// together is the row of what bounds on sums hold for, of a load that has figures of its own, and how many mechanisms are in it.
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

// firstBreaks are the bounds that are not met, and the first of those that are.
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

// tiers are the incidents of calls in tiers, the second word of a name.
func (p *printer) tiers() string {
	var all []*slopes.Slope
	for _, load := range slopes.Loads {
		all = append(all, p.of("chain", load)...)
	}
	return p.incidents(all, nil, func(e *slopes.Slope) string { return strings.Split(e.Name, ".")[1] })
}

// minutes are the view's worst minutes, each the last word of its names.
func (p *printer) minutes() string {
	all := slices.DeleteFunc(p.of("agent", "worst"), func(e *slopes.Slope) bool { return e.Mechanism != "view" })
	return p.incidents(all, []string{"bytes_out", "bytes_out_most", "time_agreed"}, func(e *slopes.Slope) string {
		return strings.TrimSuffix(e.Name[strings.LastIndex(e.Name, ".")+1:], "_80ms") // all are played at that distance
	})
}

// incidents is the short table of figures by a few sizes: a row an incident, a column a quantity (no list: all), of its
// entries the one that is named for it.
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

// bySize are an entry's values at sizes; -: not measured there. A unit that all have stands once.
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

// perCall is the unit of attempts, which go without it.
const perCall = "1/call"
