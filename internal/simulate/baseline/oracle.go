package baseline

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchhaven/internal/simulate/model"
)

// The oracle policies use the exact state of all servers, which a real agent can't observe: they are upper bounds for
// comparison. As the fleet's queues grow, both refuse requests at once, those of the least value first.
//
// SeesNow uses the present state and the work that all agents have just sent; it picks the server that finishes first.
// SeesLate uses the state with a delay of oracleDelay and, of the work in transit, only that of its own agent; it
// draws servers at random, weighted by their spare capacity.
const (
	SeesNow  = "sees-now"
	SeesLate = "sees-late"
)

const (
	oracleDelay = 150 * time.Millisecond
	// inTransit is how long sent work is added to the work of a server's state: after this time it has arrived.
	inTransit = 10 * time.Millisecond
	// minAdmitWait and maxAdmitWait are the mean waits, as a share of the latency objective, at which the class of
	// the least value and the class of the highest value are refused.
	minAdmitWait, maxAdmitWait = 0.08, 0.3
	// oracleSubset is the number of servers that an agent uses: the first ones in an order of its own. If each
	// agent connected to all servers, each server would have a connection of every agent and refuse further ones.
	oracleSubset = 24
	// waitScale is the wait, as a share of the latency objective, that makes a server about a third as likely to be
	// drawn as a server without a wait.
	waitScale = 1.0 / 40
)

type oracle struct {
	delay    time.Duration
	states   func(late time.Duration) []model.ServerState
	sentWork *sentWork
}

// sentWork holds the work that was sent and may not have arrived.
type sentWork struct{ byServer map[string][]sentLoad }

type sentLoad struct {
	at   time.Duration
	work float64
}

// since returns the work sent to a server since a time.
func (l *sentWork) since(id string, since time.Duration) (sum float64) {
	list := l.byServer[id]
	for len(list) > 0 && list[0].at < since {
		list = list[1:]
	}
	l.byServer[id] = list
	for _, x := range list {
		sum += x.work
	}
	return sum
}

// SetServerStates gives an oracle access to the exact states of the servers. states returns those before the delay late.
func (p *Policy) SetServerStates(states func(late time.Duration) []model.ServerState) {
	if p.oracle != nil {
		p.oracle.states = states
	}
}

// expectedWork returns the work of a request, from its hint or else from the latency objective of its class.
func (p *Policy) expectedWork(r *request) float64 {
	if r.Work > 0 {
		return float64(r.Work)
	}
	return float64(p.s.Classes[r.Class].Objective) / 5
}

// admits reports whether the fleet's mean wait is short enough for a request of this value.
func (p *Policy) admits(r *request) bool {
	if p.oracle.states == nil {
		return true
	}
	wait, rate := 0.0, 0.0
	for _, t := range p.oracle.states(p.oracle.delay) {
		if t.ErrorRate < 0.5 {
			wait += t.Pending
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
	part := minAdmitWait + (maxAdmitWait-minAdmitWait)*float64(rank)/float64(max(1, classes-1))
	return wait/rate < part*float64(mine.Objective)
}

// pickByState picks one of the candidates by the exact states of the servers.
func (p *Policy) pickByState(now time.Duration, r *request, candidates []*server) *server {
	e := p.oracle
	if e.states == nil {
		return p.pick(candidates)
	}
	work, aim := p.expectedWork(r), float64(p.s.Classes[r.Class].Objective)
	since := now - max(inTransit, e.delay)
	byID := make(map[string]*server, len(candidates))
	for _, s := range candidates {
		byID[s.ID] = s
	}
	states := slices.DeleteFunc(slices.Clone(e.states(e.delay)), func(t model.ServerState) bool {
		return byID[t.ID] == nil || t.ErrorRate >= 0.2
	})
	self := uint64(p.s.Self)
	slices.SortFunc(states, func(a, b model.ServerState) int {
		return cmp.Compare(model.Seed(self).Derive(model.HashName(a.ID)), model.Seed(self).Derive(model.HashName(b.ID)))
	})
	best, least, total := candidates[0], math.Inf(1), 0.0
	for _, t := range states[:min(oracleSubset, len(states))] {
		wait := (t.Pending + e.sentWork.since(t.ID, since)) / max(t.Rate, 1e-9)
		if t.Zone != p.s.Zone && p.s.CrossZonePrice > 0 {
			wait += aim / 20
		}
		if e.delay == 0 {
			if end := wait + work/max(t.SlotRate, 1e-9); end < least {
				best, least = byID[t.ID], end
			}
			continue
		}
		w := t.Rate * math.Exp(-wait/(waitScale*aim))
		if total += w; p.rng.Float64()*total < w {
			best = byID[t.ID]
		}
	}
	e.sentWork.byServer[best.ID] = append(e.sentWork.byServer[best.ID], sentLoad{now, work})
	return best
}
