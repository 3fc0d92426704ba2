package checker

import (
	"cmp"
	"slices"
	"time"
)

// expectation is a change that must appear in an observer's view of a subject before the deadline.
type expectation struct {
	claim    *Claim
	since    int64
	deadline int64
	observer *process
	subject  *process
	isMet    func(s *memberView) bool
	event    string
}

func (ck *checker) dropExpectations(which func(*expectation) bool) {
	ck.expectations = slices.DeleteFunc(ck.expectations, which)
}

func (ck *checker) expect(d *expectation) {
	i, _ := slices.BinarySearchFunc(ck.expectations, d, func(a, b *expectation) int {
		if c := cmp.Compare(a.deadline, b.deadline); c != 0 {
			return c
		}
		return -1
	})
	ck.expectations = slices.Insert(ck.expectations, i, d)
}

func (ck *checker) expectCrashKnown(p *process, by []*process, t int64) {
	lately := 0
	for _, d := range ck.crashTimes {
		if t-d < int64(2*time.Second) {
			lately++
		}
	}
	if lately > max(1, len(by)/4) { // with many crashes at once it may take longer; claim Settled covers this case
		ck.dropExpectations(func(d *expectation) bool { return d.claim == ck.crashKnown })
		return
	}
	if !ck.areLinksHealthy(t) || p.incarnation == "" || t-p.startedAt < int64(ck.bounds.Join) {
		return
	}
	incarnation := p.incarnation
	for _, o := range by {
		if o.pausedAt > 0 || t-o.longPauseEndedAt < int64(ck.bounds.Settle) || t-o.startedAt < int64(ck.bounds.Join) {
			continue
		}
		ck.expect(&expectation{claim: ck.crashKnown, since: t, deadline: t + int64(ck.bounds.Crash) + ck.delayAllowance(o, p), observer: o, subject: p, event: p.name + " was killed",
			isMet: func(s *memberView) bool {
				return s.incarnation != incarnation || s.state == "dead" || s.state == "left"
			}})
	}
}

func (ck *checker) expectJoinKnown(p *process, t int64) {
	if !ck.areLinksHealthy(t) {
		return
	}
	for _, o := range ck.linkedObservers(p) {
		if o.pausedAt > 0 {
			continue
		}
		ck.expect(&expectation{claim: ck.joinKnown, since: t, deadline: t + int64(ck.bounds.Join) + ck.delayAllowance(o, p), observer: o, subject: p, event: p.name + " started",
			isMet: func(s *memberView) bool {
				return p.incarnation != "" && s.incarnation == p.incarnation && s.state == "alive"
			}})
	}
}
