package report

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"vetchhaven/internal/simulate/statistics"
)

// HTML writes a self-contained page with tables, and plots as SVG.
func (r *Report) HTML(w io.Writer) error {
	p := page{Report: r, Title: r.Scenario.Title, Rules: rules[1:]}
	for i, res := range r.Results {
		d := res.Day
		worst, at := d.Worst()
		n := float64(max(d.Total.Offered, 1))
		p.Rows = append(p.Rows, row{Policy: res.Policy, Colour: colour(i), Service: percent(d.Total.Service()),
			Worst: percent(worst), WorstAt: clock(at), InTime: percent(float64(d.Total.InTime) / n),
			Late: percent(float64(d.Total.Late) / n), Refused: percent(float64(d.Total.Refused) / n),
			Failed: percent(float64(d.Total.Failed) / n), Tries: fmt.Sprintf("%.2f", float64(d.Total.Tries)/n),
			Attempts: fmt.Sprintf("%.2f", float64(d.Total.Attempts)/n), Broken: res.Judge.Total(), CutShort: res.CutShort})
		for j, b := range res.Judge.Breaches() {
			if j == maxBreachesShown {
				break
			}
			p.Breaches = append(p.Breaches, res.Policy+": "+b.String())
		}
	}
	p.Charts = r.charts()
	for i, c := range r.Results[0].Day.Classes {
		d := r.Results[0].Day
		p.Classes = append(p.Classes, classRow{r.Scenario.Classes[i].Name, c, percent(c.Service()), ms(d.Latency(i, 0.5)), ms(d.Latency(i, 0.99))})
	}
	return pageTemplate.Execute(w, p)
}

type page struct {
	Report   *Report
	Title    string
	Rows     []row
	Classes  []classRow
	Charts   []chart
	Rules    []string
	Breaches []string
}

type row struct {
	Policy, Colour, Service, Worst, WorstAt, InTime, Late, Refused, Failed, Tries, Attempts string
	Broken                                                                                  int
	CutShort                                                                                bool
}

type classRow struct {
	Name string
	statistics.Counts
	Service, P50, P99 string
}

// colours are the colours of the lines, which colour-blind readers can also distinguish (palette of Okabe and Ito).
// Further lines use the same colours with dashes.
var colours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#8a6d00", "#56b4e9", "#7a4fbf", "#a33b3b"}

func colour(i int) string { return colours[i%len(colours)] }

func dash(i int) string {
	return [...]string{"", "6 3", "2 3", "8 3 2 3"}[i/len(colours)%4]
}

// charts returns the plots: service, attempts and refusals by policy, and held requests by server.
func (r *Report) charts() []chart {
	var service, attempts, refusals, asked, held []line
	for i, res := range r.Results {
		l := func(f func(statistics.Counts) float64) line {
			out := line{Name: res.Policy, Colour: colour(i), Dash: dash(i)}
			for w, c := range res.Day.Windows {
				if at := time.Duration(w) * statistics.Window; at < res.Day.Length {
					out.X = append(out.X, (at + statistics.Window/2).Seconds())
					out.Y = append(out.Y, f(c))
				}
			}
			return out
		}
		per := func(f func(statistics.Counts) int) func(statistics.Counts) float64 {
			return func(c statistics.Counts) float64 { return float64(f(c)) / statistics.Window.Seconds() }
		}
		service = append(service, l(func(c statistics.Counts) float64 { return 100 * c.Service() }))
		attempts = append(attempts, l(per(func(c statistics.Counts) int { return c.Attempts })))
		refusals = append(refusals, l(per(func(c statistics.Counts) int { return c.Refusals })))
		if i == 0 {
			o := l(per(func(c statistics.Counts) int { return c.Offered }))
			o.Name, o.Colour, o.Dash = "asked for", "#888", "2 3"
			asked = append(asked, o)
		}
	}
	const maxLines = 24
	for i, s := range r.Results[0].Day.Servers {
		if i == maxLines {
			break
		}
		l := line{Name: s.Name, Colour: colour(i), Dash: dash(i)}
		for w, q := range s.Queue {
			if at := time.Duration(w) * statistics.Window; q >= 0 && at < r.Results[0].Day.Length {
				l.X = append(l.X, (at + statistics.Window/2).Seconds())
				l.Y = append(l.Y, q)
			}
		}
		held = append(held, l)
	}
	return []chart{
		r.chart("Service: worth got of worth asked, % in each 5 s", 100, service),
		r.chart("Attempts a second, and first tries asked for", 0, append(attempts, asked...)),
		r.chart("Refusals given, a second", 0, refusals),
		r.chart("Requests held by each server, with "+r.Results[0].Policy, 0, held),
	}
}

