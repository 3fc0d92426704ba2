package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/decide"
)

// ListSpec describes the behaviour of the server list.
type ListSpec struct {
	Asked   bool          // agents subscribe to a watch; otherwise the list pushes updates without a subscription
	Up      time.Duration // delay until it detects a server that has come up or moved
	Drain   time.Duration // delay until it detects a server that drains or was stopped
	Silent  time.Duration // delay until it detects a server that became unreachable
	Spread  time.Duration // maximum of the extra delay that some agents have
	Calls   float64       // calls answered per second, for all agents together; 0: unlimited
	Timeout time.Duration // calls that wait longer fail
}

// Entry is the list's entry for one server.
type Entry struct {
	Server  ServerSpec
	State   decide.BackendState
	Started time.Duration // 0: long ago
	Version int64         // of the list that last changed it
}

// The events that List.Step handles.
type (
	// ServerChange is a change of a server's state, which the list detects after the delay After.
	ServerChange struct {
		Entry      Entry
		After      time.Duration
		Supersedes bool // earlier changes of this server that the list has not detected yet are dropped
	}
	// Subscribe is an agent's call for a watch: it gets the changes after version Since, then each new change.
	Subscribe struct {
		Agent int
		Since int64
	}
	// Unsubscribe ends an agent's watch or its waiting call.
	Unsubscribe struct{ Agent int }
	// SetDown makes the service unavailable, or available again.
	SetDown struct{ Down bool }
	// SetLate delays updates further.
	SetLate struct{ By time.Duration }
	// SetRefuse makes the list reject a share of calls at once.
	SetRefuse struct{ Share float64 }
)

// ListEvent is an event that List.Step handles: Subscribe, SetDown and the other types declared with them, or Wake.
type ListEvent interface{ listEvent() }

func (ServerChange) listEvent() {}
func (Subscribe) listEvent()    {}
func (Unsubscribe) listEvent()  {}
func (SetDown) listEvent()      {}
func (SetLate) listEvent()      {}
func (SetRefuse) listEvent()    {}
func (Wake) listEvent()         {}

// ListMessage is a message to an agent at a time: entries, or the end of its watch or call.
type ListMessage struct {
	At      time.Duration
	Agent   int
	Failed  bool // the call fails or the watch ends
	Full    bool // Entries is the complete list; otherwise only the changes
	Version int64
	Entries []Entry
}

// List simulates the discovery service that lists servers.
type List struct {
	spec     ListSpec
	rng      *rand.Rand
	version  int64
	entries  []Entry // published, including removed servers
	pending  []pendingChange
	calls    []call
	freeAt   time.Duration
	down     bool
	late     time.Duration
	refuse   float64
	watches  map[int]*watch
	reads    int
	messages []ListMessage
}

type pendingChange struct {
	entry Entry
	base  time.Duration // time of publication, not including the delay of SetLate
}

type call struct {
	agent  int
	since  int64
	at     time.Duration // time of its answer
	failed bool
}

type watch struct {
	spread time.Duration // extra delay of this agent
	last   time.Duration // time of the latest message: messages keep their order
}

// NewList returns a list of servers that have been up for a long time.
func NewList(spec ListSpec, servers []ServerSpec, agents int, seed Seed) *List {
	l := &List{spec: spec, rng: seed.Derive(HashName("list")).Rand(), version: 1, watches: map[int]*watch{}}
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

// Snapshot returns the version, and all published servers except those that were removed.
func (l *List) Snapshot() (int64, []Entry) {
	var all []Entry
	for _, e := range l.entries {
		if e.State != decide.Removed {
			all = append(all, e)
		}
	}
	return l.version, all
}

// Reads returns the number of answered calls.
func (l *List) Reads() int { return l.reads }

// Step handles one event and returns the messages to agents; the slice is valid until the next Step.
func (l *List) Step(now time.Duration, e ListEvent) []ListMessage {
	l.messages = l.messages[:0]
	l.advance(now)
	switch e := e.(type) {
	case ServerChange:
		base := now + e.After
		if e.Supersedes {
			l.pending = slices.DeleteFunc(l.pending, func(p pendingChange) bool {
				return p.entry.Server.Name == e.Entry.Server.Name
			})
		}
		for _, p := range l.pending { // the changes of one server are published in their order
			if p.entry.Server.Name == e.Entry.Server.Name {
				base = max(base, p.base)
			}
		}
		l.pending = append(l.pending, pendingChange{e.Entry, base})
	case Subscribe:
		l.subscribe(now, e)
	case Unsubscribe:
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
	return l.messages
}

// NextWake returns the time of the next action that no event triggers; 0: no action is scheduled.
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

func (l *List) subscribe(now time.Duration, e Subscribe) {
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
		return // pushed updates pause, and resume later where they stopped
	}
	var agents []int
	for a := range l.watches {
		agents = append(agents, a)
	}
	slices.Sort(agents)
	for _, a := range agents {
		l.messages = append(l.messages, ListMessage{At: now, Agent: a, Failed: true})
		delete(l.watches, a)
	}
}

// advance answers calls and publishes changes that are due, in order of time.
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
		l.send(now, a, ListMessage{Version: l.version, Entries: []Entry{e}})
	}
}

func (l *List) reply(c call) {
	if c.failed {
		l.messages = append(l.messages, ListMessage{At: c.at, Agent: c.agent, Failed: true})
		return
	}
	l.reads++
	l.watches[c.agent] = l.newWatch()
	t := ListMessage{Version: l.version}
	if c.since <= 0 || c.since > l.version { // the changes can't be sent relative to that version
		t.Full = true
		_, t.Entries = l.Snapshot()
	} else {
		for _, e := range l.entries {
			if e.Version > c.since {
				t.Entries = append(t.Entries, e)
			}
		}
	}
	l.send(c.at, c.agent, t)
}

func (l *List) newWatch() *watch {
	return &watch{spread: time.Duration(l.rng.Float64() * float64(l.spec.Spread))}
}

func (l *List) send(now time.Duration, agent int, t ListMessage) {
	w := l.watches[agent]
	w.last = max(w.last, now+w.spread)
	t.At, t.Agent = w.last, agent
	l.messages = append(l.messages, t)
}
