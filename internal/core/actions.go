package core

import (
	"container/heap"
	"time"

	"vetchhaven/decide"
)

// execute carries out one action of the balancer.
func (l *Loop) execute(action decide.Action, now time.Duration) {
	switch a := action.(type) {
	case decide.Send:
		l.startAttempt(a)
	case decide.Cancel:
		l.cancelAttempt(a)
	case decide.Refuse:
		l.refuse(a, now)
	case decide.Fail:
		l.fail(a)
	case decide.SetTimer:
		heap.Push(&l.timers, timer{now + a.After, a.Token})
	case decide.Probe:
		l.probe(a.Backend)
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

func (l *Loop) cancelAttempt(a decide.Cancel) {
	r := l.requests[a.Request]
	if r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && l.cfg.Settings.MayCancel {
		r.attempts[a.Attempt].cancel(ErrCancelled)
	}
}

// refuse gives a request the final answer that it was refused: it was not executed, so a retry is safe.
func (l *Loop) refuse(a decide.Refuse, now time.Duration) {
	r := l.requests[a.Request]
	if r == nil || r.done {
		return
	}
	l.noteEnding(r, "refused", a.Reason)
	l.counts.refused++
	l.totals.refused.Add(1)
	l.countSharedLimit(a.Limit)
	l.finish(r, Answer{
		Refused:    true,
		RetryAfter: a.RetryAfter,
		Limit:      a.Limit,
		Ejected:    l.ejectedServers(a.Reason, now),
	})
	l.forget(r)
}

// fail gives a request the final answer that it failed: it may have been executed.
func (l *Loop) fail(a decide.Fail) {
	r := l.requests[a.Request]
	if r == nil || r.done {
		return
	}
	l.noteEnding(r, "failed", a.Reason)
	l.counts.failed++
	l.totals.failed.Add(1)
	l.countSharedLimit(a.Limit)
	l.finish(r, Answer{TimedOut: r.timedOut, Limit: a.Limit})
	l.forget(r)
}

// probe starts a health check of a server, unless one is under way.
func (l *Loop) probe(server string) {
	if !l.cfg.Settings.MayProbe || l.probing[server] {
		return
	}
	l.probing[server] = true
	go l.containPanic(func() { l.post(l.protocol.Probe(server)) })
}
