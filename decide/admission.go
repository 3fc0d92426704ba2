package decide

import (
	"cmp"
	"math"
	"time"
)

// hasCapacity reports whether one more attempt may start.
//
// A balancer that admits by credit seldom has two requests to choose from. Therefore each class leaves some
// credit for the classes of higher value, in proportion to their share of the requested work. After a gap of
// maxCreditlessGap one attempt starts without credit, because an agent that sends no attempts gets no answers
// that would show a lower delay.
func (b *Balancer) hasCapacity(request *openRequest) bool {
	if !b.admitsByCredit() {
		return float64(b.inFlight-b.inFlightUncounted) < b.inFlightLimit()
	}
	reserved := creditBurst * b.classes[request.class].meanLatency * b.higherValueShare(request)
	return b.admissionCredit > reserved || b.now-b.lastAttemptAt >= maxCreditlessGap
}

// higherValueShare returns the share of the requested work that belongs to classes whose unit of work has a
// higher value than that of a request.
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

// admitsByCredit reports whether an even share of the in-flight limit is too small to bound this agent's
// attempts in flight.
//
// Departure from the design page: if each of many agents may have one attempt in flight, all of them together
// have too many. In that case an agent admits by credit instead. Each first try earns credit: its own work
// times the square of the ratio of target delay to current delay. Each attempt costs its work. All agents
// observe the delay of the same fleet, so that all of them admit the same share of their requests.
func (b *Balancer) admitsByCredit() bool {
	evenLimit := initialLimitPerBackend * float64(b.upCount)
	return b.settings.Balancers > 1 && evenLimit < minCountedShare*float64(b.settings.Balancers)
}

// sharesObservations reports whether agents exchange observations of backends. They do if they admit by
// credit and may send messages to peers; an observation by one agent then soon reaches all others.
func (b *Balancer) sharesObservations() bool { return b.settings.Peers && b.admitsByCredit() }

// earnCredit adds the credit that a first try earns.
func (b *Balancer) earnCredit(request *openRequest) {
	ratio := b.targetDelay() / max(b.meanDelay, 1e-9)
	earned := b.expectedLatency(request) * min(ratio*ratio, maxCreditPerRequest)
	ceiling := creditBurst * b.classes[request.class].meanLatency
	b.admissionCredit = min(b.admissionCredit+earned, ceiling)
}

// targetDelay returns the mean latency, as a share of the objective, that a balancer which admits by credit
// aims for.
//
// A backend that holds many requests works less efficiently. It does not recover while many agents continue
// to send to it, even if each of them sends few requests, because clients stop waiting for the requests that
// it holds before these are served. No agent can detect that one backend fills up, so the mean delay of all
// backends must stay close to the latency of an idle one. If the work itself takes a large share of the
// objective, the target follows the work: as given in requests, or else as observed at backends that had no
// other request in flight. Until there are such answers the target is minTargetDelay, which leaves some
// backends idle.
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

// valueOfWork returns the contribution of a unit of work for a class to the operator's goal at present: its
// value relative to the value of all requests, plus an amount for the class with the lowest share of answers
// in time.
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
	goal := b.settings.GoalOverall + b.settings.GoalWorstWindow
	value := goal * class.Value * b.workPerRequest(class) / class.meanLatency / max(total, 1e-9)
	if index == worst {
		value += b.settings.GoalWorstClass / (max(class.arrived, 1) * class.meanLatency)
	}
	return value
}

// workPerRequest returns the factor with which the value of a class applies to a request: its work if values
// count per unit of work, otherwise 1.
func (b *Balancer) workPerRequest(class *classState) float64 {
	if b.settings.ByWork {
		return class.meanLatency
	}
	return 1
}

// inFlightLimit returns the number of this agent's attempts that may be in flight now. It is proportional to
// the capacity of the listed backends, where a backend in slow start counts with its share of capacity.
func (b *Balancer) inFlightLimit() float64 { return max(1, b.limitPerBackend*b.ownShare*b.capacity) }

// adjustLimit adjusts the limit on attempts in flight to an observed latency, given as a share of the
// objective. The limit falls when the running mean exceeds the target, and rises while the mean is below the
// target and the limit is binding.
//
// Departure from the design page: requests beyond the limit are queued and then refused, because answers are
// useless if the queue at the backends takes longer than the objectives. The lowest limit is a few attempts
// per backend, so that a fleet that is slow without a queue remains in use.
func (b *Balancer) adjustLimit(latencyShare float64) {
	// The mean covers as many answers as may be in flight at once. Over fewer answers, random variation would
	// lower the limit of a busy agent.
	weight := min(meanWeight, 1/b.inFlightLimit())
	b.meanDelay += weight * (min(latencyShare, 2) - b.meanDelay)
	target, floor := defaultTargetDelay, minLimitPerBackend
	if b.settings.Balancers > b.upCount {
		// A busy agent may have several times its share in flight, and several agents may be busy at once.
		// Therefore the target is at most defaultTargetDelay, and the floor is lower.
		target = min(defaultTargetDelay, b.targetDelay())
		floor = minLimitManyBalancers
	}
	isBinding := float64(b.inFlight-b.inFlightUncounted)+1 >= b.inFlightLimit()*0.9
	switch {
	case b.meanDelay > target && b.now-b.limitCutAt > time.Duration(b.classes[0].meanLatency):
		b.limitPerBackend = max(floor, b.limitPerBackend*limitDecrease)
		b.limitCutAt = b.now
	case b.meanDelay < target && isBinding:
		b.limitPerBackend += limitIncrease / b.inFlightLimit()
	}
}
