package checker

import "time"

// PropagationTimes are the times from each event of a daemon until the last of the other daemons had learned of it.
type PropagationTimes struct {
	Crash   []time.Duration
	Leave   []time.Duration
	Join    []time.Duration
	Unknown int // number of events that some daemon did not learn of although it continued to run
}

// MeasurePropagation measures the lines up to the time until. Joins up to the time from are not counted, because the
// daemons then start together. Times are those of Line.T.
func MeasurePropagation(lines []Line, from, until int64) PropagationTimes {
	p := &propagation{from: from, daemons: map[int]*observedDaemon{}}
	for _, l := range lines {
		if l.T > until {
			break
		}
		p.apply(l)
	}
	for _, e := range p.events {
		if len(e.unaware) > 0 {
			p.times.Unknown++
		}
	}
	return p.times
}

// propagation is the state of MeasurePropagation.
type propagation struct {
	from    int64
	daemons map[int]*observedDaemon // by process
	events  []*propagatedEvent
	times   PropagationTimes
}

type observedDaemon struct {
	name        string
	incarnation string
	up          bool
}

// propagatedEvent is an event that other daemons have to learn of.
type propagatedEvent struct {
	at          int64
	name        string // of the daemon that it happened to
	incarnation string
	state       string       // state of the daemon that the others' views must show
	unaware     map[int]bool // processes that have not learned of the event
	lastLearned int64        // 0: no process has learned of it, or the time has been recorded
	times       *[]time.Duration
}

func (p *propagation) apply(l Line) {
	daemon := p.daemons[l.PID]
	switch l.What {
	case Up:
		p.daemons[l.PID] = &observedDaemon{name: l.Of, up: true}
	case Start:
		if daemon == nil {
			return
		}
		daemon.incarnation = l.RunID
		if l.T > p.from {
			p.begin(l, "alive", &p.times.Join)
		}
	case Down:
		if daemon == nil {
			return
		}
		daemon.up = false
		p.forgetObserver(l.PID)
		if l.Why == "kill" {
			p.begin(l, "dead", &p.times.Crash)
		}
	case Leaving:
		p.begin(l, "left", &p.times.Leave)
	case Member:
		p.learn(l)
	}
}

// begin records an event that all other running daemons have to learn of.
func (p *propagation) begin(l Line, state string, times *[]time.Duration) {
	daemon := p.daemons[l.PID]
	if daemon == nil {
		return
	}
	e := &propagatedEvent{
		at:          l.T,
		name:        daemon.name,
		incarnation: daemon.incarnation,
		state:       state,
		unaware:     map[int]bool{},
		times:       times,
	}
	for pid, other := range p.daemons {
		if other.up && other.name != daemon.name {
			e.unaware[pid] = true
		}
	}
	p.events = append(p.events, e)
}

// forgetObserver removes a process that has ended from those that must learn of events.
func (p *propagation) forgetObserver(pid int) {
	for _, e := range p.events {
		delete(e.unaware, pid)
		if len(e.unaware) == 0 && e.lastLearned > 0 {
			e.finish()
		}
	}
}

// learn applies a change of a daemon's view of a member.
func (p *propagation) learn(l Line) {
	for _, e := range p.events {
		if !e.unaware[l.PID] || e.name != l.Of || e.incarnation != l.RunID {
			continue
		}
		if l.State != e.state && !(e.state == "dead" && l.State == "left") {
			continue
		}
		delete(e.unaware, l.PID)
		e.lastLearned = l.T
		if len(e.unaware) == 0 {
			e.finish()
		}
	}
}

// finish records the time until the last daemon learned of the event.
func (e *propagatedEvent) finish() {
	*e.times = append(*e.times, time.Duration(e.lastLearned-e.at))
	e.lastLearned = 0
}