type line struct {
	Name, Colour, Dash string
	X, Y               []float64
	Path               string
}

type tick struct {
	At   float64
	Text string
}

type band struct {
	X, W   float64
	Y      float64
	Text   string
	Anchor string
	TextX  float64
}

type chart struct {
	Title  string
	Lines  []line
	YTicks []tick
	XTicks []tick
	Bands  []band
	Height float64
}

const (
	plotLeft, plotRight = 56.0, 930.0
	plotHeight          = 220.0
	bandRow             = 13.0
)

// chart lays out lines over the scenario's time. top is the highest value of the y axis; 0: computed from the lines.
func (r *Report) chart(title string, top float64, lines []line) chart {
	c := chart{Title: title}
	length := r.Scenario.Length.Seconds()
	x := func(t float64) float64 { return plotLeft + (plotRight-plotLeft)*t/length }
	var ends []float64 // right ends of the labels in each row; a label that would overlap goes into the next row
	for _, m := range r.Scenario.Marks {
		b := band{X: x(m.From.Seconds()), Text: m.Text, Anchor: "start"}
		b.W = max(2, x(m.To.Seconds())-b.X)
		width := 6 * float64(len(m.Text))
		b.TextX = b.X + 2
		left := b.X
		if b.X+width > plotRight {
			b.Anchor, b.TextX = "end", min(b.X+b.W, plotRight)
			left = b.TextX - width
		}
		at := 0
		for at < len(ends) && ends[at] > left {
			at++
		}
		if at == len(ends) {
			ends = append(ends, 0)
		}
		ends[at] = max(b.X+b.W, left+width) + 6
		b.Y = float64(at)*bandRow + 10
		c.Bands = append(c.Bands, b)
	}
	first := float64(len(ends))*bandRow + 8
	c.Height = first + plotHeight + 24
	if top == 0 {
		for _, l := range lines {
			for _, v := range l.Y {
				top = max(top, v)
			}
		}
		top = nice(top)
	}
	y := func(v float64) float64 { return first + plotHeight*(1-v/top) }
	for i := 0; i <= 4; i++ {
		v := top * float64(i) / 4
		c.YTicks = append(c.YTicks, tick{y(v), fmt.Sprintf("%.4g", v)})
	}
	for i := 0; i <= 6; i++ {
		t := length * float64(i) / 6
		c.XTicks = append(c.XTicks, tick{x(t), clock(time.Duration(t * float64(time.Second)))})
	}
	for _, l := range lines {
		var path strings.Builder
		for i := range l.X {
			fmt.Fprintf(&path, "%c%.1f %.1f", map[bool]byte{true: 'M', false: 'L'}[i == 0], x(l.X[i]), y(min(l.Y[i], top)))
		}
		l.Path = path.String()
		c.Lines = append(c.Lines, l)
	}
	return c
}

