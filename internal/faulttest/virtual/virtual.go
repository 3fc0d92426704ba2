// Package virtual plays a drill in virtual time: the very modules that daemons run, a model of the links between
// them, and of their disks and pauses. The same seed gives the same lines, on any number of cores: time goes in
// steps no longer than the shortest way between two daemons, so that what happens within one can't tell on
// another.
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

// Options say how to play.
type Options struct {
	Seed    uint64
	Daemons int                     // instead of the plan's; 0: the plan's. Groups keep their members
	Workers int                     // 0: one for each core
	Plain   membership.BaselineMode // for baselines
	// Each is called with each daemon's change, from one goroutine, in order of time and daemon. Lines are then not kept.
	Each func(at time.Duration, daemon int, a membership.Action)
	// Warm starts all daemons as if they had known one another for long.
	Warm bool
	// Instances that each daemon says it runs; 0: 1.
	Instances int
	FileCount int // balancers that the daemons' files name; 0: 1
	// Layout places the daemons in regions and zones: what lies between two is added to the plan's links. nil: one site,
	// and the plan's zones.
	Layout *topology.Layout
	// Codec has each message written and read as on a wire, and its bytes counted; nil: sizes are the module's own bound.
	Codec Codec
	// Marks part the run into phases, by which loads are counted: the first ends at the first mark.
	Marks []time.Duration
	// Passed is called once a phase has begun, from one goroutine, with its number from 1. It may look at a clock.
	Passed func(phase int)
	// Agreed is called from one goroutine whenever all daemons that run have come to the same view, or no longer have it:
	// at steps of the run, so within base of when it was so.
	Agreed func(at time.Duration, same bool)
	// OneRegion has the daemons know nothing of the layout's regions: for comparison.
	OneRegion bool
}

// Result is what happened.
type Result struct {
	Lines   []checker.Line
	Traffic []membership.Traffic // by daemon, of those that ran at the end
	Events  uint64               // deliveries and timers
	Views   []*membership.View   // by daemon; nil: it does not run
	Loads   [][]Load             // by daemon, and phase (Options.Marks)
}

// The model: a datagram takes base to base+spread one way on a whole link. It is a site's, not loopback's: 1 to 3 ms.
const (
	base       = time.Millisecond
	spread     = 2 * time.Millisecond
	reorderMax = 50 * time.Millisecond
	rto        = 200 * time.Millisecond // a stream's lost segment comes again after so long
	streamWait = 3 * time.Second
	backlog    = 500 // datagrams that wait for a paused process; of more, the later ones are lost
	starveUnit = 100 * time.Millisecond
	wallBase   = 1_790_000_000 // seconds, Unix, at the beginning
	streamRate = 10e6          // bytes a second of a stream
)

