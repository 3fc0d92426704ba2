// Package statistics collects the statistics of a simulation: the service that clients got, by time
// window, by class and by server. A client's retries count with its first try.
package statistics

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/model"
)

// Window is the length of the time windows.
const Window = 5 * time.Second

// Counts holds the results of the requests whose first try was in a window, and the numbers of tries,
// attempts and calls in the window. Each request ends in exactly one of InTime, Late, Refused and Failed.
type Counts struct {
	Offered  int     `json:"offered"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Tries    int     `json:"tries"`
	Attempts int     `json:"attempts"`
	Refusals int     `json:"refusals"`       // of tries; a later try of the same request may have been served
	Why      Reasons `json:"turned_away_by"` // refusals and failures by the policy, by reason
	Dials    int     `json:"connections_opened"`
	Calls    int     `json:"list_calls"`
	View     float64 `json:"servers_in_view"` // mean number of servers that an agent has connections to
	Asked    float64 `json:"worth_asked"`
	Got      float64 `json:"worth_got"`
}

// Reasons holds counts by decide.Reason.
type Reasons [decide.ReasonCount]int

// MarshalJSON encodes the counts by the names of the reasons.
func (r Reasons) MarshalJSON() ([]byte, error) {
	m := map[string]int{}
	for i, n := range r {
		m[decide.Reason(i).String()] = n
	}
	return json.Marshal(m)
}

// UnmarshalJSON decodes what MarshalJSON encodes.
func (r *Reasons) UnmarshalJSON(text []byte) error {
	m := map[string]int{}
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	for i := range r {
		r[i] = m[decide.Reason(i).String()]
	}
	return nil
}

// Service returns the value earned divided by the full value of the requests; 1 if there were no requests.
func (c Counts) Service() float64 {
	if c.Asked == 0 {
		return 1
	}
	return c.Got / c.Asked
}

func (c *Counts) add(o Counts) {
	c.Offered += o.Offered
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Tries += o.Tries
	c.Attempts += o.Attempts
	c.Refusals += o.Refusals
	for i, n := range o.Why {
		c.Why[i] += n
	}
	c.Dials += o.Dials
	c.Calls += o.Calls
	c.Asked += o.Asked
	c.Got += o.Got
}

// Server holds the statistics of one server.
type Server struct {
	Name     string    `json:"name"`
	Kind     string    `json:"kind"`
	Zone     string    `json:"zone"`
	Pod      int       `json:"pod"`
	Attempts int       `json:"attempts"`
	Share    float64   `json:"share"`
	Served   int       `json:"served"`
	Errors   int       `json:"errors"`
	Full     int       `json:"full"`
	Queue    []float64 `json:"queue"`    // mean number of held requests in each window; negative: the server did not run
	Pressure float64   `json:"pressure"` // maximum load while cold, as a multiple of the work that the server could do
	Fell     bool      `json:"fell"`

	sum []float64
	n   []int
}

// Day holds all statistics of a simulation.
type Day struct {
	Length      time.Duration
	Total       Counts
	Windows     []Counts
	Classes     []Counts
	ByClass     [][]Counts // by window, then class
	Servers     []*Server
	Reads       int // calls that the list answered
	s           *model.Scenario
	byName      map[string]*Server
	viewSamples []int                     // samples of InView in each window
	latency     []*hdrhistogram.Histogram // of served requests in microseconds, by class
}

// New returns empty statistics.
func New(s *model.Scenario) *Day {
	d := &Day{s: s, byName: map[string]*Server{}, Classes: make([]Counts, len(s.Classes))}
	for range s.Classes {
		d.latency = append(d.latency, hdrhistogram.New(1, time.Minute.Microseconds(), 2))
	}
	for _, v := range s.Servers {
		d.Server(v)
	}
	return d
}

// Server returns the statistics of a server and creates them if necessary.
func (d *Day) Server(v model.ServerSpec) *Server {
	row := d.byName[v.Name]
	if row == nil {
		row = &Server{Name: v.Name, Kind: d.s.Kinds[v.Kind].Name, Zone: d.s.Zones[v.Zone], Pod: v.Pod}
		d.byName[v.Name] = row
		d.Servers = append(d.Servers, row)
	}
	return row
}

func (d *Day) window(now time.Duration, class int) (all, one *Counts) {
	i := max(0, int(now/Window))
	for len(d.Windows) <= i {
		d.Windows = append(d.Windows, Counts{})
		d.ByClass = append(d.ByClass, make([]Counts, len(d.s.Classes)))
	}
	return &d.Windows[i], &d.ByClass[i][class]
}

func (d *Day) count(now time.Duration, class int, f func(*Counts)) {
	all, one := d.window(now, class)
	f(all)
	f(one)
}

// Try counts a try of a client; the first try also counts as an offered request.
func (d *Day) Try(now time.Duration, t *model.Task, try int) {
	d.count(now, t.Class, func(c *Counts) {
		c.Tries++
		if try == 0 {
			c.Offered++
		}
	})
}

// Attempt counts an attempt that an agent sends.
func (d *Day) Attempt(now time.Duration, class int, server string) {
	d.count(now, class, func(c *Counts) { c.Attempts++ })
	if row := d.byName[server]; row != nil {
		row.Attempts++
	}
}

// TurnedAway counts a request that the policy refuses or fails.
func (d *Day) TurnedAway(now time.Duration, class int, why decide.Reason) {
	if why < decide.ReasonCount {
		d.count(now, class, func(c *Counts) { c.Why[why]++ })
	}
}

// Dial counts a connection that an agent opens for a request of a class.
func (d *Day) Dial(now time.Duration, class int) {
	d.count(now, class, func(c *Counts) { c.Dials++ })
}

// Call counts a call for the list.
func (d *Day) Call(now time.Duration) {
	all, _ := d.window(now, 0)
	all.Calls++
}

// InView records the number of servers to which an agent has connections, as the mean over agents.
func (d *Day) InView(now time.Duration, mean float64) {
	all, _ := d.window(now, 0)
	i := int(now / Window)
	for len(d.viewSamples) <= i {
		d.viewSamples = append(d.viewSamples, 0)
	}
	d.viewSamples[i]++
	all.View += (mean - all.View) / float64(d.viewSamples[i])
}

// Refusal counts a refusal that a client gets.
func (d *Day) Refusal(now time.Duration, class int) {
	d.count(now, class, func(c *Counts) { c.Refusals++ })
}

// End counts the result of a task, in the window of its first try.
func (d *Day) End(now time.Duration, t *model.Task, last model.Answer) {
	got, asked := d.s.Worth(t, now, last == model.Served)
	class := &d.s.Classes[t.Class]
	d.count(t.At, t.Class, func(c *Counts) {
		c.Asked += asked
		c.Got += got
		switch {
		case last == model.Served && now-t.At <= class.Objective:
			c.InTime++
		case last == model.Served && now-t.At <= class.Deadline:
			c.Late++
		case last == model.Refused || last == model.Unreachable:
			c.Refused++
		default:
			c.Failed++
		}
	})
	if last == model.Served {
		_ = d.latency[t.Class].RecordValue(min(max(now-t.At, 0), time.Minute).Microseconds()) // within its range
	}
}

// Latency returns a quantile of the latency of a class's served requests, with a precision of 1%.
func (d *Day) Latency(class int, share float64) time.Duration {
	return time.Duration(d.latency[class].ValueAtQuantile(100*share)) * time.Microsecond
}

// Sample records the number of requests that a server holds, and its load while it is cold.
func (d *Day) Sample(now time.Duration, v model.ServerSpec, held int, pressure float64) {
	row, i := d.Server(v), int(now/Window)
	for len(row.sum) <= i {
		row.sum, row.n = append(row.sum, 0), append(row.n, 0)
	}
	row.sum[i] += float64(held)
	row.n[i]++
	row.Pressure = max(row.Pressure, pressure)
}

// Finish computes the totals. length is the simulated time, which is shorter if the simulation was cut short.
func (d *Day) Finish(length time.Duration) {
	d.Length = length
	if d.Total = (Counts{}); len(d.Windows) == 0 {
		d.window(0, 0)
	}
	for i := range d.Classes {
		d.Classes[i] = Counts{}
	}
	viewed := 0
	for i, w := range d.Windows {
		d.Total.add(w)
		if i < len(d.viewSamples) {
			d.Total.View += w.View * float64(d.viewSamples[i])
			viewed += d.viewSamples[i]
		}
		for c, k := range d.ByClass[i] {
			d.Classes[c].add(k)
		}
	}
	d.Total.View /= float64(max(viewed, 1))
	sum := 0
	for _, s := range d.Servers {
		sum += s.Attempts
	}
	for _, s := range d.Servers {
		s.Share = float64(s.Attempts) / float64(max(sum, 1))
		s.Queue = nil
		for i := range d.Windows {
			v := -1.0
			if i < len(s.n) && s.n[i] > 0 {
				v = s.sum[i] / float64(s.n[i])
			}
			s.Queue = append(s.Queue, v)
		}
	}
}

// Worst returns the lowest service of a window, and the window's time. It considers windows whose requests have at
// least a tenth of the mean full value of a window.
func (d *Day) Worst() (service float64, at time.Duration) {
	service = 1
	for i, w := range d.Windows {
		if w.Asked*float64(len(d.Windows)) >= d.Total.Asked/10 && w.Service() < service {
			service, at = w.Service(), time.Duration(i)*Window
		}
	}
	return service, at
}
