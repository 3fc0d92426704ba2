// Package statistics counts how a rehearsal goes: service as operators count it, by windows of time, by
// class and by server. A client's retries belong to its first try.
package statistics

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/model"
)

// Window is the length of the spans that are counted.
const Window = 5 * time.Second

// Counts are what became of the requests that were first asked in a window, and what was sent in
// it. A request ends in exactly one of InTime, Late, Refused and Failed.
type Counts struct {
	Offered  int     `json:"offered"`
	InTime   int     `json:"in_time"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Tries    int     `json:"tries"`
	Attempts int     `json:"attempts"`
	Refusals int     `json:"refusals"`       // given, of tries that may have had a better end later
	Why      Reasons `json:"turned_away_by"` // refusals and failures of the policy, by its reason
	Dials    int     `json:"connections_opened"`
	Calls    int     `json:"list_calls"`
	View     float64 `json:"servers_in_view"` // mean number of servers that an agent has a connection to
	Asked    float64 `json:"worth_asked"`
	Got      float64 `json:"worth_got"`
}

// Reasons counts by decide.Reason.
type Reasons [decide.ReasonCount]int

// MarshalJSON gives counts by the names of reasons.
func (r Reasons) MarshalJSON() ([]byte, error) {
	m := map[string]int{}
	for i, n := range r {
		m[decide.Reason(i).String()] = n
	}
	return json.Marshal(m)
}

// UnmarshalJSON takes what MarshalJSON gives.
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

// Service is the worth got over the worth asked for; 1 where nothing was.
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

// Server is what one server had.
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
	Queue    []float64 `json:"queue"`    // held requests, mean of each window; negative: it was not there
	Pressure float64   `json:"pressure"` // the most while it was cold, as a multiple of what it could do
	Fell     bool      `json:"fell"`

	sum []float64
	n   []int
}

// Day is the whole count.
type Day struct {
	Length  time.Duration
	Total   Counts
	Windows []Counts
	Classes []Counts
	ByClass [][]Counts // by window, then class
	Servers []*Server
	Reads   int // of the list
	s       *model.Scenario
	byName  map[string]*Server
	viewed  []int                     // samples of InView in each window
	latency []*hdrhistogram.Histogram // of served requests in microseconds, by class
}

// New counts nothing yet.
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

// Server is the row of a server, which may be new.
func (d *Day) Server(v model.ServerSpec) *Server {
	row := d.byName[v.Name]
	if row == nil {
		row = &Server{Name: v.Name, Kind: d.s.Kinds[v.Kind].Name, Zone: d.s.Zones[v.Zone], Pod: v.Pod}
		d.byName[v.Name] = row
		d.Servers = append(d.Servers, row)
	}
	return row
}

func (d *Day) at(now time.Duration, class int) (all, one *Counts) {
	i := max(0, int(now/Window))
	for len(d.Windows) <= i {
		d.Windows = append(d.Windows, Counts{})
		d.ByClass = append(d.ByClass, make([]Counts, len(d.s.Classes)))
	}
	return &d.Windows[i], &d.ByClass[i][class]
}

func (d *Day) count(now time.Duration, class int, f func(*Counts)) {
	all, one := d.at(now, class)
	f(all)
	f(one)
}

// Try counts a try of a client; the first one offers its task.
func (d *Day) Try(now time.Duration, t *model.Task, try int) {
	d.count(now, t.Class, func(c *Counts) {
		c.Tries++
		if try == 0 {
			c.Offered++
		}
	})
}

// Attempt counts one that an agent sends.
func (d *Day) Attempt(now time.Duration, class int, server string) {
	d.count(now, class, func(c *Counts) { c.Attempts++ })
	if row := d.byName[server]; row != nil {
		row.Attempts++
	}
}

// TurnedAway counts a final answer of the policy that is not a success.
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
	all, _ := d.at(now, 0)
	all.Calls++
}

// InView notes how many servers an agent has a connection to, on the mean over agents.
func (d *Day) InView(now time.Duration, mean float64) {
	all, _ := d.at(now, 0)
	i := int(now / Window)
	for len(d.viewed) <= i {
		d.viewed = append(d.viewed, 0)
	}
	d.viewed[i]++
	all.View += (mean - all.View) / float64(d.viewed[i])
}

// Refusal counts a refusal that a client is given.
func (d *Day) Refusal(now time.Duration, class int) {
	d.count(now, class, func(c *Counts) { c.Refusals++ })
}

// End counts how a task ended, in the window in which it was first asked.
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

// Latency is the latency below which a share of a class's served requests stayed, within 1%.
func (d *Day) Latency(class int, share float64) time.Duration {
	return time.Duration(d.latency[class].ValueAtQuantile(100*share)) * time.Microsecond
}

// Sample notes what a server holds.
func (d *Day) Sample(now time.Duration, v model.ServerSpec, held int, pressure float64) {
	row, i := d.Server(v), int(now/Window)
	for len(row.sum) <= i {
		row.sum, row.n = append(row.sum, 0), append(row.n, 0)
	}
	row.sum[i] += float64(held)
	row.n[i]++
	row.Pressure = max(row.Pressure, pressure)
}

// Finish sums up. A day that was cut short counts what was asked until then.
func (d *Day) Finish(length time.Duration) {
	d.Length = length
	if d.Total = (Counts{}); len(d.Windows) == 0 {
		d.at(0, 0)
	}
	for i := range d.Classes {
		d.Classes[i] = Counts{}
	}
	viewed := 0
	for i, w := range d.Windows {
		d.Total.add(w)
		if i < len(d.viewed) {
			d.Total.View += w.View * float64(d.viewed[i])
			viewed += d.viewed[i]
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

// Worst is the service of the worst window in which at least a tenth of the mean was asked.
func (d *Day) Worst() (service float64, at time.Duration) {
	service = 1
	for i, w := range d.Windows {
		if w.Asked*float64(len(d.Windows)) >= d.Total.Asked/10 && w.Service() < service {
			service, at = w.Service(), time.Duration(i)*Window
		}
	}
	return service, at
}
