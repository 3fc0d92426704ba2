package checker

import (
	"cmp"
	"slices"
	"time"
)

// expectation is something that must have come about by a time.
type expectation struct {
	claim    *Claim
	since    int64
	deadline int64
	observer *process
	subject  *process
	isMet    func(s *memberView) bool
	event    string
}

func (j *checker) dropExpectations(which func(*expectation) bool) {
	j.expectations = slices.DeleteFunc(j.expectations, which)
}

func (j *checker) expect(d *expectation) {
	i, _ := slices.BinarySearchFunc(j.expectations, d, func(a, b *expectation) int {
		if c := cmp.Compare(a.deadline, b.deadline); c != 0 {
			return c
		}
		return -1
	})
	j.expectations = slices.Insert(j.expectations, i, d)
}

func (j *checker) expectCrashKnown(p *process, by []*process, t int64) {
	lately := 0
	for _, d := range j.crashTimes {
		if t-d < int64(2*time.Second) {
			lately++
		}
	}
	if lately > max(1, len(by)/4) { // a storm: it may take longer, and is Settled's
		j.dropExpectations(func(d *expectation) bool { return d.claim == j.crashKnown })
		return
	}
	if !j.areLinksHealthy(t) || p.incarnation == "" || t-p.startedAt < int64(j.bounds.Join) {
		return
	}
	incarnation := p.incarnation
	for _, o := range by {
		if o.pausedAt > 0 || t-o.longPauseEndedAt < int64(j.bounds.Settle) || t-o.startedAt < int64(j.bounds.Join) {
			continue
		}
		j.expect(&expectation{claim: j.crashKnown, since: t, deadline: t + int64(j.bounds.Crash) + j.delayAllowance(o, p), observer: o, subject: p, event: p.name + " was killed",
			isMet: func(s *memberView) bool {
				return s.incarnation != incarnation || s.state == "dead" || s.state == "left"
			}})
	}
}

func (j *checker) expectJoinKnown(p *process, t int64) {
	if !j.areLinksHealthy(t) {
		return
	}
	for _, o := range j.linkedObservers(p) {
		if o.pausedAt > 0 {
			continue
		}
		j.expect(&expectation{claim: j.joinKnown, since: t, deadline: t + int64(j.bounds.Join) + j.delayAllowance(o, p), observer: o, subject: p, event: p.name + " started",
			isMet: func(s *memberView) bool {
				return p.incarnation != "" && s.incarnation == p.incarnation && s.state == "alive"
			}})
	}
}
