package transport

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
)

// judging drives the verdicts about servers. The carrier's loop owns it.
type judging struct {
	c      *Transport
	m      *ejection.Member // nil: nothing is shared
	names  time.Duration    // when the members were last told
	stale  bool             // the view has changed since
	lists  map[string]bool  // those that are read
	note   []byte           // that says so to others
	untold bool
	sent   uint64
	told   map[string]string // verdicts by server, as they were last written
}

// The members alive are looked up so often where the view has changed, and else so seldom: what others tell of their
// lists need not be a change that the view speaks of.
const (
	namesEvery = 250 * time.Millisecond
	namesRest  = 5 * time.Second
)

func newJudging(c *Transport) (*judging, error) {
	j := &judging{c: c, names: -time.Hour, lists: map[string]bool{}}
	if c.options.Ejection == nil {
		return j, nil
	}
	s := *c.options.Ejection
	s.Name, s.RunID = c.options.Membership.Name, rand.Uint64()|1
	var err error
	if j.m, err = ejection.New(s, rand.Uint64()); err != nil {
		return nil, err
	}
	if before := c.options.Previous; before != nil && before.judging.m != nil { // lists and evidence go on
		j.m, j.lists, j.note, j.untold = before.judging.m, before.judging.lists, before.judging.note, true
	}
	return j, nil
}

func (j *judging) next() time.Duration {
	if j.m == nil {
		return math.MaxInt64
	}
	return j.m.Next()
}

func (j *judging) due(now time.Duration) {
	if j.m != nil && now >= j.m.Next() {
		j.step(now)
	}
}

// take takes what came from the daemon or from another member. It reports whether that was about verdicts.
func (j *judging) take(now time.Duration, x any) bool {
	switch x := x.(type) {
	case *sharedPacket:
		if x.Ejection == nil {
			return false
		}
		j.step(now, ejection.Received{From: x.From, Message: x.Ejection})
	case ejection.Event:
		j.step(now, x)
	default:
		return false
	}
	return true
}

func (j *judging) step(now time.Duration, events ...ejection.Event) {
	if j.m == nil || j.c.frozen.Load() {
		return
	}
	if now-j.names >= namesRest || j.stale && now-j.names >= namesEvery {
		j.names, j.stale = now, false
		events = append([]ejection.Event{membersChanged(j.c.view.Members())}, events...)
	}
	for _, e := range events {
		if l, ok := e.(ejection.ListUpdated); ok && !j.lists[l.Source] {
			j.lists[l.Source] = true
			j.note = ejection.NewSubscriptionFilter(slices.Sorted(maps.Keys(j.lists)))
			j.untold = true
		}
	}
	for _, a := range j.m.Step(now, events...) {
		switch a := a.(type) {
		case ejection.Send:
			j.sent++
			j.c.sharing.send(a.To, &sharedPacket{Ejection: a.Message})
		case ejection.EjectionsChanged:
			j.write(a.Ejections)
			j.c.options.EjectionsChanged(a.Ejections, j.c.base)
		case ejection.Log:
			j.c.log.Info("fleet: " + a.Text)
		}
	}
}

// lostFor is how long the place of a member that is not heard any more counts: longer than a cut lasts that is mended.
const lostFor = time.Hour

// membersChanged are those that are alive, as far as is known, with what their records tell.
func membersChanged(all []membership.Record) ejection.MembersChanged {
	var e ejection.MembersChanged
	for _, r := range all {
		p := ejection.Peer{Region: r.Region, Zone: r.Zone, Subscriptions: r.Metadata}
		switch {
		case r.State == membership.Alive || r.State == membership.Suspect:
			e.Names, e.Peers = append(e.Names, r.Name), append(e.Peers, p)
		case r.State == membership.Dead && time.Duration(r.AgeSeconds)*time.Second < lostFor:
			e.Unreachable = append(e.Unreachable, p)
		}
	}
	return e
}

// write writes what has changed, for drills.
func (j *judging) write(all []ejection.Ejection) {
	now := map[string]string{}
	for _, v := range all {
		state := "out"
		if v.Draining {
			state = "drain"
		}
		now[v.Server] = state
	}
	for _, server := range slices.Sorted(maps.Keys(now)) {
		if j.told[server] != now[server] {
			j.c.events.put(eventLine{Kind: "verdict", Server: server, State: now[server]})
		}
	}
	for _, server := range slices.Sorted(maps.Keys(j.told)) {
		if now[server] == "" {
			j.c.events.put(eventLine{Kind: "verdict", Server: server, State: "free"})
		}
	}
	j.told = now
}

// ListUpdated tells what a list says now, and Seen what the daemon's agents saw of servers. Neither waits long.
func (c *Transport) ListUpdated(l ejection.ListUpdated) { c.post(input{shared: l}) }

// OutcomesObserved passes sights on. It does not wait: under a flood some are lost.
func (c *Transport) OutcomesObserved(all []ejection.OutcomeSample) {
	c.share(ejection.OutcomesObserved{Samples: all})
}

// EjectionStatus is what a member holds of servers.
type EjectionStatus struct {
	Name    string                  `json:"name"`
	Servers []ejection.ServerStatus `json:"servers"`
	Counts  ejection.Counters       `json:"counts"`
	Packets uint64                  `json:"packets"`
}

// EjectionStatus is what this member holds of servers. ok is false where nothing is shared, or the loop does not answer.
func (c *Transport) EjectionStatus() (s EjectionStatus, ok bool) {
	if c.options.Ejection == nil {
		return s, false
	}
	ok = c.do(func() {
		s = EjectionStatus{Name: c.options.Membership.Name, Servers: c.judging.m.Status(), Counts: c.judging.m.Counters(), Packets: c.judging.sent}
	})
	return s, ok
}
