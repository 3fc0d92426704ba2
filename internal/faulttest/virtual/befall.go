package virtual

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/faulttest/plan"
	"vetchhaven/internal/peer/membership"
)

// line is one by the drill.
func (w *world) line(l checker.Line) {
	if w.o.Each != nil {
		return
	}
	l.T, l.By = int64(w.now), cmp.Or(l.By, checker.FaultTest)
	w.lines = append(w.lines, l)
}

// collect writes down what the daemons did, in order of time, then of daemon.
func (w *world) collect(busy []*agent) {
	first := len(w.lines)
	for _, a := range busy {
		for _, s := range a.acts {
			if w.o.Each != nil {
				w.o.Each(s.at, a.n, s.a)
			} else if l, ok := told(s.a); ok {
				l.T, l.By, l.PID = int64(s.at), a.name, a.pid
				w.lines = append(w.lines, l)
			}
		}
		a.acts = a.acts[:0]
	}
	slices.SortStableFunc(w.lines[first:], func(a, b checker.Line) int { return cmp.Compare(a.T, b.T) })
}

// told is what a daemon writes of an action.
func told(a membership.Action) (checker.Line, bool) {
	switch a := a.(type) {
	case membership.MemberChanged:
		r := &a.Record
		l := checker.Line{What: checker.Member, Of: r.Name, Addr: r.Addr, Life: life(r.RunID), Boot: r.Boot, Inc: r.Incarnation, State: r.State.String(), Why: a.Reason}
		if !a.FirstSeen {
			l.Was = a.Previous.String()
		}
		return l, true
	case membership.SizeChanged:
		c := a.Size
		return checker.Line{What: checker.Counted, Most: c.MaxBalancers, Least: c.MinBalancers, Members: c.Members, Live: c.Live, File: c.FromFile}, true
	case membership.NameConflict:
		return checker.Line{What: checker.Contested, Addr: a.Other.Addr, Life: life(a.Other.RunID), StandBack: a.Yield, Why: a.Reason}, true
	case membership.SelfSuspected:
		return checker.Line{What: checker.SelfDoubt, PauseMS: a.Pause.Milliseconds(), Health: a.Health}, true
	}
	return checker.Line{}, false
}

func life(n uint64) string { return strconv.FormatUint(n, 16) }

// befall does one event of the plan.
func (w *world) befall(e plan.Event, known []membership.Record) {
	switch e.Do {
	case "link":
		w.link(e)
		return
	case "heal":
		if len(e.Who) == 0 && len(e.To) == 0 {
			e.Who, e.To = all(len(w.agents)), all(len(w.agents))
			e.Both = true
		}
		if len(e.To) == 0 {
			e.To = all(len(w.agents))
		}
		w.heal(e)
		return
	case "forget":
		for _, n := range e.Who {
			for _, m := range e.To {
				w.deliver(w.agents[n], membership.ForgetMember{Name: plan.Name(m)})
			}
		}
		return
	}
	for _, n := range e.Who {
		if n >= w.o.Daemons {
			continue
		}
		a := w.agents[n]
		switch e.Do {
		case "start":
			if e.Twin {
				t := w.add(len(w.agents), a.name, address(len(w.agents)))
				t.twin = true
				w.start(t, e, nil)
				continue
			}
			if e.Move {
				a.moves++
				delete(w.byAddr, a.addr)
				a.addr = "127.78." + strconv.Itoa(a.moves) + "." + strconv.Itoa(n%250+1) + ":" + strconv.Itoa(7946+n/250)
				w.byAddr[a.addr] = n
			}
			w.start(a, e, known)
		case "kill":
			if a.v != nil {
				w.down(a, "kill")
			}
		case "term":
			if a.v != nil && !a.leaving {
				a.leaving = true
				w.line(checker.Line{By: a.name, PID: a.pid, What: checker.Leaving})
				w.deliver(a, membership.Leave{})
			}
		case "pause":
			if a.v != nil && !a.paused {
				a.paused, a.next = true, never
				w.line(checker.Line{What: checker.Pause, Of: a.name, PID: a.pid})
			}
		case "resume":
			if a.v != nil && a.paused {
				a.paused, a.next = false, w.now
				w.line(checker.Line{What: checker.Resume, Of: a.name, PID: a.pid})
			}
		case "stop":
			a.paused, a.next = true, never
		case "cont":
			if a.paused = false; a.v != nil {
				a.next = w.now
			}
		case "keep":
			a.old = disk{a.disk.boot, slices.Clone(a.disk.known)}
		}
	}
}

func (w *world) deliver(a *agent, ev membership.Event) {
	if a.v != nil {
		a.in.Push(delivery{at: w.now, from: -1, ev: ev})
		slices.SortFunc(a.in, func(x, y delivery) int { // sorted is a heap
			return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.from, y.from), cmp.Compare(x.seq, y.seq))
		})
		if !a.paused {
			a.next = w.now
		}
	}
}

