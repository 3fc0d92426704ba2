// Package ejectionsim plays members that share evidence about servers, in virtual time: servers that fail, agents whose links
// to servers or to one another are broken, and lists that are late. Each agent picks among the servers that it does not
// keep off by itself or by verdict. The truth is known, so that what was spoilt, and who was wrongly out, is counted.
package ejectionsim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/eventqueue"
	"vetchhaven/internal/peer/ejection"
)

// Options say what to play.
type Options struct {
	Seed    uint64
	Agents  int
	Servers int
	Rate    float64 // requests a second of each agent
	Length  time.Duration
	Share   bool // members share evidence; else each is alone
	Error   float64
	// Fails is the share of an agent's requests that a server fails at a time, by its own fault.
	Fails func(server int, now time.Duration) float64
	// Link is the share that the link between them loses, which is nobody else's.
	Link func(agent, server int, now time.Duration) float64
	// Peers is the share of messages between two members that is lost, and how late the rest is.
	Peers func(from, to int, now time.Duration) (lost float64, late time.Duration)
	Say   func(now time.Duration, agent int, text string) // nil: nobody
	Mute  bool                                            // servers that fail say nothing
	Own   bool                                            // each keeps off by itself what failed lately
	// Calls are the servers that an agent sends to; nil: all, empty: it sends nothing.
	Calls func(agent int) []int
	// List is in which list a server stands; an agent reads those of the servers that it sends to. nil: one list, which
	// all read.
	List func(server int) string
	// Place is where an agent, and the server of its number, stands. nil: all in one place, with servers in three zones.
	Place func(n int) (region, zone string)
	// First reports whether an agent's version speaks the first form of messages, and tells nothing of its lists. nil: none.
	First func(agent int) bool
	// Batch is how often an agent tells its member what it saw; 0: each request by itself. With it requests are drawn so many
	// at a time, which is much faster at high rates.
	Batch time.Duration
	// Size is what a message takes on the wire; nil: about so much.
	Size func(from string, m *ejection.Message) int
	// Sent hears of each message, and Took of each that arrives. nil: nobody.
	Sent, Took func(now time.Duration, member, bytes int)
	// Drains are servers whose lists say that they drain: each member's within a second, and that they are gone ten later.
	Drains []Drain
}

// Drain is a server that drains from a time on.
type Drain struct {
	Server int
	At     time.Duration
}

// Result is what came of it.
type Result struct {
	Asked, Spoilt  int             // requests, and those that failed by the server's own fault while it failed
	Wrong          int             // verdicts of members about servers that did not fail
	WrongFor       time.Duration   // how long, in sum
	WrongAt        []int           // the members that had them
	WrongElsewhere int             // of the wrong ones, those at members whose own link reaches the server, and has for as long as evidence lasts
	OutAt          []int           // the members that had a failing server out, as Out
	Out            []time.Duration // when each member had a failing server out, from when it began to fail
	Back           []time.Duration // when each could use it again, from when it was well
	Tries          int             // requests to failing servers by members that had been told
	Bytes          int
	Messages       int
	Verdicts       int
	Stale          int    // verdicts acted on past their bound
	Left           []Left // verdicts that ended
	MostBackPerSec int    // requests in a second to a server that has just come back
}

// Left is a verdict that ended at a member.
type Left struct {
	Agent   int
	At, For time.Duration
}

type agent struct {
	n     int
	m     *ejection.Member
	wake  time.Duration
	out   map[string]time.Duration // by verdict, until
	off   []time.Duration          // by itself, until
	times []int
	begin []time.Duration // when a wrong verdict began, by server; 0: none
	since []time.Duration // when any did
	calls []int           // servers; nil: all
	batch map[int]ejection.OutcomeSample
	list  []ejection.Server // its own, once it differs from that of all
	reads map[string][]ejection.Server
}

