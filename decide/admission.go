package decide

import (
	"cmp"
	"math"
	"time"
)

// hasCapacity reports whether one more attempt may start.
//
// A balancer that admits by credit seldom has two requests to choose from, so each class leaves credit for
// the more valuable ones, by their share of arrivals. Now and then an attempt starts without credit: an agent
// that sends nothing learns of nothing that would bring it some.
func (b *Balancer) hasCapacity(request *openRequest) bool {
	if !b.admitsByCredit() {
		return float64(b.inFlight-b.inFlightUncounted) < b.inFlightLimit()
	}
	reserved := creditBurst * b.classes[request.class].meanLatency * b.higherValueShare(request)
	return b.admissionCredit > reserved || b.now-b.lastAttemptAt >= maxCreditlessGap
}

// higherValueShare is the share of the work asked for that is worth more than a request.
func (b *Balancer) higherValueShare(request *openRequest) float64 {
	higher, all := 0.0, 0.0
	for _, class := range b.classes {
		all += class.arrived * class.meanLatency
		if class.unitValue > b.classes[request.class].unitValue {
			higher += class.arrived * class.meanLatency
		}
	}
	return higher / max(all, 1)
}

// admitsByCredit reports whether an even share of the in-flight limit is too small to be counted.
//
// Departure from the design page: many agents that may each have one attempt in flight have too many
// together. There an agent admits by credit instead: each first try earns its own work times the square of
// target over present delay, and each attempt spends its work. All agents see the delay of one fleet, so that
// all admit the same part of what they get.
func (b *Balancer) admitsByCredit() bool {
	evenLimit := initialLimitPerBackend * float64(b.upCount)
	return b.settings.Balancers > 1 && evenLimit < minCountedShare*float64(b.settings.Balancers)
}

// sharesObservations reports whether agents that admit by credit exchange observations: what one of them saw,
// all know soon.
func (b *Balancer) sharesObservations() bool { return b.settings.Peers && b.admitsByCredit() }

// earnCredit adds what a first try earns.
func (b *Balancer) earnCredit(request *openRequest) {
	ratio := b.targetDelay() / max(b.meanDelay, 1e-9)
	earned := b.expectedLatency(request) * min(ratio*ratio, maxCreditPerRequest)
	ceiling := creditBurst * b.classes[request.class].meanLatency
	b.admissionCredit = min(b.admissionCredit+earned, ceiling)
}

// targetDelay is the mean latency, as a share of the objective, that a balancer which admits by credit keeps
// to.
//
// A backend that holds many requests works less well, and does not recover while as many agents go on sending
// to it, each of them seldom: clients give up all that it holds before it is served. No agent can see one
// backend fill up, so the mean of all has to stay near what an empty one takes. Where the work itself takes a
// good part of the objective, that is the measure: by what clients state, else by the answers of backends
// that had nothing else in flight. Until those come the target is the least, which leaves some backends idle.
func (b *Balancer) targetDelay() float64 {
	if b.sharesObservations() {
		return defaultTargetDelay
	}
	work, arrived := 0.0, 0.0
	for _, class := range b.classes {
		work += class.arrived * cmp.Or(class.meanWork/float64(class.Objective), class.unloadedLatency)
		arrived += class.arrived
	}
	return max(minTargetDelay, min(targetDelayFactor*work/max(arrived, 1e-9), maxTargetDelay))
}

// valueOfWork is what a unit of work spent on a class now adds to the operator's goal: its value against that
// of all that is asked for, and more for the class that is served worst.
func (b *Balancer) valueOfWork(index int) float64 {
	total := 0.0
	worst := -1
	worstShare := math.Inf(1)
	for i := range b.classes {
		class := &b.classes[i]
		total += class.arrived * class.Value * b.workPerRequest(class)
		share := (class.answeredInTime + 1) / (class.arrived + 1)
		if share < worstShare {
			worst = i
			worstShare = share
		}
	}
	class := &b.classes[index]
	goal := b.settings.GoalWhole + b.settings.GoalWindow
	value := goal * class.Value * b.workPerRequest(class) / class.meanLatency / max(total, 1e-9)
	if index == worst {
		value += b.settings.GoalClass / (max(class.arrived, 1) * class.meanLatency)
	}
	return value
}

// workPerRequest is the work that a request of a class counts for in the operator's goal.
func (b *Balancer) workPerRequest(class *classState) float64 {
	if b.settings.ByWork {
		return class.meanLatency
	}
	return 1
}

// inFlightLimit is the number of attempts that may be in flight now. It follows the list, where a backend in
// slow start counts by its share of capacity.
func (b *Balancer) inFlightLimit() float64 { return max(1, b.limitPerBackend*b.ownShare*b.capacity) }

// adjustLimit moves the limit on attempts in flight by a latency, as a share of the objective: down when the
// running mean passes the target, up while the limit binds.
//
// Departure from the design page: beyond the limit requests are queued, then refused, since a queue at the
// backends that outlasts the objectives serves nobody. The least limit, a few attempts per backend, keeps a
// fleet in use that is slow without a queue.
func (b *Balancer) adjustLimit(latencyShare float64) {
	// The mean spans what is in flight at once: over less, chance would lower a busy agent's limit.
	weight := min(meanWeight, 1/b.inFlightLimit())
	b.meanDelay += weight * (min(latencyShare, 2) - b.meanDelay)
	target, floor := defaultTargetDelay, minLimitPerBackend
	if b.settings.Balancers > b.upCount {
		// A busy one of many may have several times its share in flight, and so may others.
		target = min(defaultTargetDelay, b.targetDelay())
		floor = minLimitManyBalancers
	}
	binds := float64(b.inFlight-b.inFlightUncounted)+1 >= b.inFlightLimit()*0.9
	switch {
	case b.meanDelay > target && b.now-b.limitCutAt > time.Duration(b.classes[0].meanLatency):
		b.limitPerBackend = max(floor, b.limitPerBackend*limitDecrease)
		b.limitCutAt = b.now
	case b.meanDelay < target && binds:
		b.limitPerBackend += limitIncrease / b.inFlightLimit()
	}
}