func (w *world) start(a *agent, e plan.Event, known []membership.Record) {
	if a.v != nil {
		return
	}
	switch e.State {
	case "none", "torn":
		a.disk = disk{}
	case "old":
		a.disk = a.old
	}
	w.pids++
	a.pid = w.pids
	a.leaving, a.gone, a.paused = false, false, false
	boot := membership.NextBootNumber(a.disk.boot, wallBase+int64((w.now+e.Clock)/time.Second))
	a.disk.boot = boot
	a.life = w.chance.Uint64() | 1
	s := membership.Settings{Name: a.name, Addr: a.addr, Zone: w.zone(a.n), Region: w.region(a.n), Program: "virtual", Boot: boot, RunID: a.life,
		Instances: w.o.Instances, Balancers: w.o.Instances, KnownMembers: a.disk.known, ConfiguredBalancers: max(1, w.o.FileCount), Baseline: w.o.Plain,
		ProbeInterval: w.p.Peers.Every, ProbeTimeout: w.p.Peers.Direct, IndirectTimeout: w.p.Peers.Indirect, MinSuspicion: w.p.Peers.SuspectLeast, BytesPerSecond: w.p.Peers.Bytes, RemoteBytesPerSecond: w.p.Peers.FarBytes}
	if known != nil && w.now == 0 {
		a.life = w.lifeOf(a.n)
		s.Boot, s.RunID, s.KnownMembers, s.TakesOver = wallBase, a.life, known, true
	}
	for _, n := range w.p.Seeds {
		s.Seeds = append(s.Seeds, w.agents[n].addr)
	}
	v, err := membership.New(s, w.o.Seed^a.life)
	if err != nil {
		panic("virtual: " + err.Error()) // the model's own settings
	}
	a.v, a.next = v, w.now
	a.in = a.in[:0]
	what := checker.Up
	if a.twin {
		what = checker.Twin
	}
	w.line(checker.Line{What: what, Of: a.name, PID: a.pid, Balancers: w.o.Instances, Region: w.region(a.n)})
	w.line(checker.Line{By: a.name, PID: a.pid, What: checker.Start, Life: life(a.life), Boot: boot})
}

func (w *world) down(a *agent, why string) {
	w.line(checker.Line{What: checker.Down, Of: a.name, PID: a.pid, Why: why})
	a.sent = a.v.Traffic()
	a.v, a.next, a.paused, a.gone, a.leaving = nil, never, false, false, false
	a.in = a.in[:0]
}

// heal has links be as they were from the start.
func (w *world) heal(e plan.Event) { w.lay(e, true) }

// link lays a rule over those there are.
func (w *world) link(e plan.Event) { w.lay(e, false) }

func (w *world) lay(e plan.Event, usual bool) {
	set := func(list []int) map[int]bool {
		m := make(map[int]bool, len(list))
		for _, n := range list {
			m[n] = true
		}
		return m
	}
	r := rule{set(e.Who), set(e.To), e.Both, usual, e.Link}
	same := func(o rule) bool {
		if o.both != r.both || len(o.who) != len(r.who) || len(o.to) != len(r.to) {
			return false
		}
		for n := range r.who {
			if !o.who[n] {
				return false
			}
		}
		for n := range r.to {
			if !o.to[n] {
				return false
			}
		}
		return true
	}
	w.rules = append(slices.DeleteFunc(w.rules, same), r)
	if w.o.Each != nil {
		return
	}
	pairs := map[[2]int]bool{}
	for _, a := range e.Who {
		for _, b := range e.To {
			if a != b {
				pairs[[2]int{a, b}] = true
				if e.Both {
					pairs[[2]int{b, a}] = true
				}
			}
		}
	}
	list := make([][2]int, 0, len(pairs))
	for p := range pairs {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b [2]int) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	for _, p := range list {
		l := e.Link
		if usual {
			l = w.p.Usual(p[0], p[1])
		}
		w.line(checker.Line{What: checker.Link, From: w.agents[p[0]].name, To: w.agents[p[1]].name, Drop: l.Drop, Rough: l.Rough(), WayUS: l.Way()})
	}
}

// tellSent writes what each sent in the last second.
func (w *world) tellSent() {
	if w.o.Each != nil {
		return
	}
	for _, a := range w.agents {
		if a.v == nil || a.twin {
			continue
		}
		t := a.v.Traffic()
		w.line(checker.Line{What: checker.Sent, Of: a.name, PID: a.pid, Datagrams: int(t.Datagrams - a.sent.Datagrams), Far: a.far,
			Bytes: int(t.Bytes - a.sent.Bytes), Streamed: int(t.ExchangeBytes - a.sent.ExchangeBytes)})
		a.sent, a.far = t, 0
	}
}
