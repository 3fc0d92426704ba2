package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vetchhaven/internal/eventqueue"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/transport"
)

// Few is a few whole members beside a fleet whose rest is played: who is not whole answers probes as members do, and
// probes the whole ones as often as that many members would. News of one event comes to each whole member as often as
// Copies says, over the time that News says: both are measured where all are whole.
//
// What it can't show: what the rest concludes from what the whole ones say (their accusations are heard by nobody), what
// news costs those that pass it on to one another, and a storm, in which all that depends on each other.
type Few struct {
	Seed    uint64
	Layout  *topology.Layout
	Members int
	Whole   int // the first
	Marks   []time.Duration
	Length  time.Duration
	Events  float64       // deaths and returns of played members a second
	Copies  float64       // datagrams by which a whole member hears of one
	News    time.Duration // from the first to the last of them
}

type few struct {
	f      *Few
	rng    *rand.Rand
	now    time.Duration
	agenda eventqueue.Queue
	m      *meter
	wire   transport.Wire
	all    []membership.Record
	number []uint64 // datagrams of each played member
	whole  []*membership.View
	wake   []time.Duration
	byAddr map[string]int
}

// Play plays it, and is what it cost a whole member.
func (f *Few) Play() ([]Phase, error) {
	w := &few{f: f, rng: rand.New(rand.NewPCG(f.Seed, 71)), m: newMeter(f.Whole, f.Marks), wire: transport.Wire{Fleet: Fleet}, number: make([]uint64, f.Members),
		wake: make([]time.Duration, f.Whole), byAddr: map[string]int{}}
	for n := range f.Members {
		r := membership.Record{Name: plan.Name(n), Addr: fmt.Sprintf("10.%d.%d.%d:7946", 77+n/62500, n/250%250, n%250+1), Zone: f.Layout.ZoneName(n), Program: "virtual",
			Boot: 1_790_000_000, RunID: uint64(n)*2654435761 + 1, Instances: 1, Balancers: 1}
		w.all = append(w.all, r)
		w.byAddr[r.Addr] = n
	}
	for n := range f.Whole {
		r := w.all[n]
		v, err := membership.New(membership.Settings{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Program: r.Program, Boot: r.Boot, RunID: r.RunID, Instances: 1, Balancers: 1,
			KnownMembers: w.all, TakesOver: true, MaxMembers: f.Members + 1, ConfiguredBalancers: 1}, w.rng.Uint64())
		if err != nil {
			return nil, fmt.Errorf("a whole member of %d: %w", f.Members, err)
		}
		w.whole = append(w.whole, v)
	}
	for n := range w.whole {
		w.step(n)
		w.probed(n)
	}
	if f.Events > 0 {
		w.befall()
	}
	for at, do, ok := w.agenda.Next(f.Length); ok; at, do, ok = w.agenda.Next(f.Length) {
		w.now = at
		do()
	}
	return w.m.phases(f.Length, nil), nil
}

func (w *few) after(d time.Duration, do func()) { w.agenda.At(w.now+d, do) }

// way is one way between two members: 1 to 3 ms, and what lies between their regions.
func (w *few) way(from, to int) time.Duration {
	return time.Millisecond + time.Duration(w.rng.Float64()*float64(2*time.Millisecond)) + w.f.Layout.Between(from, to, w.now).Delay
}

// played sends a whole member a datagram of one that is not.
func (w *few) played(from, to int, after time.Duration, m *membership.Message) {
	w.after(after, func() {
		r := &w.all[from]
		w.number[from]++
		m.From, m.Boot, m.RunID, m.Number, m.Digest = r.Name, r.Boot, r.RunID, w.number[from], w.whole[to].Digest()
		data, err := w.wire.Marshal(m.From, m)
		if err != nil {
			panic("hollow: " + err.Error()) // the model's own message
		}
		read, err := w.wire.Unmarshal(data)
		if err != nil {
			panic("hollow: " + err.Error())
		}
		w.m.took(w.now, to, len(data))
		w.step(to, membership.DatagramReceived{Message: read.(*membership.Message), Size: len(data)})
	})
}

// probed has a whole member probed as often as each member is: once in Every, in the mean.
func (w *few) probed(to int) {
	w.after(time.Duration(w.rng.ExpFloat64()*float64(membership.DefaultProbeInterval)), func() {
		from := w.f.Whole + w.rng.IntN(w.f.Members-w.f.Whole)
		if w.all[from].State == membership.Alive {
			w.played(from, to, w.way(from, to), &membership.Message{Kind: membership.Ping, Seq: w.rng.Uint32(), Target: plan.Name(to), Addr: w.all[from].Addr})
		}
		w.probed(to)
	})
}