type delivery struct {
	at   time.Duration
	from int
	seq  uint64
	ev   membership.Event
	life uint64 // only for this life of the receiver; 0: any
	size int    // on the wire
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

type agent struct {
	n       int
	name    string
	addr    string
	rng     *rand.Rand
	v       *membership.View
	pid     int
	life    uint64
	paused  bool
	in      inbox
	next    time.Duration
	out     []outgoing
	seq     uint64
	disk    disk
	old     disk
	acts    []seenAct
	leaving bool
	gone    bool
	twin    bool
	sent    membership.Traffic
	far     int // bytes to other regions since they were last told
	opened  int // whom its last exchange is with
	events  uint64
	moves   int
	loads   []Load
	phase   int // in which its last message was
}

type seenAct struct {
	at time.Duration
	a  membership.Action
}

type rule struct {
	who, to map[int]bool
	both    bool
	usual   bool // they are as they were from the start
	link    plan.Link
}

type world struct {
	o      Options
	p      *plan.Plan
	now    time.Duration
	agents []*agent
	byAddr map[string]int
	rules  []rule
	lines  []checker.Line
	pids   int
	chance *rand.Rand
	clocks map[int]time.Duration
	todo   []plan.Event
	starts map[int]bool // daemons that start at some time later: nobody reads the disks of others
}

// Play plays a plan to its end.
func Play(p *plan.Plan, o Options) (*Result, error) {
	if p.Real {
		return nil, fmt.Errorf("%s: it has strays, handovers or other builds, which need real processes", p.Name)
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
	w := &world{o: o, p: p, byAddr: map[string]int{}, chance: rand.New(rand.NewPCG(o.Seed, 1)), todo: slices.Clone(p.Events), clocks: map[int]time.Duration{}, starts: map[int]bool{}}
	for _, e := range p.Events {
		for _, n := range e.Who {
			w.starts[n] = w.starts[n] || e.Do == "start"
		}
	}
	for n := range o.Daemons {
		w.add(n, plan.Name(n), address(n))
	}
	var known []membership.Record
	if o.Warm {
		for n := range o.Daemons {
			known = append(known, membership.Record{Name: plan.Name(n), Addr: address(n), Zone: w.zone(n), Region: w.region(n), Program: "virtual", Boot: wallBase, RunID: w.lifeOf(n), Instances: uint32(o.Instances), Balancers: uint32(o.Instances)})
		}
	}
	var starts []plan.Event
	for n := range o.Daemons {
		if p.First(n) {
			at := time.Duration(w.chance.Float64() * float64(p.Spread))
			starts = append(starts, plan.Event{At: at, Do: "start", Who: []int{n}, State: "kept"})
		}
	}
	for _, e := range p.Events {
		if e.Do == "starve" {
			run := time.Duration(e.Share * float64(starveUnit))
			for at := e.At; at < e.At+e.For; at += starveUnit {
				starts = append(starts, plan.Event{At: at, Do: "stop", Who: e.Who}, plan.Event{At: at + starveUnit - run, Do: "cont", Who: e.Who})
			}
		}
	}
	w.todo = append(starts, w.todo...)
	slices.SortStableFunc(w.todo, func(a, b plan.Event) int { return int(a.At - b.At) })
	if p.Link != (plan.Link{}) || p.Between != (plan.Link{}) {
		w.heal(plan.Event{Who: all(o.Daemons), To: all(o.Daemons), Both: true})
	}
	w.run(known)
	r := &Result{Lines: w.lines}
	for _, a := range w.agents {
		r.Events += a.events
		t := a.sent
		if a.v != nil {
			t = a.v.Traffic()
		}
		r.Traffic = append(r.Traffic, t)
		r.Views = append(r.Views, a.v)
		r.Loads = append(r.Loads, a.loads)
	}
	return r, nil
}

func all(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func address(n int) string {
	return "127.77." + strconv.Itoa(n/250) + "." + strconv.Itoa(n%250+1) + ":7946"
}

func (w *world) zone(n int) string {
	if w.o.Layout != nil {
		return w.o.Layout.ZoneName(n)
	}
	return "z" + strconv.Itoa(n%max(1, w.p.Zones)+1)
}

func (w *world) region(n int) string {
	if w.o.Layout != nil && !w.o.OneRegion {
		return w.o.Layout.RegionName(n)
	}
	return w.p.Region(n)
}

func (w *world) lifeOf(n int) uint64 { return uint64(n)*2654435761 + 1 }

func (w *world) add(n int, name, addr string) *agent {
	a := &agent{n: n, name: name, addr: addr, rng: rand.New(rand.NewPCG(w.o.Seed, uint64(n)+2)), next: never, loads: make([]Load, len(w.o.Marks)+1)}
	w.agents = append(w.agents, a)
	w.byAddr[addr] = n
	return a
}

const never = time.Duration(math.MaxInt64)

// run goes through the time.
func (w *world) run(known []membership.Record) {
	nextSent, phase, same := time.Second, 0, false
	for w.now < w.p.Length {
		if w.o.Agreed != nil && w.agree() != same {
			same = !same
			w.o.Agreed(w.now, same)
		}
		for phase < len(w.o.Marks) && w.now >= w.o.Marks[phase] {
			if phase++; w.o.Passed != nil {
				w.o.Passed(phase)
			}
		}
		for len(w.todo) > 0 && w.todo[0].At <= w.now {
			e := w.todo[0]
			w.todo = w.todo[1:]
			w.befall(e, known)
		}
		end := w.now + base
		var busy []*agent
		soonest := never
		for _, a := range w.agents {
			if a.next < end {
				busy = append(busy, a)
			} else {
				soonest = min(soonest, a.next)
			}
		}
		w.step(busy, end)
		for _, a := range busy {
			for _, o := range a.out {
				t := w.agents[o.to]
				if t.v == nil || t.paused && len(t.in) >= backlog {
					continue
				}
				heap.Push(&t.in, o.d)
				if !t.paused && t.v != nil {
					t.next = min(t.next, o.d.at)
					soonest = min(soonest, t.next)
				}
			}
			a.out = a.out[:0]
			soonest = min(soonest, a.next)
		}
		w.collect(busy)
		for _, a := range busy {
			if a.gone {
				w.down(a, "term")
			}
		}
		w.now = end
		if soonest > end { // nothing happens meanwhile
			to := min(soonest, w.p.Length, nextSent)
			if len(w.todo) > 0 {
				to = min(to, w.todo[0].At)
			}
			if phase < len(w.o.Marks) {
				to = min(to, w.o.Marks[phase])
			}
			w.now = max(end, to)
		}
		if w.now >= nextSent {
			nextSent += time.Second
			w.tellSent()
		}
	}
	w.line(checker.Line{What: checker.End})
}

// agree reports whether all that run have the same view. It ends at the first that differs.
func (w *world) agree() bool {
	var first *membership.View
	for _, a := range w.agents {
		switch {
		case a.v == nil:
		case first == nil:
			first = a.v
		case a.v.Digest() != first.Digest():
			return false
		}
	}
	return true
}

// step has all that are busy do what is due before end, side by side.
func (w *world) step(busy []*agent, end time.Duration) {
	if len(busy) < 24 || w.o.Workers < 2 {
		for _, a := range busy {
			w.advance(a, end)
		}
		return
	}
	var wg sync.WaitGroup
	for i := range w.o.Workers {
		wg.Go(func() {
			for k := i; k < len(busy); k += w.o.Workers {
				w.advance(busy[k], end)
			}
		})
	}
	wg.Wait()
}

// advance has one agent do what is due before end. It touches nothing of others.
func (w *world) advance(a *agent, end time.Duration) {
	for a.v != nil && !a.paused && !a.gone {
		at := a.v.Next()
		if len(a.in) > 0 {
			at = min(at, a.in[0].at)
		}
		at = max(at, w.now)
		if at >= end {
			a.next = at
			return
		}
		var events []membership.Event
		for len(a.in) > 0 && a.in[0].at <= at {
			d := heap.Pop(&a.in).(delivery)
			if d.life != 0 && d.life != a.life {
				continue
			}
			events = append(events, d.ev)
			if d.size > 0 {
				l := w.load(a, at)
				l.In.Add(at, d.size)
				if m, ok := d.ev.(membership.DatagramReceived); ok {
					l.Told += uint64(len(m.Message.Updates))
				}
			}
		}
		a.events += uint64(max(1, len(events)))
		w.carry(a, at, a.v.Step(at, events...))
		if a.leaving && a.v.HasLeft() {
			a.gone = true
		}
	}
	a.next = never
}

// linkOf is the link from one to another: the last rule that holds, on the path that lies between them.
func (w *world) linkOf(from, to int) plan.Link {
	l := w.ruled(from, to)
	if w.o.Layout != nil {
		p := w.o.Layout.Between(from, to, w.now)
		l.Delay += p.Delay
		l.Jitter += p.Jitter
		l.Drop = 1 - (1-l.Drop)*(1-p.Loss)
	}
	return l
}

func (w *world) ruled(from, to int) plan.Link {
	for i := len(w.rules) - 1; i >= 0; i-- {
		r := &w.rules[i]
		if r.who[from] && r.to[to] || r.both && r.to[from] && r.who[to] {
			if r.usual {
				return w.p.Usual(from, to)
			}
			return r.link
		}
	}
	return plan.Link{}
}

// way is how long one datagram takes, and whether it comes.
func (w *world) way(a *agent, l plan.Link, size int) (time.Duration, bool) {
	d := base + time.Duration(a.rng.Float64()*float64(spread)) + l.Delay + time.Duration(a.rng.Float64()*float64(l.Jitter))
	if l.Slow > 0 {
		d += time.Duration(float64(size) / float64(l.Slow) * float64(time.Second))
	}
	if l.Reorder > 0 && a.rng.Float64() < l.Reorder {
		d += time.Duration(a.rng.Float64() * float64(reorderMax))
	}
	return d, !(l.Drop > 0 && a.rng.Float64() < l.Drop) && !(l.Damage > 0 && a.rng.Float64() < l.Damage)
}

// carry does what a view wants done.
func (w *world) carry(a *agent, at time.Duration, actions []membership.Action) {
	post := func(to int, after time.Duration, ev membership.Event, life uint64, size int) {
		a.seq++
		a.out = append(a.out, outgoing{to, delivery{at + max(base, after), a.n, a.seq, ev, life, size}})
	}
	for _, x := range actions {
		switch x := x.(type) {
		case membership.Send:
			to, ok := w.byAddr[x.To]
			if !ok {
				continue
			}
			if w.region(a.n) != w.region(to) {
				a.far += x.Size
			}
			l := w.linkOf(a.n, to)
			size, read := w.written(a, at, x.Size, x.Message)
			for range 1 + b2i(l.Duplicate > 0 && a.rng.Float64() < l.Duplicate) {
				if d, ok := w.way(a, l, size); ok {
					post(to, d, membership.DatagramReceived{Message: read.(*membership.Message), Size: size}, 0, size)
				}
			}
		case membership.OpenExchange:
			to, ok := w.byAddr[x.To]
			there, back := plan.Link{}, plan.Link{}
			if ok {
				there, back = w.linkOf(a.n, to), w.linkOf(to, a.n)
			}
			if ok && (w.agents[to].v == nil || w.agents[to].gone) {
				ok = false
			}
			if !ok || there.Drop >= 1 || back.Drop >= 1 || there.Break || back.Break {
				wait := streamWait
				if !ok {
					wait = 2 * base // refused
				}
				post(a.n, wait, membership.ExchangeFailed{ID: x.ID}, a.life, 0)
				continue
			}
			id := uint64(a.n)<<32 | x.ID
			a.opened = to
			size, read := w.exchanged(a, at, x.Message)
			post(to, w.stream(a, there, back, 3), membership.ExchangeRequest{Stream: id, Message: read}, 0, size)
			post(a.n, streamWait, membership.ExchangeFailed{ID: x.ID}, a.life, 0) // does nothing if the answer came before
		case membership.ExchangeReply:
			to := int(x.Stream >> 32)
			there, back := w.linkOf(a.n, to), w.linkOf(to, a.n)
			if there.Drop >= 1 || back.Drop >= 1 {
				continue
			}
			if x.Message == nil {
				post(to, w.stream(a, there, back, 1), membership.ExchangeFailed{ID: x.Stream & (1<<32 - 1)}, 0, 0)
				continue
			}
			size, read := w.exchanged(a, at, x.Message)
			post(to, w.stream(a, there, back, 1)+sized(len(x.Message.Records)), membership.ExchangeResponse{ID: x.Stream & (1<<32 - 1), Message: read}, 0, size)
		case membership.FinishExchange:
			if to := a.opened; x.Message != nil {
				there, back := w.linkOf(a.n, to), w.linkOf(to, a.n)
				if there.Drop < 1 && back.Drop < 1 && !there.Break && !back.Break {
					size, read := w.exchanged(a, at, x.Message)
					post(to, w.stream(a, there, back, 1)+sized(len(x.Message.Records)), membership.ExchangeClosed{Message: read}, 0, size)
				}
			}
		case membership.SaveView:
			a.disk.boot = a.v.Local().Boot
			if !x.KeepKnownMembers && w.starts[a.n] {
				a.disk.known = a.v.Records()
			}
		default:
			a.acts = append(a.acts, seenAct{at, x})
		}
	}
}

func sized(records int) time.Duration {
	return time.Duration(float64(records) * 80 / streamRate * float64(time.Second))
}

// stream is how long so many ways take on a stream: what is lost comes again later.
func (w *world) stream(a *agent, there, back plan.Link, ways int) time.Duration {
	d := time.Duration(0)
	for i := range ways {
		l := there
		if i%2 == 1 {
			l = back
		}
		for try := 0; ; try++ {
			one, ok := w.way(a, l, 500)
			if d += one; ok || try > 10 {
				break
			}
			d += rto << min(try, 4)
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
