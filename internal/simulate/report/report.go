// Package report renders the result of a simulated scenario as text, tables, JSON and an HTML page with plots.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/checker"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/simulate/statistics"
)

// Result is the result of one policy.
type Result struct {
	Policy   string
	Day      *statistics.Day
	Judge    *checker.Checker
	CutShort bool
}

// Report holds the results of all policies that were simulated with a scenario.
type Report struct {
	Scenario *model.Scenario
	Seed     uint64
	Driver   string // virtual or sockets
	Results  []Result
}

// Broken returns how often the first policy broke rules. The other policies serve only for comparison.
func (r *Report) Broken() int { return r.Results[0].Judge.Total() }

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

func clock(d time.Duration) string {
	return fmt.Sprintf("%d:%04.1f", int(d.Minutes()), (d % time.Minute).Seconds())
}

// Text writes the report as plain text.
func (r *Report) Text(w io.Writer) error {
	s := r.Scenario
	fmt.Fprintf(w, "%s: %d servers, %d agents, %g requests a second, %v, %s, seed %d\n", s.Title, len(s.Servers), s.Agents,
		s.Rate, s.Length, r.Driver, r.Seed)
	for _, m := range s.Marks {
		fmt.Fprintf(w, "  %6s to %6s  %s\n", clock(m.From), clock(m.To), m.Text)
	}
	for _, res := range r.Results {
		if res.CutShort {
			fmt.Fprintf(w, "CUT SHORT at %s: this report covers the time until then\n", clock(res.Day.Length))
		}
	}
	if len(r.Results) > 1 {
		fmt.Fprintln(w)
		r.compare(w)
	}
	res := r.Results[0]
	fmt.Fprintf(w, "\n%s\n", res.Policy)
	windows(w, res.Day)
	fmt.Fprintln(w)
	r.classes(w, res.Day)
	fmt.Fprintln(w)
	serversTable(w, res.Day)
	for _, res := range r.Results {
		fmt.Fprintln(w)
		rulesSummary(w, res)
	}
	return nil
}

func table(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func (r *Report) compare(w io.Writer) {
	t := table(w)
	fmt.Fprintln(t, "policy\tservice\tworst 5 s\tin time\tlate\trefused\tfailed\ttries\tattempts\trules broken\t")
	for _, res := range r.Results {
		d := res.Day
		worst, _ := d.Worst()
		n := float64(max(d.Total.Offered, 1))
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%.2f\t%d\t\n", res.Policy, percent(d.Total.Service()), percent(worst),
			percent(float64(d.Total.InTime)/n), percent(float64(d.Total.Late)/n), percent(float64(d.Total.Refused)/n),
			percent(float64(d.Total.Failed)/n), float64(d.Total.Tries)/n, float64(d.Total.Attempts)/n, res.Judge.Total())
	}
	t.Flush()
}

func windows(w io.Writer, d *statistics.Day) {
	t := table(w)
	fmt.Fprintln(t, "from\toffered\tin time\tlate\trefused\tfailed\ttries\tattempts\tservice\topened\tlist calls\tin view\t")
	row := func(name string, c statistics.Counts) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%.1f\t\n", name, c.Offered, c.InTime, c.Late, c.Refused,
			c.Failed, c.Tries, c.Attempts, percent(c.Service()), c.Dials, c.Calls, c.View)
	}
	for i, c := range d.Windows {
		if at := time.Duration(i) * statistics.Window; at < d.Length {
			row(clock(at), c)
		}
	}
	row("all", d.Total)
	t.Flush()
	if d.Total.Why == (statistics.Reasons{}) {
		return
	}
	fmt.Fprintln(w, "\nturned away, by tries and reason")
	t = table(w)
	fmt.Fprint(t, "from\t")
	for i := range d.Total.Why {
		fmt.Fprintf(t, "%v\t", decide.Reason(i))
	}
	fmt.Fprintln(t)
	reasons := func(name string, c statistics.Counts) {
		fmt.Fprintf(t, "%s\t", name)
		for _, n := range c.Why {
			fmt.Fprintf(t, "%d\t", n)
		}
		fmt.Fprintln(t)
	}
	for i, c := range d.Windows {
		if at := time.Duration(i) * statistics.Window; at < d.Length {
			reasons(clock(at), c)
		}
	}
	reasons("all", d.Total)
	t.Flush()
}

func (r *Report) classes(w io.Writer, d *statistics.Day) {
	t := table(w)
	fmt.Fprintln(t, "class\toffered\tin time\tlate\trefused\tfailed\ttries\tattempts\tservice\tp50\tp99\t")
	for i, c := range d.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", r.Scenario.Classes[i].Name, c.Offered, c.InTime, c.Late,
			c.Refused, c.Failed, c.Tries, c.Attempts, percent(c.Service()), ms(d.Latency(i, 0.5)), ms(d.Latency(i, 0.99)))
	}
	t.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

const maxServersShown = 40

