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

// record adds a line of the fault test.
func (w *simulation) record(l checker.Line) {
	if w.options.Each != nil {
		return
	}
	l.T, l.By = int64(w.now), cmp.Or(l.By, checker.FaultTest)
	w.lines = append(w.lines, l)
}

// collect records the actions of the daemons, in order of time, then of daemon.
func (w *simulation) collect(busy []*daemon) {
	first := len(w.lines)
	for _, a := range busy {
		for _, s := range a.actions {
			if w.options.Each != nil {
				w.options.Each(s.at, a.n, s.a)
			} else if l, ok := lineOf(s.a); ok {
				l.T, l.By, l.PID = int64(s.at), a.name, a.pid
				w.lines = append(w.lines, l)
			}
		}
		a.actions = a.actions[:0]
	}
	slices.SortStableFunc(w.lines[first:], func(a, b checker.Line) int { return cmp.Compare(a.T, b.T) })
}

// lineOf returns the line that a daemon writes for an action, and false if it writes none.
func lineOf(a membership.Action) (checker.Line, bool) {
	switch a := a.(type) {
	case membership.MemberChanged:
		r := &a.Record
		l := checker.Line{What: checker.Member, Of: r.Name, Addr: r.Addr, RunID: formatRunID(r.RunID), Boot: r.Boot, Inc: r.Incarnation, State: r.State.String(), Why: a.Reason}
		if !a.FirstSeen {
			l.Previous = a.Previous.String()
		}
		return l, true
	case membership.BalancerCountChanged:
		c := a.Size
		return checker.Line{What: checker.Counted, MaxBalancers: c.MaxBalancers, MinBalancers: c.MinBalancers, Members: c.Members, Live: c.Live, File: c.FromFile}, true
	case membership.NameConflict:
		return checker.Line{What: checker.Contested, Addr: a.Other.Addr, RunID: formatRunID(a.Other.RunID), Yielded: a.Yield, Why: a.Reason}, true
	case membership.PauseDetected:
		return checker.Line{What: checker.PauseDetected, PauseMS: a.Pause.Milliseconds(), Health: a.Health}, true
	}
	return checker.Line{}, false
}

func formatRunID(n uint64) string { return strconv.FormatUint(n, 16) }

// applyEvent applies one event of the plan.
func (w *simulation) applyEvent(e plan.Event, known []membership.Record) {
	switch e.Do {
	case "link":
		w.link(e)
		return
	case "heal":
		if len(e.Who) == 0 && len(e.To) == 0 {
			e.Who, e.To = firstDaemons(len(w.daemons)), firstDaemons(len(w.daemons))
			e.Both = true
		}
		if len(e.To) == 0 {
			e.To = firstDaemons(len(w.daemons))
		}
		w.heal(e)
		return
	case "forget":
		for _, n := range e.Who {
			for _, m := range e.To {
				w.deliver(w.daemons[n], membership.ForgetMember{Name: plan.Name(m)})
			}
		}
		return
	}
	for _, n := range e.Who {
		if n >= w.options.Daemons {
			continue
		}
		a := w.daemons[n]
		switch e.Do {
		case "start":
			if e.Twin {
				t := w.add(len(w.daemons), a.name, address(len(w.daemons)))
				t.duplicate = true
				w.start(t, e, nil)
				continue
			}
			if e.Move {
				a.addressChanges++
				delete(w.byAddr, a.addr)
				a.addr = "127.78." + strconv.Itoa(a.addressChanges) + "." + strconv.Itoa(n%250+1) + ":" + strconv.Itoa(7946+n/250)
				w.byAddr[a.addr] = n
			}
			w.start(a, e, known)
		case "kill":
			if a.view != nil {
				w.down(a, "kill")
			}
		case "term":
			if a.view != nil && !a.leaving {
				a.leaving = true
				w.record(checker.Line{By: a.name, PID: a.pid, What: checker.Leaving})
				w.deliver(a, membership.Leave{})
			}
		case "pause":
			if a.view != nil && !a.paused {
				a.paused, a.nextAt = true, never
				w.record(checker.Line{What: checker.Pause, Of: a.name, PID: a.pid})
			}
		case "resume":
			if a.view != nil && a.paused {
				a.paused, a.nextAt = false, w.now
				w.record(checker.Line{What: checker.Resume, Of: a.name, PID: a.pid})
			}
		case "stop":
			a.paused, a.nextAt = true, never
		case "cont":
			if a.paused = false; a.view != nil {
				a.nextAt = w.now
			}
		case "keep":
			a.savedDisk = disk{a.disk.boot, slices.Clone(a.disk.known)}
		}
	}
}

