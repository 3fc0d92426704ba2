package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide"
)

// ListSpec is how the server list behaves.
type ListSpec struct {
	Asked   bool          // agents ask for a watch; else they are told unasked
	Up      time.Duration // how late it knows of a server that has come up or moved
	Drain   time.Duration // and of one that drains or was stopped
	Silent  time.Duration // and of one that vanished
	Spread  time.Duration // by which some agents hear later than others
	Calls   float64       // calls answered a second, for all agents together; 0: any number
	Timeout time.Duration // a call that waits longer fails
}

// Entry is what the list says of one server.
type Entry struct {
	Server  ServerSpec
	State   decide.BackendState
	Started time.Duration // 0: long ago
	Version int64         // of the list that last changed it
}

// What happens to the list.
type (
	// Truth tells the list's own watchers how a server is now; After is how long they need.
	Truth struct {
		Entry   Entry
		After   time.Duration
		Instead bool // what they have not noticed yet of this server never comes out
	}
	// Ask is an agent's call for a watch: what changed after Since, then each change.
	Ask struct {
		Agent int
		Since int64
	}
	// Leave ends an agent's watch, or its call.
	Leave struct{ Agent int }
	// SetDown takes the service down or up.
	SetDown struct{ Down bool }
	// SetLate puts it further behind.
	SetLate struct{ By time.Duration }
	// SetRefuse has it turn that share of calls away at once.
	SetRefuse struct{ Share float64 }
)

// ListEvent is one of the above, or Wake.
type ListEvent interface{ listEvent() }

func (Truth) listEvent()     {}
func (Ask) listEvent()       {}
func (Leave) listEvent()     {}
func (SetDown) listEvent()   {}
func (SetLate) listEvent()   {}
func (SetRefuse) listEvent() {}
func (Wake) listEvent()      {}

// Tell is what the list does: it tells an agent, at a time, or ends its watch or call.
type Tell struct {
	At      time.Duration
	Agent   int
	Failed  bool // the call fails or the watch ends
	Full    bool // all entries; else those that changed
	Version int64
	Entries []Entry
}

// List is the model of the service that lists servers.
type List struct {
	spec    ListSpec
	rng     *rand.Rand
	version int64
	entries []Entry // published, gone ones too
	pending []pendingTruth
	calls   []call
	freeAt  time.Duration
	down    bool
	late    time.Duration
	refuse  float64
	watches map[int]*watch
	reads   int
	tells   []Tell
}

type pendingTruth struct {
	entry Entry
	base  time.Duration // published at, while nothing is late
}

type call struct {
	agent  int
	since  int64
	at     time.Duration // when it is answered
	failed bool
}

type watch struct {
	spread time.Duration // this agent hears so much later
	last   time.Duration // no message overtakes another
}

// NewList begins with servers that have been up for long.
func NewList(spec ListSpec, servers []ServerSpec, agents int, chance Chance) *List {
	l := &List{spec: spec, rng: chance.Sub(Name("list")).Rand(), version: 1, watches: map[int]*watch{}}
	for _, s := range servers {
		l.entries = append(l.entries, Entry{Server: s, State: decide.Up, Version: 1})
	}
	for a := range agents {
		if !spec.Asked {
			l.watches[a] = l.newWatch()
		}
	}
	return l
}

// Snapshot is all that is published and not gone.
func (l *List) Snapshot() (int64, []Entry) {
	var all []Entry
	for _, e := range l.entries {
		if e.State != decide.Removed {
			all = append(all, e)
		}
	}
	return l.version, all
}

// Reads is how many calls were answered.
func (l *List) Reads() int { return l.reads }

// Step takes one event and returns what is told; the slice is good until the next Step.
func (l *List) Step(now time.Duration, e ListEvent) []Tell {
	l.tells = l.tells[:0]
	l.advance(now)
	switch e := e.(type) {
	case Truth:
		base := now + e.After
		if e.Instead {
			l.pending = slices.DeleteFunc(l.pending, func(p pendingTruth) bool {
				return p.entry.Server.Name == e.Entry.Server.Name
			})
		}
		for _, p := range l.pending { // of one server, what happened later is told later
			if p.entry.Server.Name == e.Entry.Server.Name {
				base = max(base, p.base)
			}
		}
		l.pending = append(l.pending, pendingTruth{e.Entry, base})
	case Ask:
		l.ask(now, e)
	case Leave:
		delete(l.watches, e.Agent)
		l.calls = slices.DeleteFunc(l.calls, func(c call) bool { return c.agent == e.Agent })
	case SetDown:
		l.setDown(now, e.Down)
	case SetLate:
		l.late = e.By
	case SetRefuse:
		l.refuse = e.Share
	}
	l.advance(now)
	return l.tells
}