type world struct {
	o      Options
	rng    *rand.Rand
	now    time.Duration
	agenda eventqueue.Agenda
	agents []*agent
	r      Result
	began  []time.Duration // by server: it fails since; 0: it does not
	well   []time.Duration
	sent   [][]time.Duration
}

func name(n int) string     { return fmt.Sprint("m", n) }
func serverID(n int) string { return fmt.Sprint("main/s", n) }

// Play plays it to its end.
func Play(o Options) (*Result, error) {
	w := &world{o: o, rng: rand.New(rand.NewPCG(o.Seed, 41)), began: make([]time.Duration, o.Servers), well: make([]time.Duration, o.Servers), sent: make([][]time.Duration, o.Servers)}
	var list []ejection.Server
	lists := map[string][]ejection.Server{}
	for s := range o.Servers {
		one := ejection.Server{ID: serverID(s), StartedMS: 1, Zone: fmt.Sprint(s % 3), Pod: s % 4}
		if o.Place != nil {
			_, one.Zone = o.Place(s)
		}
		list = append(list, one)
		lists[w.listOf(s)] = append(lists[w.listOf(s)], one)
	}
	peers := make([]ejection.Peer, o.Agents)
	for n := range o.Agents {
		a := &agent{n: n, out: map[string]time.Duration{}, off: make([]time.Duration, o.Servers), times: make([]int, o.Servers), begin: make([]time.Duration, o.Servers), since: make([]time.Duration, o.Servers)}
		if o.Calls != nil {
			a.calls = o.Calls(n)
		}
		a.reads = lists
		if o.List != nil && a.calls != nil {
			a.reads = map[string][]ejection.Server{}
			for _, s := range a.calls {
				a.reads[o.List(s)] = lists[o.List(s)]
			}
		}
		if o.Place != nil {
			peers[n].Region, peers[n].Zone = o.Place(n)
		}
		first := o.First != nil && o.First(n)
		if !first {
			peers[n].Subscriptions = ejection.NewSubscriptionFilter(slices.Sorted(maps.Keys(a.reads)))
		}
		w.agents = append(w.agents, a)
		if o.Share {
			s := ejection.Settings{Name: name(n), RunID: 1}
			if first {
				s.FormatVersion = 1
			}
			m, err := ejection.New(s, w.rng.Uint64())
			if err != nil {
				return nil, err
			}
			a.m = m
		}
		if a.calls != nil && len(a.calls) == 0 {
			continue // it calls nobody
		}
		if o.Batch > 0 {
			a.batch = map[int]ejection.OutcomeSample{}
			w.at(time.Duration(w.rng.Float64()*float64(o.Batch)), func() { w.arriveAll(a) })
		} else {
			w.arrive(a)
		}
	}
	if o.Share {
		all := members(peers)
		for _, a := range w.agents {
			events := []ejection.Event{all}
			for _, l := range slices.Sorted(maps.Keys(a.reads)) {
				events = append(events, ejection.ListUpdated{Source: l, Servers: a.reads[l]})
			}
			w.step(a, events...)
		}
	}
	for _, d := range o.Drains {
		for _, a := range w.agents {
			at := d.At + time.Duration(w.rng.Float64()*float64(time.Second))
			w.at(at, func() { w.listed(a, list, d.Server, ejection.Draining) })
			w.at(at+10*time.Second, func() { w.listed(a, list, d.Server, ejection.Removed) })
		}
	}
	w.watch()
	for at, do, ok := w.agenda.Next(o.Length); ok; at, do, ok = w.agenda.Next(o.Length) {
		w.now = at
		do()
	}
	for _, a := range w.agents {
		for _, at := range a.begin {
			if at > 0 {
				w.r.WrongFor += w.now - at
			}
		}
	}
	return &w.r, nil
}

// listOf is in which list a server stands.
func (w *world) listOf(server int) string {
	if w.o.List == nil {
		return "main"
	}
	return w.o.List(server)
}

