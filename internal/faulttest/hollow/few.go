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

// Few simulates a fleet in which a few members are complete, that is, run the membership module, and the rest are
// modelled: modelled members answer probes as members do, and probe the complete ones as often as the same number of
// complete members would. The rumors about one event reach each complete member in Copies datagrams on average, spread
// over the duration News; both values come from runs in which all members are complete.
//
// Not covered: what the modelled members conclude from what the complete ones report (no member receives their
// suspicions), the cost of passing rumors on from member to member, and an overload in which these effects add up.
type Few struct {
	Seed    uint64
	Layout  *topology.Layout
	Members int
	Whole   int // number of complete members, which are the first ones
	Marks   []time.Duration
	Length  time.Duration
	Events  float64       // crashes and restarts of modelled members a second
	Copies  float64       // mean number of datagrams that notify a complete member of one event
	News    time.Duration // time from the first to the last of these datagrams
}

type fewRun struct {
	f      *Few
	rng    *rand.Rand
	now    time.Duration
	queue  eventqueue.Queue
	m      *meter
	wire   transport.Wire
	all    []membership.Record
	number []uint64 // number of datagrams sent by each modelled member
	whole  []*membership.View
	wake   []time.Duration
	byAddr map[string]int
}

// Play runs the simulation and returns the cost for a complete member.
func (f *Few) Play() ([]Phase, error) {
	w := &fewRun{f: f, rng: rand.New(rand.NewPCG(f.Seed, 71)), m: newMeter(f.Whole, f.Marks), wire: transport.Wire{Fleet: Fleet}, number: make([]uint64, f.Members),
		wake: make([]time.Duration, f.Whole), byAddr: map[string]int{}}
	for n := range f.Members {
		r := membership.Record{Name: plan.Name(n), Addr: fmt.Sprintf("10.%d.%d.%d:7946", 77+n/62500, n/250%250, n%250+1), Zone: f.Layout.ZoneName(n), Version: "virtual",
			Boot: 1_790_000_000, RunID: uint64(n)*2654435761 + 1, Instances: 1, Balancers: 1}
		w.all = append(w.all, r)
		w.byAddr[r.Addr] = n
	}
	for n := range f.Whole {
		r := w.all[n]
		v, err := membership.New(membership.Settings{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Version: r.Version, Boot: r.Boot, RunID: r.RunID, Instances: 1, Balancers: 1,
			KnownMembers: w.all, TakesOver: true, MaxMembers: f.Members + 1, ConfiguredBalancers: 1}, w.rng.Uint64())
		if err != nil {
			return nil, fmt.Errorf("create a complete member of a fleet of %d: %w", f.Members, err)
		}
		w.whole = append(w.whole, v)
	}
	for n := range w.whole {
		w.step(n)
		w.scheduleProbes(n)
	}
	if f.Events > 0 {
		w.scheduleChurn()
	}
	for at, do, ok := w.queue.Next(f.Length); ok; at, do, ok = w.queue.Next(f.Length) {
		w.now = at
		do()
	}
	return w.m.phases(f.Length, nil), nil
}

func (w *fewRun) after(d time.Duration, do func()) { w.queue.At(w.now+d, do) }

// delay returns the one-way delay between two members: 1 to 3 ms plus the delay between their regions.
func (w *fewRun) delay(from, to int) time.Duration {
	return time.Millisecond + time.Duration(w.rng.Float64()*float64(2*time.Millisecond)) + w.f.Layout.Between(from, to, w.now).Delay
}

// sendFromModelled sends a complete member a datagram from a modelled one.
func (w *fewRun) sendFromModelled(from, to int, after time.Duration, m *membership.Message) {
	w.after(after, func() {
		r := &w.all[from]
		w.number[from]++
		m.From, m.Boot, m.RunID, m.Number, m.Digest = r.Name, r.Boot, r.RunID, w.number[from], w.whole[to].Digest()
		data, err := w.wire.Marshal(m.From, m)
		if err != nil {
			panic("hollow: " + err.Error()) // the message was built by the model
		}
		read, err := w.wire.Unmarshal(data)
		if err != nil {
			panic("hollow: " + err.Error())
		}
		w.m.received(w.now, to, len(data))
		w.step(to, membership.DatagramReceived{Message: read.(*membership.Message), Size: len(data)})
	})
}