func (w *simulation) deliver(a *daemon, ev membership.Event) {
	if a.view != nil {
		a.in.Push(delivery{at: w.now, from: -1, ev: ev})
		slices.SortFunc(a.in, func(x, y delivery) int { // a sorted slice is a heap
			return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.from, y.from), cmp.Compare(x.seq, y.seq))
		})
		if !a.paused {
			a.nextAt = w.now
		}
	}
}

func (w *simulation) start(a *daemon, e plan.Event, known []membership.Record) {
	if a.view != nil {
		return
	}
	switch e.State {
	case "none", "torn":
		a.disk = disk{}
	case "old":
		a.disk = a.savedDisk
	}
	w.lastPID++
	a.pid = w.lastPID
	a.leaving, a.hasLeft, a.paused = false, false, false
	boot := membership.NextBootNumber(a.disk.boot, wallBase+int64((w.now+e.Clock)/time.Second))
	a.disk.boot = boot
	a.runID = w.rng.Uint64() | 1
	s := membership.Settings{Name: a.name, Addr: a.addr, Zone: w.zone(a.n), Region: w.region(a.n), Version: "virtual", Boot: boot, RunID: a.runID,
		Instances: w.options.Instances, Balancers: w.options.Instances, KnownMembers: a.disk.known, ConfiguredBalancers: max(1, w.options.FileCount), Baseline: w.options.Plain,
		ProbeInterval: w.plan.Peers.ProbeInterval, ProbeTimeout: w.plan.Peers.ProbeTimeout, IndirectTimeout: w.plan.Peers.IndirectTimeout, MinSuspicion: w.plan.Peers.MinSuspicion, BytesPerSecond: w.plan.Peers.Bytes, RemoteBytesPerSecond: w.plan.Peers.FarBytes}
	if known != nil && w.now == 0 {
		a.runID = w.initialRunID(a.n)
		s.Boot, s.RunID, s.KnownMembers, s.TakesOver = wallBase, a.runID, known, true
	}
	for _, n := range w.plan.Seeds {
		s.Seeds = append(s.Seeds, w.daemons[n].addr)
	}
	v, err := membership.New(s, w.options.Seed^a.runID)
	if err != nil {
		panic("virtual: " + err.Error()) // the settings come from the model itself
	}
	a.view, a.nextAt = v, w.now
	a.in = a.in[:0]
	what := checker.Up
	if a.duplicate {
		what = checker.DuplicateStarted
	}
	w.record(checker.Line{What: what, Of: a.name, PID: a.pid, Balancers: w.options.Instances, Region: w.region(a.n)})
	w.record(checker.Line{By: a.name, PID: a.pid, What: checker.Start, RunID: formatRunID(a.runID), Boot: boot})
}

func (w *simulation) down(a *daemon, why string) {
	w.record(checker.Line{What: checker.Down, Of: a.name, PID: a.pid, Why: why})
	a.sent = a.view.Traffic()
	a.view, a.nextAt, a.paused, a.hasLeft, a.leaving = nil, never, false, false, false
	a.in = a.in[:0]
}

// heal restores the plan's default links.
func (w *simulation) heal(e plan.Event) { w.setRule(e, true) }

// link adds a rule that overrides the existing ones.
func (w *simulation) link(e plan.Event) { w.setRule(e, false) }

func (w *simulation) setRule(e plan.Event, isDefault bool) {
	set := func(list []int) map[int]bool {
		m := make(map[int]bool, len(list))
		for _, n := range list {
			m[n] = true
		}
		return m
	}
	r := rule{set(e.Who), set(e.To), e.Both, isDefault, e.Link}
	same := func(o rule) bool {
		if o.both != r.both || len(o.from) != len(r.from) || len(o.to) != len(r.to) {
			return false
		}
		for n := range r.from {
			if !o.from[n] {
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
	if w.options.Each != nil {
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
		if isDefault {
			l = w.plan.Usual(p[0], p[1])
		}
		w.record(checker.Line{What: checker.Link, From: w.daemons[p[0]].name, To: w.daemons[p[1]].name, Drop: l.Drop, Impaired: l.IsImpaired(), OneWayDelayUS: l.OneWayDelayMicros()})
	}
}

// recordTraffic records what each daemon sent in the last second.
func (w *simulation) recordTraffic() {
	if w.options.Each != nil {
		return
	}
	for _, a := range w.daemons {
		if a.view == nil || a.duplicate {
			continue
		}
		t := a.view.Traffic()
		w.record(checker.Line{What: checker.Sent, Of: a.name, PID: a.pid, Datagrams: int(t.Datagrams - a.sent.Datagrams), Far: a.remoteBytes,
			Bytes: int(t.Bytes - a.sent.Bytes), Streamed: int(t.ExchangeBytes - a.sent.ExchangeBytes)})
		a.sent, a.remoteBytes = t, 0
	}
}
