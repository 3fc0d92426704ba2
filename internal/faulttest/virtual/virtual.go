// Package virtual runs a fault test in virtual time. It runs the modules that daemons run, with models of their links,
// disks and pauses. The same seed gives the same lines on any number of cores: time advances in steps no longer than
// the shortest delay between two daemons, so that what one daemon does within a step can't affect another one in the
// same step.
package virtual

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/peer/membership"
)

// Options are the parameters of a simulation.
type Options struct {
	Seed    uint64
	Daemons int                     // replaces the plan's number of daemons; 0: the plan's. The plan's groups keep their members
	Workers int                     // number of goroutines; 0: one per core
	Plain   membership.BaselineMode // weaker membership protocols for comparison
	// Each is called with each action of a daemon, from one goroutine, in order of time and daemon. If it is set, the
	// result has no lines.
	Each func(at time.Duration, daemon int, a membership.Action)
	// Warm starts all daemons with complete views of one another.
	Warm bool
	// Instances is the number of instances that each daemon reports; 0: 1.
	Instances int
	FileCount int // number of the fleet's balancers in the daemons' configuration files; 0: 1
	// Layout places the daemons in regions and zones, and its paths are added to the plan's links. nil: one site, and
	// the plan's zones.
	Layout *topology.Layout
	// Codec encodes and decodes each message, whose bytes are then counted; nil: sizes are the module's own bound.
	Codec Codec
	// Marks divides the run into phases, by which loads are counted: the first phase ends at the first mark.
	Marks []time.Duration
	// Passed is called from one goroutine when a phase other than the first begins, with the number of the phase: 1 for
	// the second phase. It may read a real clock.
	Passed func(phase int)
	// Agreed is called from one goroutine when the views of all running daemons become the same, and when they no
	// longer are. It is called at steps of the run, so at most minDelay after the change.
	Agreed func(at time.Duration, same bool)
	// OneRegion hides the layout's regions from the daemons, for comparison.
	OneRegion bool
}

// Result is the outcome of a simulation.
type Result struct {
	Lines   []checker.Line
	Traffic []membership.Traffic // by daemon; for a daemon that has ended, as of its end
	Events  uint64               // number of deliveries and timers
	Views   []*membership.View   // by daemon; nil: not running
	Loads   [][]Load             // by daemon, and phase (Options.Marks)
}

// The link model: a datagram takes minDelay to minDelay+maxExtraDelay one way on a healthy link. This is 1 to 3 ms, as
// in a site, not as on loopback.
const (
	minDelay          = time.Millisecond
	maxExtraDelay     = 2 * time.Millisecond
	maxReorderDelay   = 50 * time.Millisecond
	retransmitTimeout = 200 * time.Millisecond // time after which a lost segment of a stream is sent again
	streamTimeout     = 3 * time.Second
	backlog           = 500 // datagrams that are kept for a paused process; further ones are lost
	starvePeriod      = 100 * time.Millisecond
	wallBase          = 1_790_000_000 // Unix time in seconds at the start
	streamRate        = 10e6          // of a stream, in bytes per second
)

type delivery struct {
	at    time.Duration
	from  int
	seq   uint64
	ev    membership.Event
	runID uint64 // run ID of the intended receiver; 0: any
	size  int    // in bytes on the wire; 0: not counted as received
}

type inbox []delivery

func (q inbox) Len() int { return len(q) }
func (q inbox) Less(i, j int) bool {
	a, b := &q[i], &q[j]
	if a.at != b.at {
		return a.at < b.at
	}
	if a.from != b.from {
		return a.from < b.from
	}
	return a.seq < b.seq
}
func (q inbox) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *inbox) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *inbox) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type disk struct {
	boot  uint64
	known []membership.Record
}

type outgoing struct {
	to int
	d  delivery
}

type daemon struct {
	n              int
	name           string
	addr           string
	rng            *rand.Rand
	view           *membership.View
	pid            int
	runID          uint64
	paused         bool
	in             inbox
	nextAt         time.Duration
	out            []outgoing
	seq            uint64
	disk           disk
	savedDisk      disk
	actions        []timedAction
	leaving        bool
	hasLeft        bool
	duplicate      bool
	sent           membership.Traffic
	remoteBytes    int // bytes sent to other regions since the last Sent line
	exchangePeer   int // daemon with which it opened its last exchange
	events         uint64
	addressChanges int
	loads          []Load
	phase          int // phase of its last message
}

type timedAction struct {
	at time.Duration
	a  membership.Action
}

type rule struct {
	from, to  map[int]bool
	both      bool
	isDefault bool // the plan's default links apply in place of link
	link      plan.Link
}

