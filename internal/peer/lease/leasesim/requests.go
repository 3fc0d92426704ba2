package leasesim

import (
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
)

const (
	// maxArrivalWait is the longest wait for a request, after which the demand is evaluated again since it may have
	// changed.
	maxArrivalWait = 250 * time.Millisecond
	// minDemand is the smallest demand that is simulated, in requests a second.
	minDemand = 0.01
	// minRequestInterval is the shortest time between two requests for leases or tokens that rejections cause.
	minRequestInterval = 50 * time.Millisecond
)

// scheduleRequest schedules a client's next request.
func (w *world) scheduleRequest(m *member) {
	rate := w.options.Demand(m.number, w.now)
	gap := time.Duration(w.rng.ExpFloat64() / max(rate, minDemand) * float64(time.Second))
	w.after(min(gap, maxArrivalWait), func() {
		if gap <= maxArrivalWait {
			w.handleRequest(m)
		}
		w.scheduleRequest(m)
	})
}

// handleRequest admits a request, or rejects it.
func (w *world) handleRequest(m *member) {
	counted := w.now >= w.options.CountFrom
	if counted {
		w.result.Wanted++
		w.countAllowed()
	}
	if m.paused {
		return
	}
	attemptTime := min(w.exponential(w.options.MeanAttemptTime), maxAttemptFactor*w.options.MeanAttemptTime)
	release, ok := w.admit(m)
	if !ok {
		return
	}
	if counted {
		w.result.Started++
	}
	w.result.StartedByClient[m.number][w.now/countInterval]++
	m.recent = append(m.recent, w.now)
	if w.options.Kind.IsRate() {
		w.countStarted()
		return
	}
	w.startAttempt(m, attemptTime, release)
}

// countStarted counts an attempt that begins, if the limit is a rate.
func (w *world) countStarted() {
	for len(w.started) > 0 && w.now-w.started[0] >= time.Second {
		w.started = w.started[1:]
	}
	w.started = append(w.started, w.now)
	w.observeUse(len(w.started))
}

// startAttempt starts an attempt that counts in flight. If the client's clock is fast, the attempt ends earlier,
// because the client measures its duration by that clock.
func (w *world) startAttempt(m *member, attemptTime time.Duration, release func()) {
	w.inFlight++
	m.running++
	w.observeUse(w.inFlight)
	runID := m.runID
	w.after(time.Duration(float64(attemptTime)/max(m.clockRate, 1)), func() {
		w.inFlight--
		if m.runID == runID {
			m.running--
			release()
		}
	})
}

// admit reports whether the strategy admits a request, and returns a function to call at its end.
func (w *world) admit(m *member) (release func(), ok bool) {
	noop := func() {}
	switch w.options.Strategy {
	case StaticShares:
		return noop, w.usedBy(m) < lease.ServerShare(w.options.Total, m.number, w.options.Clients)
	case GossipedUse:
		return noop, w.gossipedUse(m) < w.options.Total
	case EscrowedTokens:
		if w.usedBy(m) < m.tokens {
			return noop, true
		}
		w.requestTokens(m)
		return nil, false
	}
	return w.admitByLease(m)
}

// gossipedUse returns the use of all members by the last reports that a member received.
func (w *world) gossipedUse(m *member) int {
	sum := w.usedBy(m)
	for n, used := range m.gossiped {
		if n != m.number {
			sum += used
		}
	}
	return sum
}

func (w *world) admitByLease(m *member) (release func(), ok bool) {
	now := m.clock(w.now)
	demand := &quota.Demand{Class: 0, FirstAttempt: true, EndsBy: now + maxAttemptFactor*w.options.MeanAttemptTime}
	if !m.hasLease(now, demand) {
		m.reportRejection(now)
		return nil, false
	}
	ledgers := m.ledgers
	reserved := make([]quota.Reserved, len(ledgers))
	for n, ledger := range ledgers {
		if len(ledgers) == 1 || ledger.RefusedBy(now, demand) == nil {
			reserved[n], _ = ledger.Reserve(now, demand)
		}
	}
	return func() {
		for n, r := range reserved {
			ledgers[n].Release(r.Reservations, true)
		}
	}, true
}

// hasLease reports whether a majority of the member's ledgers has a lease for a demand. There is one ledger, or with
// QuorumOfServers one for each server.
func (m *member) hasLease(now time.Duration, demand *quota.Demand) bool {
	leased := 0
	for _, ledger := range m.ledgers {
		if limit := ledger.RefusedBy(now, demand); limit != nil {
			ledger.CountRejection(now, limit)
		} else {
			leased++
		}
	}
	return leased >= len(m.ledgers)/2+1
}

// reportRejection reports a rejection to the clients, at most once per minRequestInterval.
func (m *member) reportRejection(now time.Duration) {
	if now < m.nextRequest {
		return
	}
	for n, client := range m.clients {
		if m.ledgers[n].NeedsReport() {
			client.ReportUsage(now, agentID, m.ledgers[n].Usages(now))
		}
	}
	m.nextRequest = now + minRequestInterval
}

// requestTokens requests half of the unused tokens of a random other member.
func (w *world) requestTokens(m *member) {
	if m.clock(w.now) < m.nextRequest {
		return
	}
	m.nextRequest = m.clock(w.now) + minRequestInterval
	from := w.rng.IntN(len(w.members))
	if from == m.number {
		return
	}
	w.send(m.number, from, 0, func() { w.passTokens(w.members[from], m) })
}

func (w *world) passTokens(from, to *member) {
	passed := (from.tokens - w.usedBy(from)) / 2
	if passed <= 0 {
		return
	}
	from.tokens -= passed
	runID := to.runID
	received := false
	w.send(from.number, to.number, 0, func() {
		if to.runID == runID && !received {
			received = true
			to.tokens += passed
		}
	})
}

// countAllowed adds the fraction of a request that would be admitted if dividing the limit had no cost. It follows
// from the demand of all members and the total.
func (w *world) countAllowed() {
	demand := 0.0
	for n := range w.members {
		demand += w.options.Demand(n, w.now)
	}
	capacity := float64(w.options.Total)
	if !w.options.Kind.IsRate() {
		capacity /= w.options.MeanAttemptTime.Seconds()
	}
	w.allowed += min(1, capacity/demand)
}

// observeUse compares the amount in use with the total, and records the result.
func (w *world) observeUse(used int) {
	w.result.MaxUsed = max(w.result.MaxUsed, used)
	if used > w.options.Total {
		w.result.Exceeded++
	}
	if 10*used >= 9*w.options.Total {
		w.result.NearTotal++
	}
}