// befall has a played member die, or come back in another life, and its news come round.
func (w *few) befall() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.f.Events*float64(time.Second)), func() {
		n := w.f.Whole + w.rng.IntN(w.f.Members-w.f.Whole)
		r := &w.all[n]
		if r.State == membership.Alive {
			r.State, r.Reporter = membership.Dead, plan.Name(w.f.Whole)
		} else {
			r.State, r.Reporter, r.Boot, r.RunID = membership.Alive, "", r.Boot+1, w.rng.Uint64()|1
		}
		told := *r
		for to := range w.whole {
			for range int(w.f.Copies + w.rng.Float64()) {
				from := w.f.Whole + w.rng.IntN(w.f.Members-w.f.Whole)
				if w.all[from].State == membership.Alive {
					w.played(from, to, time.Duration(w.rng.Float64()*float64(w.f.News)), &membership.Message{Kind: membership.Gossip, Updates: []membership.Record{told}})
				}
			}
		}
		w.befall()
	})
}

func (w *few) step(n int, events ...membership.Event) {
	v := w.whole[n]
	for _, a := range v.Step(w.now, events...) {
		switch a := a.(type) {
		case membership.Send:
			w.sent(n, a)
		case membership.OpenExchange: // the other's view is the same
			w.exchange(n, a)
		}
	}
	if next := v.Next(); next != w.wake[n] {
		w.wake[n] = next
		w.agenda.At(next, func() {
			if w.wake[n] == next {
				w.wake[n] = 0
				w.step(n)
			}
		})
	}
}

// sent is what a whole member sends: another whole one gets it, a played one answers it.
func (w *few) sent(from int, a membership.Send) {
	data, err := w.wire.Marshal(plan.Name(from), a.Message)
	if err != nil {
		panic("hollow: " + err.Error()) // a member's own message
	}
	w.m.sent(w.now, from, len(data))
	to, ok := w.byAddr[a.To]
	if !ok {
		return
	}
	there := w.way(from, to)
	if to < len(w.whole) {
		read, err := w.wire.Unmarshal(data)
		if err != nil {
			panic("hollow: " + err.Error())
		}
		w.after(there, func() {
			w.m.took(w.now, to, len(data))
			w.step(to, membership.DatagramReceived{Message: read.(*membership.Message), Size: len(data)})
		})
		return
	}
	if w.all[to].State != membership.Alive {
		return
	}
	switch m := a.Message; m.Kind {
	case membership.Ping:
		w.played(to, from, there+w.way(to, from), &membership.Message{Kind: membership.Ack, Seq: m.Seq, Target: m.Target})
	case membership.IndirectPing:
		if t, ok := w.byAddr[m.Addr]; ok && w.all[t].State == membership.Alive {
			w.played(to, from, there+w.way(to, t)+w.way(t, to)+w.way(to, from), &membership.Message{Kind: membership.Ack, Seq: m.Seq, Target: m.Target})
		}
	}
}

func (w *few) exchange(from int, a membership.OpenExchange) {
	data, err := w.wire.Marshal(plan.Name(from), a.Message)
	if err != nil {
		panic("hollow: " + err.Error())
	}
	w.m.sent(w.now, from, len(data))
	to, ok := w.byAddr[a.To]
	if !ok || w.all[to].State != membership.Alive {
		w.after(2*time.Millisecond, func() { w.step(from, membership.ExchangeFailed{ID: a.ID}) })
		return
	}
	r := &w.all[to]
	x := &membership.Exchange{From: r.Name, Boot: r.Boot, RunID: r.RunID}
	w.after(2*w.way(from, to)+2*w.way(to, from), func() { w.step(from, membership.ExchangeResponse{ID: a.ID, Message: x}) })
}

// Whole is what a whole view of so many members takes on a stream: what one that has lost its own is sent.
func Whole(members int) (int, error) {
	x := &membership.Exchange{From: plan.Name(0), Boot: 1, RunID: 1}
	for n := range members {
		x.Records = append(x.Records, membership.Record{Name: plan.Name(n), Addr: fmt.Sprintf("10.77.%d.%d:7946", n/250, n%250+1), Zone: "r1-z1", Program: "virtual",
			Boot: 1_790_000_000, RunID: uint64(n)*0x9e3779b97f4a7c15 + 1, Instances: 1, Balancers: 1, NameVerified: true})
	}
	data, err := transport.Wire{Fleet: Fleet}.Marshal(x.From, x)
	return len(data), err
}