type simulation struct {
	options  Options
	plan     *plan.Plan
	now      time.Duration
	daemons  []*daemon
	byAddr   map[string]int
	rules    []rule
	lines    []checker.Line
	lastPID  int
	rng      *rand.Rand
	clocks   map[int]time.Duration
	pending  []plan.Event
	restarts map[int]bool // daemons that an event starts; the disks of others are never read
}

// Play simulates a plan to its end.
func Play(p *plan.Plan, o Options) (*Result, error) {
	if p.NeedsRealProcesses {
		return nil, fmt.Errorf("%s: plan has stray datagrams, handovers or other builds, which need real processes", p.Name)
	}
	if o.Daemons == 0 {
		o.Daemons = p.Daemons
	}
	if o.Workers == 0 {
		o.Workers = runtime.GOMAXPROCS(0)
	}
	if o.Instances == 0 {
		o.Instances = 1
	}
	w := &simulation{options: o, plan: p, byAddr: map[string]int{}, rng: rand.New(rand.NewPCG(o.Seed, 1)), pending: slices.Clone(p.Events), clocks: map[int]time.Duration{}, restarts: map[int]bool{}}
	for _, e := range p.Events {
		for _, n := range e.Who {
			w.restarts[n] = w.restarts[n] || e.Do == "start"
		}
	}
	for n := range o.Daemons {
		w.add(n, plan.Name(n), address(n))
	}
	var known []membership.Record
	if o.Warm {
		for n := range o.Daemons {
			known = append(known, membership.Record{Name: plan.Name(n), Addr: address(n), Zone: w.zone(n), Region: w.region(n), Version: "virtual", Boot: wallBase, RunID: w.initialRunID(n), Instances: uint32(o.Instances), Balancers: uint32(o.Instances)})
		}
	}
	var starts []plan.Event
	for n := range o.Daemons {
		if p.RunsFromStart(n) {
			at := time.Duration(w.rng.Float64() * float64(p.Spread))
			starts = append(starts, plan.Event{At: at, Do: "start", Who: []int{n}, State: "kept"})
		}
	}
	for _, e := range p.Events {
		if e.Do == "starve" {
			run := time.Duration(e.Share * float64(starvePeriod))
			for at := e.At; at < e.At+e.For; at += starvePeriod {
				starts = append(starts, plan.Event{At: at, Do: "stop", Who: e.Who}, plan.Event{At: at + starvePeriod - run, Do: "cont", Who: e.Who})
			}
		}
	}
	w.pending = append(starts, w.pending...)
	slices.SortStableFunc(w.pending, func(a, b plan.Event) int { return int(a.At - b.At) })
	if p.Link != (plan.Link{}) || p.Between != (plan.Link{}) {
		w.heal(plan.Event{Who: firstDaemons(o.Daemons), To: firstDaemons(o.Daemons), Both: true})
	}
	w.run(known)
	r := &Result{Lines: w.lines}
	for _, a := range w.daemons {
		r.Events += a.events
		t := a.sent
		if a.view != nil {
			t = a.view.Traffic()
		}
		r.Traffic = append(r.Traffic, t)
		r.Views = append(r.Views, a.view)
		r.Loads = append(r.Loads, a.loads)
	}
	return r, nil
}