// nice returns a round number not below v.
func nice(v float64) float64 {
	if v <= 0 {
		return 1
	}
	step := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 4, 5, 8, 10} {
		if f*step >= v {
			return f * step
		}
	}
	return v
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>{{.Title}}</title>
<style>
:root { color-scheme: light dark; --grid: #8884; --band: #f5a62333; }
body { font: 15px/1.45 system-ui, sans-serif; max-width: 1000px; margin: 2em auto; padding: 0 1em; }
table { border-collapse: collapse; margin: 1em 0; } td, th { padding: .2em .7em; text-align: right; border-bottom: 1px solid var(--grid); }
td:first-child, th:first-child { text-align: left; }
svg { width: 100%; height: auto; display: block; } svg text { font: 11px system-ui, sans-serif; fill: currentColor; }
.legend span { display: inline-block; margin-right: 1.1em; white-space: nowrap; } .legend svg { display: inline; width: 26px; height: 8px; }
.bad { color: #c22; font-weight: 600; } h2 { font-size: 1.05em; margin: 1.8em 0 .3em; } .wide { overflow-x: auto; }
</style></head><body>
<h1>{{.Title}}</h1>
<p>{{len .Report.Scenario.Servers}} servers, {{.Report.Scenario.Agents}} agents, {{.Report.Scenario.Rate}} requests a second,
{{.Report.Scenario.Length}}, {{.Report.Driver}}, seed {{.Report.Seed}}.</p>
<div class="wide"><table><tr><th>policy<th>service<th>worst 5 s<th>at<th>in time<th>late<th>refused<th>failed<th>tries<th>attempts<th>rules broken</tr>
{{range .Rows}}<tr><td><b style="color:{{.Colour}}">{{.Policy}}</b>{{if .CutShort}} <span class="bad">cut short</span>{{end}}<td>{{.Service}}<td>{{.Worst}}<td>{{.WorstAt}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Refused}}<td>{{.Failed}}<td>{{.Tries}}<td>{{.Attempts}}<td{{if .Broken}} class="bad"{{end}}>{{.Broken}}</tr>
{{end}}</table></div>
{{if .Breaches}}<h2 class="bad">Rules broken</h2><ul>{{range .Breaches}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{range .Charts}}{{$c := .}}<h2>{{.Title}}</h2>
<svg viewBox="0 0 960 {{.Height}}" role="img" aria-label="{{.Title}}">
{{range .Bands}}<rect x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{$c.Height}}" fill="var(--band)"><title>{{.Text}}</title></rect><text x="{{.TextX}}" y="{{.Y}}" text-anchor="{{.Anchor}}">{{.Text}}</text>
{{end}}{{range .YTicks}}<line x1="56" x2="930" y1="{{.At}}" y2="{{.At}}" stroke="var(--grid)"/><text x="50" y="{{.At}}" dy="4" text-anchor="end">{{.Text}}</text>
{{end}}{{range .XTicks}}<text x="{{.At}}" y="{{$c.Height}}" dy="-6" text-anchor="middle">{{.Text}}</text>
{{end}}{{range .Lines}}<path d="{{.Path}}" fill="none" stroke="{{.Colour}}" stroke-width="1.8" stroke-dasharray="{{.Dash}}"><title>{{.Name}}</title></path>
{{end}}</svg>
<p class="legend">{{range .Lines}}<span><svg viewBox="0 0 26 8"><line x1="0" x2="26" y1="4" y2="4" stroke="{{.Colour}}" stroke-width="2" stroke-dasharray="{{.Dash}}"/></svg> {{.Name}}</span>{{end}}</p>
{{end}}
<h2>Classes, with {{(index .Report.Results 0).Policy}}</h2>
<div class="wide"><table><tr><th>class<th>offered<th>in time<th>late<th>refused<th>failed<th>service<th>p50<th>p99</tr>
{{range .Classes}}<tr><td>{{.Name}}<td>{{.Offered}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Refused}}<td>{{.Failed}}<td>{{.Service}}<td>{{.P50}}<td>{{.P99}}</tr>
{{end}}</table></div>
</body></html>
`))