// NextWake is when something is due next by itself; 0: nothing is.
func (l *List) NextWake() time.Duration {
	next := time.Duration(0)
	add := func(at time.Duration) {
		if next == 0 || at < next {
			next = at
		}
	}
	for _, p := range l.pending {
		if !l.down {
			add(max(p.base+l.late, 1))
		}
	}
	for _, c := range l.calls {
		add(max(c.at, 1))
	}
	return next
}

func (l *List) ask(now time.Duration, e Ask) {
	delete(l.watches, e.Agent)
	l.calls = slices.DeleteFunc(l.calls, func(c call) bool { return c.agent == e.Agent })
	c := call{agent: e.Agent, since: e.Since, at: now}
	switch {
	case l.down, l.refuse > 0 && l.rng.Float64() < l.refuse:
		c.failed = true
	case l.spec.Calls > 0:
		each := time.Duration(float64(time.Second) / l.spec.Calls)
		done := max(l.freeAt, now) + each
		if c.at = done; l.spec.Timeout > 0 && done > now+l.spec.Timeout {
			c.at, c.failed = now+l.spec.Timeout, true
		} else {
			l.freeAt = done
		}
	}
	l.calls = append(l.calls, c)
}

func (l *List) setDown(now time.Duration, down bool) {
	if l.down = down; !down {
		return
	}
	for i := range l.calls {
		l.calls[i].at, l.calls[i].failed = now, true
	}
	if !l.spec.Asked {
		return // what tells agents is silent, and goes on where it was
	}
	var agents []int
	for a := range l.watches {
		agents = append(agents, a)
	}
	slices.Sort(agents)
	for _, a := range agents {
		l.tells = append(l.tells, Tell{At: now, Agent: a, Failed: true})
		delete(l.watches, a)
	}
}

// advance answers calls and publishes what is due, in order of time.
func (l *List) advance(now time.Duration) {
	for {
		next, due := -1, now
		for i, c := range l.calls {
			if c.at <= due && (next < 0 || c.at < due) {
				next, due = i, c.at
			}
		}
		change := -1
		for i, p := range l.pending {
			if at := p.base + l.late; !l.down && at <= due && (change < 0 || at < due) {
				change, due = i, at
			}
		}
		switch {
		case change >= 0:
			p := l.pending[change]
			l.pending = slices.Delete(l.pending, change, change+1)
			l.publish(max(due, 0), p.entry)
		case next >= 0:
			c := l.calls[next]
			l.calls = slices.Delete(l.calls, next, next+1)
			l.reply(c)
		default:
			return
		}
	}
}

func (l *List) publish(now time.Duration, e Entry) {
	l.version++
	e.Version = l.version
	i := slices.IndexFunc(l.entries, func(o Entry) bool { return o.Server.Name == e.Server.Name })
	if i >= 0 {
		l.entries[i] = e
	} else {
		l.entries = append(l.entries, e)
	}
	agents := make([]int, 0, len(l.watches))
	for a := range l.watches {
		agents = append(agents, a)
	}
	slices.Sort(agents)
	for _, a := range agents {
		l.tell(now, a, Tell{Version: l.version, Entries: []Entry{e}})
	}
}

func (l *List) reply(c call) {
	if c.failed {
		l.tells = append(l.tells, Tell{At: c.at, Agent: c.agent, Failed: true})
		return
	}
	l.reads++
	l.watches[c.agent] = l.newWatch()
	t := Tell{Version: l.version}
	if c.since <= 0 || c.since > l.version { // nothing to count from
		t.Full = true
		_, t.Entries = l.Snapshot()
	} else {
		for _, e := range l.entries {
			if e.Version > c.since {
				t.Entries = append(t.Entries, e)
			}
		}
	}
	l.tell(c.at, c.agent, t)
}

func (l *List) newWatch() *watch {
	return &watch{spread: time.Duration(l.rng.Float64() * float64(l.spec.Spread))}
}

func (l *List) tell(now time.Duration, agent int, t Tell) {
	w := l.watches[agent]
	w.last = max(w.last, now+w.spread)
	t.At, t.Agent = w.last, agent
	l.tells = append(l.tells, t)
}
