package decide

import (
	"time"

	"vetchhaven/decide/quota"
)

// Action is an output of Step. The agent must execute the actions at once, in the order given. This package
// returns no Cancel and no Probe, but agents should be able to execute them.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. With a Timeout of 0 the attempt may last until the client's
	// deadline.
	Send struct {
		Request   string
		Backend   string
		Zone      int // the backend's zone, as listed
		Cell      int // the backend's cell, as listed
		Timeout   time.Duration
		StartBy   time.Duration // the attempt must start by this time or end as NotSent; 0: no bound
		ReuseOnly bool          // use only a connection that is already open; without one the attempt ends as NotSent
	}
	// Cancel cancels an attempt. The attempt still ends with an Outcome.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer that promises no effect: the request was not executed, and the client may
	// safely retry.
	Refuse struct {
		Request    string
		RetryAfter time.Duration // 0: none
		Reason     Reason
		Limit      string // if Reason is NoLease
	}
	// Fail is a final answer after which the effect of the request is unknown: it may have been executed.
	Fail struct {
		Request string
		Reason  Reason
		Limit   string // if Reason is NoLease
	}
	// LeaseUsage reports to the lease client the state of the leases, and the demands that were rejected for
	// lack of a lease.
	LeaseUsage struct{ Usages []quota.Usage }
	// SetTimer requests a TimerFired event after the given time. Timers are never cancelled.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe checks a backend independently of any request.
	Probe struct{ Backend string }
	// SendToPeer sends a short message to another agent. It may arrive late or be lost.
	SendToPeer struct {
		To   int // that agent's number
		Data []byte
	}
	// Subscribe requests that discovery deliver changes of the endpoint list from now on.
	Subscribe struct{}
)

func (Send) action()       {}
func (Cancel) action()     {}
func (Refuse) action()     {}
func (Fail) action()       {}
func (SetTimer) action()   {}
func (Probe) action()      {}
func (SendToPeer) action() {}
func (Subscribe) action()  {}
func (LeaseUsage) action() {}