// scheduleProbes makes modelled members probe a complete member as often as each member is probed: once per probe
// interval on average.
func (w *fewRun) scheduleProbes(to int) {
	w.after(time.Duration(w.rng.ExpFloat64()*float64(membership.DefaultProbeInterval)), func() {
		from := w.f.Whole + w.rng.IntN(w.f.Members-w.f.Whole)
		if w.all[from].State == membership.Alive {
			w.sendFromModelled(from, to, w.delay(from, to), &membership.Message{Kind: membership.Ping, Seq: w.rng.Uint32(), Target: plan.Name(to), Addr: w.all[from].Addr})
		}
		w.scheduleProbes(to)
	})
}

// scheduleChurn makes a random modelled member crash, or restart if it has crashed, and sends the rumors about it.
func (w *fewRun) scheduleChurn() {
	w.after(time.Duration(w.rng.ExpFloat64()/w.f.Events*float64(time.Second)), func() {
		n := w.f.Whole + w.rng.IntN(w.f.Members-w.f.Whole)
		r := &w.all[n]
		if r.State == membership.Alive {
			r.State, r.Reporter = membership.Dead, plan.Name(w.f.Whole)
		} else {
			r.State, r.Reporter, r.Boot, r.RunID = membership.Alive, "", r.Boot+1, w.rng.Uint64()|1
		}
		rumor := *r
		for to := range w.whole {
			for range int(w.f.Copies + w.rng.Float64()) {
				from := w.f.Whole + w.rng.IntN(w.f.Members-w.f.Whole)
				if w.all[from].State == membership.Alive {
					w.sendFromModelled(from, to, time.Duration(w.rng.Float64()*float64(w.f.News)), &membership.Message{Kind: membership.Gossip, Updates: []membership.Record{rumor}})
				}
			}
		}
		w.scheduleChurn()
	})
}

func (w *fewRun) step(n int, events ...membership.Event) {
	v := w.whole[n]
	for _, a := range v.Step(w.now, events...) {
		switch a := a.(type) {
		case membership.Send:
			w.sent(n, a)
		case membership.OpenExchange: // the other member's view is the same
			w.exchange(n, a)
		}
	}
	if next := v.Next(); next != w.wake[n] {
		w.wake[n] = next
		w.queue.At(next, func() {
			if w.wake[n] == next {
				w.wake[n] = 0
				w.step(n)
			}
		})
	}
}

// sent handles a message of a complete member: a complete receiver gets it, a modelled one answers it.
func (w *fewRun) sent(from int, a membership.Send) {
	data, err := w.wire.Marshal(plan.Name(from), a.Message)
	if err != nil {
		panic("hollow: " + err.Error()) // the message comes from a member
	}
	w.m.sent(w.now, from, len(data))
	to, ok := w.byAddr[a.To]
	if !ok {
		return
	}
	there := w.delay(from, to)
	if to < len(w.whole) {
		read, err := w.wire.Unmarshal(data)
		if err != nil {
			panic("hollow: " + err.Error())
		}
		w.after(there, func() {
			w.m.received(w.now, to, len(data))
			w.step(to, membership.DatagramReceived{Message: read.(*membership.Message), Size: len(data)})
		})
		return
	}
	if w.all[to].State != membership.Alive {
		return
	}
	switch m := a.Message; m.Kind {
	case membership.Ping:
		w.sendFromModelled(to, from, there+w.delay(to, from), &membership.Message{Kind: membership.Ack, Seq: m.Seq, Target: m.Target})
	case membership.IndirectPing:
		if t, ok := w.byAddr[m.Addr]; ok && w.all[t].State == membership.Alive {
			w.sendFromModelled(to, from, there+w.delay(to, t)+w.delay(t, to)+w.delay(to, from), &membership.Message{Kind: membership.Ack, Seq: m.Seq, Target: m.Target})
		}
	}
}

func (w *fewRun) exchange(from int, a membership.OpenExchange) {
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
	w.after(2*w.delay(from, to)+2*w.delay(to, from), func() { w.step(from, membership.ExchangeResponse{ID: a.ID, Message: x}) })
}

// FullViewSize returns the size in bytes of a full membership view on a stream, as sent to a member that has lost its own.
func FullViewSize(members int) (int, error) {
	x := &membership.Exchange{From: plan.Name(0), Boot: 1, RunID: 1}
	for n := range members {
		x.Records = append(x.Records, membership.Record{Name: plan.Name(n), Addr: fmt.Sprintf("10.77.%d.%d:7946", n/250, n%250+1), Zone: "r1-z1", Version: "virtual",
			Boot: 1_790_000_000, RunID: uint64(n)*0x9e3779b97f4a7c15 + 1, Instances: 1, Balancers: 1, NameVerified: true})
	}
	data, err := transport.Wire{Fleet: Fleet}.Marshal(x.From, x)
	return len(data), err
}