func firstDaemons(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func address(n int) string {
	return "127.77." + strconv.Itoa(n/250) + "." + strconv.Itoa(n%250+1) + ":7946"
}

func (w *simulation) zone(n int) string {
	if w.options.Layout != nil {
		return w.options.Layout.ZoneName(n)
	}
	return "z" + strconv.Itoa(n%max(1, w.plan.Zones)+1)
}

func (w *simulation) region(n int) string {
	if w.options.Layout != nil && !w.options.OneRegion {
		return w.options.Layout.RegionName(n)
	}
	return w.plan.Region(n)
}

func (w *simulation) initialRunID(n int) uint64 { return uint64(n)*2654435761 + 1 }

func (w *simulation) add(n int, name, addr string) *daemon {
	a := &daemon{n: n, name: name, addr: addr, rng: rand.New(rand.NewPCG(w.options.Seed, uint64(n)+2)), nextAt: never, loads: make([]Load, len(w.options.Marks)+1)}
	w.daemons = append(w.daemons, a)
	w.byAddr[addr] = n
	return a
}

const never = time.Duration(math.MaxInt64)

// run simulates the plan from the start to its length.
func (w *simulation) run(known []membership.Record) {
	nextSent, phase, same := time.Second, 0, false
	for w.now < w.plan.Length {
		if w.options.Agreed != nil && w.viewsAgree() != same {
			same = !same
			w.options.Agreed(w.now, same)
		}
		for phase < len(w.options.Marks) && w.now >= w.options.Marks[phase] {
			if phase++; w.options.Passed != nil {
				w.options.Passed(phase)
			}
		}
		for len(w.pending) > 0 && w.pending[0].At <= w.now {
			e := w.pending[0]
			w.pending = w.pending[1:]
			w.applyEvent(e, known)
		}
		end := w.now + minDelay
		var busy []*daemon
		soonest := never
		for _, a := range w.daemons {
			if a.nextAt < end {
				busy = append(busy, a)
			} else {
				soonest = min(soonest, a.nextAt)
			}
		}
		w.step(busy, end)
		for _, a := range busy {
			for _, o := range a.out {
				t := w.daemons[o.to]
				if t.view == nil || t.paused && len(t.in) >= backlog {
					continue
				}
				heap.Push(&t.in, o.d)
				if !t.paused && t.view != nil {
					t.nextAt = min(t.nextAt, o.d.at)
					soonest = min(soonest, t.nextAt)
				}
			}
			a.out = a.out[:0]
			soonest = min(soonest, a.nextAt)
		}
		w.collect(busy)
		for _, a := range busy {
			if a.hasLeft {
				w.down(a, "term")
			}
		}
		w.now = end
		if soonest > end { // no events until then
			to := min(soonest, w.plan.Length, nextSent)
			if len(w.pending) > 0 {
				to = min(to, w.pending[0].At)
			}
			if phase < len(w.options.Marks) {
				to = min(to, w.options.Marks[phase])
			}
			w.now = max(end, to)
		}
		if w.now >= nextSent {
			nextSent += time.Second
			w.recordTraffic()
		}
	}
	w.record(checker.Line{What: checker.End})
}

// viewsAgree reports whether all running daemons have the same view.
func (w *simulation) viewsAgree() bool {
	var first *membership.View
	for _, a := range w.daemons {
		switch {
		case a.view == nil:
		case first == nil:
			first = a.view
		case a.view.Digest() != first.Digest():
			return false
		}
	}
	return true
}

// step advances all busy daemons to end, in parallel if there are many.
func (w *simulation) step(busy []*daemon, end time.Duration) {
	if len(busy) < 24 || w.options.Workers < 2 {
		for _, a := range busy {
			w.advance(a, end)
		}
		return
	}
	var wg sync.WaitGroup
	for i := range w.options.Workers {
		wg.Go(func() {
			for k := i; k < len(busy); k += w.options.Workers {
				w.advance(busy[k], end)
			}
		})
	}
	wg.Wait()
}

// advance processes one daemon's events that are due before end. It does not access state of other daemons.
func (w *simulation) advance(a *daemon, end time.Duration) {
	for a.view != nil && !a.paused && !a.hasLeft {
		at := a.view.Next()
		if len(a.in) > 0 {
			at = min(at, a.in[0].at)
		}
		at = max(at, w.now)
		if at >= end {
			a.nextAt = at
			return
		}
		var events []membership.Event
		for len(a.in) > 0 && a.in[0].at <= at {
			d := heap.Pop(&a.in).(delivery)
			if d.runID != 0 && d.runID != a.runID {
				continue
			}
			events = append(events, d.ev)
			if d.size > 0 {
				l := w.loadAt(a, at)
				l.In.Add(at, d.size)
				if m, ok := d.ev.(membership.DatagramReceived); ok {
					l.Told += uint64(len(m.Message.Updates))
				}
			}
		}
		a.events += uint64(max(1, len(events)))
		w.perform(a, at, a.view.Step(at, events...))
		if a.leaving && a.view.HasLeft() {
			a.hasLeft = true
		}
	}
	a.nextAt = never
}

// linkOf returns the link from one daemon to another: that of the last matching rule, plus the path of the layout.
func (w *simulation) linkOf(from, to int) plan.Link {
	l := w.linkByRules(from, to)
	if w.options.Layout != nil {
		p := w.options.Layout.Between(from, to, w.now)
		l.Delay += p.Delay
		l.Jitter += p.Jitter
		l.Drop = 1 - (1-l.Drop)*(1-p.Loss)
	}
	return l
}

func (w *simulation) linkByRules(from, to int) plan.Link {
	for i := len(w.rules) - 1; i >= 0; i-- {
		r := &w.rules[i]
		if r.from[from] && r.to[to] || r.both && r.to[from] && r.from[to] {
			if r.isDefault {
				return w.plan.Usual(from, to)
			}
			return r.link
		}
	}
	return plan.Link{}
}

// datagramDelay draws the delay of one datagram, and whether it arrives.
func (w *simulation) datagramDelay(a *daemon, l plan.Link, size int) (time.Duration, bool) {
	d := minDelay + time.Duration(a.rng.Float64()*float64(maxExtraDelay)) + l.Delay + time.Duration(a.rng.Float64()*float64(l.Jitter))
	if l.Slow > 0 {
		d += time.Duration(float64(size) / float64(l.Slow) * float64(time.Second))
	}
	if l.Reorder > 0 && a.rng.Float64() < l.Reorder {
		d += time.Duration(a.rng.Float64() * float64(maxReorderDelay))
	}
	return d, !(l.Drop > 0 && a.rng.Float64() < l.Drop) && !(l.Damage > 0 && a.rng.Float64() < l.Damage)
}

// perform executes the actions of a daemon's view.
func (w *simulation) perform(a *daemon, at time.Duration, actions []membership.Action) {
	post := func(to int, after time.Duration, ev membership.Event, runID uint64, size int) {
		a.seq++
		a.out = append(a.out, outgoing{to, delivery{at + max(minDelay, after), a.n, a.seq, ev, runID, size}})
	}
	for _, x := range actions {
		switch x := x.(type) {
		case membership.Send:
			to, ok := w.byAddr[x.To]
			if !ok {
				continue
			}
			if w.region(a.n) != w.region(to) {
				a.remoteBytes += x.Size
			}
			l := w.linkOf(a.n, to)
			size, read := w.encode(a, at, x.Size, x.Message)
			for range 1 + b2i(l.Duplicate > 0 && a.rng.Float64() < l.Duplicate) {
				if d, ok := w.datagramDelay(a, l, size); ok {
					post(to, d, membership.DatagramReceived{Message: read.(*membership.Message), Size: size}, 0, size)
				}
			}
		case membership.OpenExchange:
			to, ok := w.byAddr[x.To]
			there, back := plan.Link{}, plan.Link{}
			if ok {
				there, back = w.linkOf(a.n, to), w.linkOf(to, a.n)
			}
			if ok && (w.daemons[to].view == nil || w.daemons[to].hasLeft) {
				ok = false
			}
			if !ok || there.Drop >= 1 || back.Drop >= 1 || there.Break || back.Break {
				wait := streamTimeout
				if !ok {
					wait = 2 * minDelay // connection refused
				}
				post(a.n, wait, membership.ExchangeFailed{ID: x.ID}, a.runID, 0)
				continue
			}
			id := uint64(a.n)<<32 | x.ID
			a.exchangePeer = to
			size, read := w.encodeExchange(a, at, x.Message)
			post(to, w.streamDelay(a, there, back, 3), membership.ExchangeRequest{Stream: id, Message: read}, 0, size)
			// The timeout has no effect if the response has arrived before.
			post(a.n, streamTimeout, membership.ExchangeFailed{ID: x.ID}, a.runID, 0)
		case membership.ExchangeReply:
			to := int(x.Stream >> 32)
			there, back := w.linkOf(a.n, to), w.linkOf(to, a.n)
			if there.Drop >= 1 || back.Drop >= 1 {
				continue
			}
			if x.Message == nil {
				post(to, w.streamDelay(a, there, back, 1), membership.ExchangeFailed{ID: x.Stream & (1<<32 - 1)}, 0, 0)
				continue
			}
			size, read := w.encodeExchange(a, at, x.Message)
			post(to, w.streamDelay(a, there, back, 1)+transferTime(len(x.Message.Records)), membership.ExchangeResponse{ID: x.Stream & (1<<32 - 1), Message: read}, 0, size)
		case membership.FinishExchange:
			if to := a.exchangePeer; x.Message != nil {
				there, back := w.linkOf(a.n, to), w.linkOf(to, a.n)
				if there.Drop < 1 && back.Drop < 1 && !there.Break && !back.Break {
					size, read := w.encodeExchange(a, at, x.Message)
					post(to, w.streamDelay(a, there, back, 1)+transferTime(len(x.Message.Records)), membership.ExchangeFinished{Message: read}, 0, size)
				}
			}
		case membership.SaveView:
			a.disk.boot = a.view.Local().Boot
			if !x.KeepKnownMembers && w.restarts[a.n] {
				a.disk.known = a.view.Records()
			}
		default:
			a.actions = append(a.actions, timedAction{at, x})
		}
	}
}

func transferTime(records int) time.Duration {
	return time.Duration(float64(records) * 80 / streamRate * float64(time.Second))
}

// streamDelay draws the time of a number of one-way transfers on a stream, with retransmissions.
func (w *simulation) streamDelay(a *daemon, there, back plan.Link, ways int) time.Duration {
	d := time.Duration(0)
	for i := range ways {
		l := there
		if i%2 == 1 {
			l = back
		}
		for try := 0; ; try++ {
			one, ok := w.datagramDelay(a, l, 500)
			if d += one; ok || try > 10 {
				break
			}
			d += retransmitTimeout << min(try, 4)
		}
	}
	return d
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
