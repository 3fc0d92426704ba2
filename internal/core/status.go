package core

import (
	"sync/atomic"
	"time"
)

// ClassCounts count the final answers to clients of one class since the start, and the attempts that were sent for
// them. The code that writes an answer, or an attempt's last byte, counts it.
type ClassCounts struct{ Answered, Deferred, Errored, Sends atomic.Int64 }

// CountAnswer counts a final answer. An answer whose client has disconnected is not counted.
func (c *ClassCounts) CountAnswer(a Answer) {
	switch {
	case a.ClientDisconnected:
	case a.Served != nil:
		c.Answered.Add(1)
	case a.Refused:
		c.Deferred.Add(1)
	default:
		c.Errored.Add(1)
	}
}

// ClassCounts returns the counts of a class.
func (l *Loop) ClassCounts(class int) *ClassCounts { return &l.classCounts[class] }

// Status is an agent's status for operators.
type Status struct {
	Classes []ClassStatus // in the order of the settings
	Open    int64         // open requests
	Listed  int           // number of listed servers
	Avoided int           // of these, those that are disabled or that the balancer avoids now
}

// ClassStatus is a class's ClassCounts at one time.
type ClassStatus struct {
	Name                               string
	Answered, Deferred, Errored, Sends int64
}

// Status returns the agent's status. The numbers of servers are from the loop's last reply, for which Status waits
// up to the timeout; the rest is current.
func (a *Agent) Status(timeout time.Duration) Status {
	status := Status{Open: a.protocol.OpenRequests()}
	for i, name := range a.cfg.Site.Classes {
		c := a.loop.ClassCounts(i)
		status.Classes = append(status.Classes, ClassStatus{
			Name:     name,
			Answered: c.Answered.Load(),
			Deferred: c.Deferred.Load(),
			Errored:  c.Errored.Load(),
			Sends:    c.Sends.Load(),
		})
	}
	a.loop.refreshBackendCounts(timeout)
	status.Listed = int(a.loop.backendCounts.listed.Load())
	status.Avoided = int(a.loop.backendCounts.avoided.Load())
	return status
}

// backendCounts are the numbers of servers that the balancer knew, and avoided, when it was last asked.
type backendCounts struct{ listed, avoided atomic.Int64 }

// backendCountsQuery asks the loop to update the backendCounts.
type backendCountsQuery struct{ done chan struct{} }

// refreshBackendCounts makes the loop update the counts, and waits for that up to the timeout. Any goroutine may
// call it.
func (l *Loop) refreshBackendCounts(timeout time.Duration) {
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	query := backendCountsQuery{make(chan struct{})}
	select {
	case l.events <- query:
	case <-l.stopped:
		return
	case <-limit.C:
		return
	}
	select {
	case <-query.done:
	case <-l.stopped:
	case <-limit.C:
	}
}

func (l *Loop) updateBackendCounts() {
	listed, avoided := l.balancer.BackendCounts()
	l.backendCounts.listed.Store(int64(listed))
	l.backendCounts.avoided.Store(int64(avoided))
}

// Totals count an agent's requests since its start, and its attempts.
type Totals struct {
	Requests          int64 // submitted or shed by the policy; without duplicates and those past their deadline
	Served            int64
	Refused           int64
	Failed            int64
	ClientDisconnects int64 `json:"Gone"` // Gone is the key that earlier builds use
	Attempts          int64
	Late              int64 // requests without an answer by the deadline
	Open              int64 // requests that are open now
}

// Totals returns the agent's totals. It may be called at any time.
func (a *Agent) Totals() Totals {
	t := &a.loop.totals
	return Totals{
		Requests:          t.requests.Load(),
		Served:            t.served.Load(),
		Refused:           t.refused.Load(),
		Failed:            t.failed.Load(),
		ClientDisconnects: t.clientDisconnects.Load(),
		Attempts:          t.attempts.Load(),
		Late:              t.late.Load(),
		Open:              a.protocol.OpenRequests(),
	}
}

// totals are the Totals as the loop counts them.
type totals struct{ requests, served, refused, failed, clientDisconnects, attempts, late atomic.Int64 }

// counts are the totals since the last summary.
type counts struct{ requests, served, refused, failed, clientDisconnects, attempts, late int }

// SetStepHook makes the loop call f with the agent's totals at each step, so that a fault test can make it panic. It
// must be called before Run.
func (a *Agent) SetStepHook(f func(Totals)) { a.loop.stepHook = func() { f(a.Totals()) } }
