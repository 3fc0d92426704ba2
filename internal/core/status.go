package core

import (
	"sync/atomic"
	"time"
)

// ClassCounts holds the numbers of final answers for one class of requests since the start, and of attempts that were
// sent for them. They are counted where an answer, or the last byte of an attempt, is written.
type ClassCounts struct{ Answered, Deferred, Errored, Sends atomic.Int64 }

// CountAnswer counts a final answer. An answer whose client has disconnected is not counted.
func (c *ClassCounts) CountAnswer(a Answer) {
	switch {
	case a.ClientDisconnected:
	case a.Response != nil:
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

// Status returns the agent's status. The numbers of servers are those of the loop's last update, for which Status waits
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

// backendCounts holds the results of the last call of decide.Balancer.BackendCounts.
type backendCounts struct{ listed, avoided atomic.Int64 }

// backendCountsQuery is posted to make the loop update the backendCounts.
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

// Totals holds the numbers of an agent's requests and attempts since its start.
type Totals struct {
	Requests          int64 // submitted requests, also shed ones; without those rejected as duplicate or too late
	Served            int64
	Refused           int64
	Failed            int64
	ClientDisconnects int64 `json:"Gone"` // the key of earlier builds
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

// totals holds the counters of Totals, which the loop increments.
type totals struct{ requests, served, refused, failed, clientDisconnects, attempts, late atomic.Int64 }

// counts holds the same counters since the last summary.
type counts struct{ requests, served, refused, failed, clientDisconnects, attempts, late int }

// SetStepHook makes the loop call f with the agent's totals at each step, so that a fault test can cause a panic in the
// loop. It must be called before Run.
func (a *Agent) SetStepHook(f func(Totals)) { a.loop.stepHook = func() { f(a.Totals()) } }