func serversTable(w io.Writer, d *statistics.Day) {
	t := table(w)
	fmt.Fprintln(t, "server\tkind\tzone\tpod\tattempts\tshare\tserved\terrors\tfull\tmost held\tcold load\t")
	for i, s := range d.Servers {
		if i == maxServersShown {
			fmt.Fprintf(t, "and %d more\t\t\t\t\t\t\t\t\t\t\t\n", len(d.Servers)-i)
			break
		}
		held := 0.0
		for _, q := range s.Queue {
			held = max(held, q)
		}
		cold := "-"
		if s.Pressure > 0 {
			cold = fmt.Sprintf("%.2f", s.Pressure)
		}
		if s.Fell {
			cold += " FELL"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%.1f\t%s\t\n", s.Name, s.Kind, s.Zone, s.Pod, s.Attempts, percent(s.Share),
			s.Served, s.Errors, s.Full, held, cold)
	}
	t.Flush()
}

var rules = [...]string{1: "one final answer in time, nothing sent after it", 2: "no effect twice, retries after refusals harmless",
	3: "nothing new to servers that drain or are gone", 4: "no cold server overloaded"}

const maxBreachesShown = 5

func rulesSummary(w io.Writer, res Result) {
	if n, free := res.Judge.Doubled(); n > 0 {
		fmt.Fprintf(w, "effects: %s: %d had their effect twice, %d of them by sends within the rules\n", res.Policy, n, len(free))
		if len(free) > 0 {
			fmt.Fprintln(w, "  (the list reported a change too late), the first", free[0].Request, "on", strings.Join(free[0].Servers, " and "))
		}
	}
	if res.Judge.Total() == 0 {
		fmt.Fprintf(w, "rules: %s kept all four\n", res.Policy)
		return
	}
	var n []string
	for rule := 1; rule <= 4; rule++ {
		if c := res.Judge.Count(rule); c > 0 {
			n = append(n, fmt.Sprintf("rule %d (%s) %d times", rule, rules[rule], c))
		}
	}
	fmt.Fprintf(w, "rules: %s BROKE %s\n", res.Policy, strings.Join(n, ", "))
	shown := map[int]int{}
	for _, b := range res.Judge.Breaches() {
		if shown[b.Rule]++; shown[b.Rule] <= maxBreachesShown {
			fmt.Fprintln(w, " ", b)
		}
	}
}

type jsonReport struct {
	Title     string       `json:"title"`
	Driver    string       `json:"driver"`
	Seed      uint64       `json:"seed"`
	Length    float64      `json:"length_s"`
	Window    float64      `json:"window_s"`
	Incidents []jsonMark   `json:"incidents"`
	Results   []jsonResult `json:"results"`
}

type jsonMark struct {
	From float64 `json:"from_s"`
	To   float64 `json:"to_s"`
	Text string  `json:"text"`
}

type jsonResult struct {
	Policy   string               `json:"policy"`
	CutShort bool                 `json:"cut_short"`
	Played   float64              `json:"played_s"`
	Service  float64              `json:"service"`
	Worst    float64              `json:"service_worst_window"`
	Total    statistics.Counts    `json:"total"`
	Windows  []statistics.Counts  `json:"windows"`
	Classes  []jsonClass          `json:"classes"`
	Servers  []*statistics.Server `json:"servers"`
	Reads    int                  `json:"list_reads"`
	Broken   map[string]int       `json:"rules_broken"`
	Breaches []string             `json:"breaches"`
	Doubled  int                  `json:"effects_doubled"`
}

type jsonClass struct {
	Name string `json:"name"`
	statistics.Counts
	Service float64 `json:"service"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
}

// JSON writes the complete report. It contains no real time, so the same simulation gives the same bytes.
func (r *Report) JSON(w io.Writer) error {
	out := jsonReport{Title: r.Scenario.Title, Driver: r.Driver, Seed: r.Seed, Length: r.Scenario.Length.Seconds(),
		Window: statistics.Window.Seconds(), Incidents: []jsonMark{}}
	for _, m := range r.Scenario.Marks {
		out.Incidents = append(out.Incidents, jsonMark{m.From.Seconds(), m.To.Seconds(), m.Text})
	}
	for _, res := range r.Results {
		d := res.Day
		worst, _ := d.Worst()
		j := jsonResult{Policy: res.Policy, CutShort: res.CutShort, Played: d.Length.Seconds(), Service: d.Total.Service(), Worst: worst,
			Total: d.Total, Windows: d.Windows, Servers: d.Servers, Reads: d.Reads, Broken: map[string]int{}, Breaches: []string{}}
		j.Doubled, _ = res.Judge.Doubled()
		for rule := 1; rule <= 4; rule++ {
			j.Broken[fmt.Sprint(rule)] = res.Judge.Count(rule)
		}
		for _, b := range res.Judge.Breaches() {
			j.Breaches = append(j.Breaches, b.String())
		}
		for i, c := range d.Classes {
			j.Classes = append(j.Classes, jsonClass{r.Scenario.Classes[i].Name, c, c.Service(),
				float64(d.Latency(i, 0.5).Microseconds()) / 1000, float64(d.Latency(i, 0.99).Microseconds()) / 1000})
		}
		out.Results = append(out.Results, j)
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(out)
}