// members are all, in the order of their names, as the view tells them.
func members(peers []ejection.Peer) ejection.MembersChanged {
	order := make([]int, len(peers))
	for n := range order {
		order[n] = n
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(name(a), name(b)) })
	var e ejection.MembersChanged
	for _, n := range order {
		e.Names, e.Peers = append(e.Names, name(n)), append(e.Peers, peers[n])
	}
	return e
}

func (w *world) at(t time.Duration, do func()) {
	w.agenda.At(max(t, w.now), do)
}

// watch notes when servers begin to fail and are well again, and who keeps off them.

func (w *world) watch() {
	for s := range w.o.Servers {
		fails := w.o.Fails(s, w.now) >= 0.2
		switch {
		case fails && w.began[s] == 0:
			w.began[s], w.well[s] = max(w.now, 1), 0
		case !fails && w.began[s] > 0:
			w.began[s], w.well[s] = 0, w.now
		}
	}
	w.at(w.now+10*time.Millisecond, w.watch)
}

// step steps a member, and does what it wants done.
func (w *world) step(a *agent, events ...ejection.Event) {
	for _, act := range a.m.Step(w.now+time.Hour, events...) {
		switch act := act.(type) {
		case ejection.Send:
			w.r.Messages++
			size := 40 + 64*len(act.Message.Evidence) + 32*len(act.Message.Drains)
			if w.o.Size != nil {
				size = w.o.Size(name(a.n), act.Message)
			}
			w.r.Bytes += size
			if w.o.Sent != nil {
				w.o.Sent(w.now, a.n, size)
			}
			to, err := strconv.Atoi(strings.TrimPrefix(act.To, "m"))
			if err != nil {
				panic("play: a message to " + act.To) // the model's own name
			}
			lost, late := w.o.Peers(a.n, to, w.now)
			if w.rng.Float64() < lost {
				continue
			}
			w.at(w.now+time.Millisecond+late, func() {
				if w.o.Took != nil {
					w.o.Took(w.now, to, size)
				}
				w.step(w.agents[to], ejection.Received{From: name(a.n), Message: act.Message})
			})
		case ejection.Log:
			if w.o.Say != nil {
				w.o.Say(w.now, a.n, act.Text)
			}
		case ejection.EjectionsChanged:
			w.judged(a, act.Ejections)
		}
	}
	if next := a.m.Next() - time.Hour; next != a.wake {
		a.wake = next
		w.at(next, func() {
			if a.wake == next {
				a.wake = 0
				w.step(a)
			}
		})
	}
}

func (w *world) judged(a *agent, all []ejection.Ejection) {
	out := map[string]time.Duration{}
	for _, v := range all {
		out[v.Server] = v.Until - time.Hour
	}
	for s := range w.o.Servers {
		id := serverID(s)
		_, was := a.out[id]
		_, is := out[id]
		switch {
		case is && !was:
			w.r.Verdicts++
			a.since[s] = w.now
			if w.began[s] > 0 {
				w.r.Out = append(w.r.Out, w.now-w.began[s])
				w.r.OutAt = append(w.r.OutAt, a.n)
			} else if w.well[s] == 0 || w.now-w.well[s] > ejection.DefaultMaxEvidenceAge {
				w.r.Wrong++
				w.r.WrongAt = append(w.r.WrongAt, a.n)
				if !w.unreached(a.n, s) {
					w.r.WrongElsewhere++
				}
				a.begin[s] = w.now
			}
		case was && !is:
			w.r.Left = append(w.r.Left, Left{a.n, w.now, w.now - a.since[s]})
			if w.well[s] > 0 {
				w.r.Back = append(w.r.Back, w.now-w.well[s])
			}
			if a.begin[s] > 0 {
				w.r.WrongFor += w.now - a.begin[s]
				a.begin[s] = 0
			}
		}
	}
	a.out = out
}

// unreached reports whether an agent's link to a server loses all, or did lately.
func (w *world) unreached(agent, server int) bool {
	for ago := time.Duration(0); ago <= ejection.DefaultMaxEvidenceAge && ago <= w.now; ago += time.Second {
		if w.o.Link(agent, server, w.now-ago) >= 1 {
			return true
		}
	}
	return false
}

