package decide

import (
	"math"
	"slices"
	"time"
)

// retry schedules the next attempt of a request after a failed one, with exponential backoff and full jitter.
// If the request may not be retried, or there are not enough retry tokens, attempts or time, it ends the
// request.
func (b *Balancer) retry(request *openRequest, result Result) {
	cost := retryCost
	if result == TimedOut {
		cost = retryCostAfterTimeout
	}
	retryAt := b.now + b.backoff(request)
	last := request.attempts[len(request.attempts)-1]
	switch {
	case result == NotSent && last.reuseOnly:
		request.lackingLimit = b.ledger.CountConnectionRejection(b.now, b.demandOf(request, last.backend))
		b.finish(request, NoLease)
	case len(request.attempts) >= b.settings.MaxAttempts, request.notReplayable, result == NotSent:
		b.finish(request, NoAttemptLeft)
	case !b.anyMayRetry(request):
		b.finish(request, NoBackend)
	case b.retryTokens < cost:
		b.finish(request, NoRetryToken)
	case retryAt >= request.deadline:
		b.finish(request, DeadlineTooClose)
	default:
		b.retryTokens -= cost
		request.retries++
		request.backingOff = true
		b.setRequestTimer(request, retryAt)
	}
}

// backoff returns the wait before the next attempt of a request.
func (b *Balancer) backoff(request *openRequest) time.Duration {
	unit := backoffUnit * float64(b.classes[request.class].Objective)
	ceiling := min(math.Exp2(float64(request.retries)), backoffCeiling)
	return time.Duration(b.rng.Float64() * ceiling * unit)
}

// anyMayRetry reports whether any backend that is up may get a further attempt of a request.
func (b *Balancer) anyMayRetry(request *openRequest) bool {
	return slices.ContainsFunc(b.backends, func(backend *endpoint) bool {
		return backend.State == Up && b.mayAttempt(request, backend)
	})
}

// mayAttempt enforces rule 2 of the package comment, no duplicate execution: it reports whether an attempt of
// a request, the first or a further one, may be sent to a backend.
func (b *Balancer) mayAttempt(request *openRequest, backend *endpoint) bool {
	if request.ended || request.responseStarted || request.notReplayable {
		return false
	}
	if request.onlyBackend != "" && backend.ID != request.onlyBackend {
		return false
	}
	if len(request.attempts) >= b.settings.MaxAttempts || request.openCount > 0 && !b.settings.Hedging {
		return false
	}
	class := &b.classes[request.class]
	if class.Effect == Idempotent || request.mayHaveRun == 0 {
		return true
	}
	if class.Effect == NonIdempotent {
		return false
	}
	return b.inDedupWindow(request, class) && inDedupScope(request, class, backend)
}

// inDedupWindow reports whether backends still drop a repeat that is sent now. The repeat may reach its
// backend as late as ConnectTimeout after it is sent, and the window must not have ended by then.
func (b *Balancer) inDedupWindow(request *openRequest, class *classState) bool {
	return b.now+b.settings.ConnectTimeout-request.firstMayHaveRun.sentAt < class.DedupWindow
}

// inDedupScope reports whether a backend drops repeats of a keyed request. The scope is the zone or cell of
// the backend of the first attempt that may have run, as listed when that was sent. A backend that has joined
// the scope since, because it moved or is new, may not have received the key.
//
// Backends whose zones or cells are unknown are not known to share one. If the scope is unknown, the only
// backend that is certain to be in it is that of the first attempt.
func inDedupScope(request *openRequest, class *classState, backend *endpoint) bool {
	first := request.firstMayHaveRun
	isListedIn := false
	switch class.Scope {
	case ScopeAll:
		return true
	case ScopeZone:
		isListedIn = backend.Zone == first.zone && backend.zoneSetAt <= first.listVersion
	case ScopeCell:
		isListedIn = backend.Cell == first.cell && backend.cellSetAt <= first.listVersion
	}
	return isListedIn && (!first.hasUnknownScope(class) || isSameProcess(first, backend))
}

// hasUnknownScope reports whether it is unknown which backends drop a repeat of a class's request after this
// attempt, because the list did not contain the zone or cell of its backend when it was sent.
func (a *openAttempt) hasUnknownScope(class *classState) bool {
	switch class.Scope {
	case ScopeZone:
		return a.zone == Unknown
	case ScopeCell:
		return a.cell == Unknown
	}
	return false
}

// isSameProcess reports whether a backend is that of an earlier attempt, and the list has shown no change of
// its process or its address since that attempt was sent.
func isSameProcess(attempt *openAttempt, backend *endpoint) bool {
	return backend == attempt.backend &&
		backend.processSetAt <= attempt.listVersion &&
		backend.addrSetAt <= attempt.listVersion
}
