package decide

import (
	"math"
	"time"
)

// startAttempt sends a request to a backend. No other function starts an attempt, and this is the last check
// of the rules. pick has already excluded backends that are draining or may not get the request, so that
// normally only the check of the deadline can fail here.
func (b *Balancer) startAttempt(request *openRequest, backend *endpoint) {
	mayStart := backend.State == Up && b.now >= backend.drainedUntil && b.mayAttempt(request, backend)
	switch {
	case !mayStart:
		b.finish(request, NoBackend)
		return
	case b.now >= request.deadline:
		b.finish(request, DeadlineTooClose)
		return
	}
	attempt := &openAttempt{
		backend:         backend,
		listVersion:     b.listVersion,
		zone:            backend.Zone,
		cell:            backend.Cell,
		kind:            backend.Kind,
		sentAt:          b.now,
		expectedLatency: max(b.expectedLatency(request), 1),
		open:            true,
	}
	attempt.workUnits = attempt.expectedLatency / b.classes[0].meanLatency
	reserved, ok := b.ledger.Reserve(b.now, b.demandOf(request, backend))
	if !ok {
		b.finish(request, NoLease)
		return
	}
	attempt.reservations = reserved.Reservations
	attempt.reuseOnly = !reserved.MayConnect
	startBy := b.addAttempt(request, attempt, reserved.StartBy)
	b.chargeCredit(attempt)
	if !request.uploading {
		b.beginWork(request, attempt)
	}
	backend.slowStartBudget -= attempt.workUnits // has an effect only during slow start
	send := Send{
		Request:   request.id,
		Backend:   backend.ID,
		Zone:      backend.Zone,
		Cell:      backend.Cell,
		ReuseOnly: attempt.reuseOnly,
	}
	if startBy < math.MaxInt64 { // math.MaxInt64 means that there is no bound
		send.StartBy = startBy
	}
	b.actions = append(b.actions, send)
}

// addAttempt adds an attempt to its request, and returns the time by which the attempt must start: startBy,
// or earlier for a repeat of a keyed request, which must start within the deduplication window of the first
// attempt that may have run.
func (b *Balancer) addAttempt(
	request *openRequest, attempt *openAttempt, startBy time.Duration,
) time.Duration {
	request.attempts = append(request.attempts, attempt)
	request.openCount++
	b.countClientAttempt(request.client, 1)
	request.mayHaveRun++
	if request.firstMayHaveRun == nil {
		request.firstMayHaveRun = attempt
		return startBy
	}
	class := &b.classes[request.class]
	if class.Effect == Keyed {
		startBy = min(startBy, request.firstMayHaveRun.sentAt+class.DedupWindow-maxPause)
	}
	return startBy
}

// chargeCredit subtracts an attempt's work from the credit, and records the gap since the last attempt. The
// credit does not fall below the negative of that work, so that attempts without credit do not add up to a
// larger debt.
//
// The gap is measured between attempts instead of requests. An agent that refuses requests gets more of them,
// because clients retry. If these counted, all agents would use larger subsets and connect to more backends,
// whose connection tables would become full.
func (b *Balancer) chargeCredit(attempt *openAttempt) {
	b.admissionCredit = max(b.admissionCredit-attempt.expectedLatency, -attempt.expectedLatency)
	if b.lastAttemptAt > 0 {
		b.meanAttemptGap = updateMean(b.meanAttemptGap, float64(b.now-b.lastAttemptAt))
	}
	b.lastAttemptAt = b.now
}

// findOpenAttempt returns attempt n of a request, with the request, or nil if there is no such attempt or it
// has ended.
func (b *Balancer) findOpenAttempt(id string, n int) (*openRequest, *openAttempt) {
	request := b.requests[id]
	if request == nil || n < 0 || n >= len(request.attempts) || !request.attempts[n].open {
		return nil, nil
	}
	return request, request.attempts[n]
}

// closeAttempt ends an attempt and releases what it reserved.
func (b *Balancer) closeAttempt(request *openRequest, attempt *openAttempt, e Outcome) {
	attempt.open = false
	request.notReplayable = request.notReplayable || e.NotReplayable
	b.ledger.Release(attempt.reservations, e.Dialed)
	request.openCount--
	b.countClientAttempt(request.client, -1)
	b.endWork(attempt)
	if !e.Result.NeverRan() {
		return
	}
	request.mayHaveRun--
	if request.mayHaveRun == 0 {
		request.firstMayHaveRun = nil
	}
}

// countClientAttempt adds to the number of a client's attempts that have not ended.
func (b *Balancer) countClientAttempt(client uint64, change int) {
	if client == 0 {
		return
	}
	if b.clientAttempts[client] += change; b.clientAttempts[client] == 0 {
		delete(b.clientAttempts, client)
	}
}

// beginWork counts an attempt as in flight. It is called when the request is sent, or once the last byte of
// an upload has been sent.
func (b *Balancer) beginWork(request *openRequest, attempt *openAttempt) {
	attempt.countsInFlight = true
	attempt.sentAt = b.now
	attempt.backend.inFlight = append(attempt.backend.inFlight, attempt)
	b.inFlight++
	if b.admitsByCredit() {
		objective := float64(b.classes[request.class].Objective)
		overdueAfter := max(overdueObjective*objective, overdueLatencies*attempt.expectedLatency)
		overdueAfter = min(objective, overdueAfter)
		b.overdueTimers[b.setTimer(time.Duration(overdueAfter))] = attempt
	}
}

// endWork stops counting an attempt as in flight.
func (b *Balancer) endWork(attempt *openAttempt) {
	if !attempt.countsInFlight {
		return
	}
	attempt.countsInFlight = false
	b.inFlight--
	attempt.backend.inFlight = removeFirst(attempt.backend.inFlight, attempt)
}