// arrive brings an agent its requests.
func (w *world) arrive(a *agent) {
	w.at(w.now+time.Duration(w.rng.ExpFloat64()/w.o.Rate*float64(time.Second)), func() {
		w.take(a)
		w.arrive(a)
	})
}

// arriveAll brings an agent the requests of one batch, and its member what became of them.
func (w *world) arriveAll(a *agent) {
	mean := w.o.Rate * w.o.Batch.Seconds()
	for at := w.rng.ExpFloat64(); at < mean; at += w.rng.ExpFloat64() {
		w.take(a)
	}
	if len(a.batch) > 0 {
		all := make([]ejection.OutcomeSample, 0, len(a.batch))
		for _, s := range slices.Sorted(maps.Keys(a.batch)) {
			all = append(all, a.batch[s])
		}
		clear(a.batch)
		if a.m != nil {
			w.step(a, ejection.OutcomesObserved{Samples: all})
		}
	}
	w.at(w.now+w.o.Batch, func() { w.arriveAll(a) })
}

// listed gives a member a list in which one server has another state.
func (w *world) listed(a *agent, first []ejection.Server, server int, state ejection.ListedState) {
	if a.m == nil {
		return
	}
	if a.list == nil {
		a.list = slices.Clone(first)
	}
	a.list[server].State = state
	l := w.listOf(server)
	if a.reads[l] == nil {
		return
	}
	var all []ejection.Server
	for s, one := range a.list {
		if w.listOf(s) == l {
			all = append(all, one)
		}
	}
	w.step(a, ejection.ListUpdated{Source: l, Servers: all})
}

// pick is a server by chance.
func (w *world) pick(a *agent) int {
	if a.calls != nil {
		return a.calls[w.rng.IntN(len(a.calls))]
	}
	return w.rng.IntN(w.o.Servers)
}

func (w *world) take(a *agent) {
	w.r.Asked++
	s, tries := 0, 0
	for ; tries < 200; tries++ {
		s = w.pick(a)
		if a.list != nil && a.list[s].State != ejection.Up {
			continue
		}
		until, out := a.out[serverID(s)]
		if (!out || w.now >= until) && w.now >= a.off[s] {
			break
		}
	}
	if w.well[s] > 0 && w.now-w.well[s] < 30*time.Second {
		w.sent[s] = append(w.sent[s], w.now)
		for w.now-w.sent[s][0] > time.Second {
			w.sent[s] = w.sent[s][1:]
		}
		w.r.MostBackPerSec = max(w.r.MostBackPerSec, len(w.sent[s]))
	}
	fault := w.rng.Float64() < w.o.Fails(s, w.now)
	bad := fault || w.rng.Float64() < w.o.Error || w.rng.Float64() < w.o.Link(a.n, s, w.now)
	if fault {
		w.r.Spoilt++
	}
	x := ejection.OutcomeSample{Server: serverID(s), StartedMS: 1, Succeeded: 1}
	if bad {
		x.Succeeded, x.Failed = 0, 1
		if fault && !w.o.Mute {
			x.ErrorResponses = 1
		}
	}
	if w.o.Own {
		if bad { // as decide: out for an aim or so, twice as long each time
			a.times[s] = min(a.times[s]+1, 5)
			a.off[s] = w.now + time.Duration(1<<(a.times[s]-1))*time.Second
		} else {
			a.times[s] = 0
		}
	}
	if a.batch != nil {
		b := a.batch[s]
		x.Succeeded, x.Failed, x.ErrorResponses = x.Succeeded+b.Succeeded, x.Failed+b.Failed, x.ErrorResponses+b.ErrorResponses
		a.batch[s] = x
	} else if a.m != nil {
		w.step(a, ejection.OutcomesObserved{Samples: []ejection.OutcomeSample{x}})
	}
}
