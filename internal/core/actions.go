package core

import (
	"container/heap"
	"time"
	"vetchhaven/decide"
)

// execute carries out one action of the module.
func (l *Loop) execute(a decide.Action, now time.Duration) {
	switch a := a.(type) {
	case decide.Send:
		l.startAttempt(a)
	case decide.Cancel:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && l.cfg.Settings.MayCancel {
			r.attempts[a.Attempt].cancel(ErrCancelled)
		}
	case decide.Refuse:
		if r := l.requests[a.Request]; r != nil && !r.done {
			l.requestEnded(r, "refused", a.Reason)
			l.counts.refused++
			l.totals.refused.Add(1)
			l.countSharedLimit(a.Limit)
			l.finish(r, Answer{Refused: true, RetryAfter: a.RetryAfter, Limit: a.Limit, Ejected: l.ejectedServers(a.Reason, now)})
			l.forget(r)
		}
	case decide.Fail:
		if r := l.requests[a.Request]; r != nil && !r.done {
			l.requestEnded(r, "failed", a.Reason)
			l.counts.failed++
			l.totals.failed.Add(1)
			l.countSharedLimit(a.Limit)
			l.finish(r, Answer{TimedOut: r.timedOut, Limit: a.Limit})
			l.forget(r)
		}
	case decide.SetTimer:
		heap.Push(&l.timers, timer{now + a.After, a.Token})
	case decide.Probe:
		if l.cfg.Settings.MayProbe && !l.probing[a.Backend] {
			l.probing[a.Backend] = true
			go l.containPanic(func() { l.post(l.protocol.Probe(a.Backend)) })
		}
	case decide.SendToPeer:
		if l.peers != nil {
			l.peers.send(a.To, a.Data)
		}
	case decide.Subscribe:
		l.requestWatch()
	case decide.LeaseUsage:
		if l.reportUsage != nil {
			l.reportUsage(a.Usages)
		}
	default:
		l.log.Error("unknown action", "action", a)
	}
}
