package baseline

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchhaven/internal/simulate/model"
)

// The two that see how all servers truly are, which no agent can: ceilings to compare with. Both admit by worth
// as the fleet's queues grow, and refuse at once.
//
// SeesNow sees it at once, and what all agents have just sent besides; it takes the server that is done first.
// SeesLate sees it seenLate late, and of what is on its way only its own; it draws servers by their spare capacity.
const (
	SeesNow  = "sees-now"
	SeesLate = "sees-late"
)

const (
	seenLate = 150 * time.Millisecond
	// onTheWay is for how long what was sent counts beside what is seen: by then it has arrived.
	onTheWay = 10 * time.Millisecond
	// admitLeast and admitMost are the mean wait, as a share of the aim, at which the class worth least and the
	// one worth most for its work is refused.
	admitLeast, admitMost = 0.08, 0.3
	// seersView is how many servers it keeps to: the first in an order of its own. Were each agent connected to
	// all, servers would hold as many connections as there are agents, and turn others away.
	seersView = 24
	// spread is the wait, as a share of the aim, that makes a server a third as likely.
	spread = 1.0 / 40
)

type eyes struct {
	late   time.Duration
	truth  func(late time.Duration) []model.Sight
	ledger *ledger
}

// ledger is what was sent and may not have arrived.
type ledger struct{ sent map[string][]load }

type load struct {
	at   time.Duration
	work float64
}

// of is the work sent to a server since a time.
func (l *ledger) of(id string, since time.Duration) (sum float64) {
	list := l.sent[id]
	for len(list) > 0 && list[0].at < since {
		list = list[1:]
	}
	l.sent[id] = list
	for _, x := range list {
		sum += x.work
	}
	return sum
}

// Sees gives it the truth.
func (p *Policy) Sees(truth func(late time.Duration) []model.Sight) {
	if p.eyes != nil {
		p.eyes.truth = truth
	}
}

// expects is the work that a request brings, as told, or as the aim of its class suggests.
func (p *Policy) expects(r *request) float64 {
	if r.Work > 0 {
		return float64(r.Work)
	}
	return float64(p.s.Classes[r.Class].Objective) / 5
}

// admits reports whether the fleet's mean wait leaves room for a request of this worth.
func (p *Policy) admits(r *request) bool {
	if p.eyes.truth == nil {
		return true
	}
	wait, rate := 0.0, 0.0
	for _, t := range p.eyes.truth(p.eyes.late) {
		if t.Errors < 0.5 {
			wait += t.Ahead
			rate += t.Rate
		}
	}
	if rate == 0 {
		return true
	}
	rank, classes := 0, 0
	mine := p.s.Classes[r.Class]
	for _, c := range p.s.Classes {
		if classes++; c.Value/float64(c.Objective) < mine.Value/float64(mine.Objective) {
			rank++
		}
	}
	part := admitLeast + (admitMost-admitLeast)*float64(rank)/float64(max(1, classes-1))
	return wait/rate < part*float64(mine.Objective)
}

// see chooses among those that may get a request.
func (p *Policy) see(now time.Duration, r *request, may []*server) *server {
	e := p.eyes
	if e.truth == nil {
		return p.pick(may)
	}
	work, aim := p.expects(r), float64(p.s.Classes[r.Class].Objective)
	since := now - max(onTheWay, e.late)
	byID := make(map[string]*server, len(may))
	for _, s := range may {
		byID[s.ID] = s
	}
	sights := slices.DeleteFunc(slices.Clone(e.truth(e.late)), func(t model.Sight) bool {
		return byID[t.ID] == nil || t.Errors >= 0.2
	})
	self := uint64(p.s.Self)
	slices.SortFunc(sights, func(a, b model.Sight) int {
		return cmp.Compare(model.Chance(self).Sub(model.Name(a.ID)), model.Chance(self).Sub(model.Name(b.ID)))
	})
	best, least, total := may[0], math.Inf(1), 0.0
	for _, t := range sights[:min(seersView, len(sights))] {
		wait := (t.Ahead + e.ledger.of(t.ID, since)) / max(t.Rate, 1e-9)
		if t.Zone != p.s.Zone && p.s.CrossZonePrice > 0 {
			wait += aim / 20
		}
		if e.late == 0 {
			if end := wait + work/max(t.Core, 1e-9); end < least {
				best, least = byID[t.ID], end
			}
			continue
		}
		w := t.Rate * math.Exp(-wait/(spread*aim))
		if total += w; p.rng.Float64()*total < w {
			best = byID[t.ID]
		}
	}
	e.ledger.sent[best.ID] = append(e.ledger.sent[best.ID], load{now, work})
	return best
}
