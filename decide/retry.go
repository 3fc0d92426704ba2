package decide

import (
	"math"
	"slices"
	"time"
)

// retry ends a failed attempt's request or schedules the next attempt.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryCost
	if res == TimedOut {
		cost = timeoutCost
	}
	unit := backoffUnit * float64(b.classes[r.class].Objective)
	at := b.now + time.Duration(b.rng.Float64()*min(math.Exp2(float64(r.retries)), backoffCeiling)*unit)
	possible := func(t *backend) bool { return t.State == Up && b.mayRepeat(r, t) }
	last := r.attempts[len(r.attempts)-1]
	switch {
	case res == NotSent && last.noDial:
		r.lack = b.book.ConnectionRefusedBy(b.now, b.use(r, last.b))
		b.finish(r, NoLease)
	case len(r.attempts) >= b.s.MaxAttempts, r.spent, res == NotSent:
		b.finish(r, NoAttemptLeft)
	case !slices.ContainsFunc(b.backends, possible):
		b.finish(r, NoBackend)
	case b.tokens < cost:
		b.finish(r, NoRetryToken)
	case at >= r.deadline:
		b.finish(r, DeadlineTooClose)
	default:
		b.tokens -= cost
		r.retries++
		r.waiting = true
		b.timer(r, at)
	}
}

// mayRepeat is the repeat rule: whether a (further) attempt of r may go to t.
func (b *Balancer) mayRepeat(r *request, t *backend) bool {
	if r.ended || r.stream || r.spent || r.only != "" && t.ID != r.only ||
		len(r.attempts) >= b.s.MaxAttempts || r.open > 0 && !b.s.Hedging {
		return false
	}
	c := &b.classes[r.class]
	if c.Effect == Idempotent || r.risky == 0 {
		return true
	}
	// A repeat may reach its backend a connect time-out after it is sent: the window must hold then.
	if c.Effect == NonIdempotent || b.now+b.s.ConnectTimeout-r.anchor.sent >= c.DedupWindow {
		return false
	}
	// The group is that of the first attempt's backend as it was then. One that has come to the group
	// since, whether it moved or is new, need not know the key.
	from := r.anchor
	return c.Scope == ScopeAll || c.Scope == ScopeZone && t.Zone == from.zone && t.zoned <= from.list ||
		c.Scope == ScopeCell && t.Cell == from.cell && t.celled <= from.list
}
