package decide

import (
	"time"

	"vetchhaven/decide/quota"
)

// Action is something that the agent must do now, in the order given. The present module sends no Cancel and
// no Probe; agents should execute them all the same.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Timeout 0 means until the client stops waiting.
	Send struct {
		Request   string
		Backend   string
		Timeout   time.Duration
		StartBy   time.Duration // it must not start later, and ends as NotSent then; 0: any time
		ReuseOnly bool          // only on a connection that is open; without one it ends as NotSent
	}
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: the request was not executed, and a new try does no harm.
	Refuse struct {
		Request    string
		RetryAfter time.Duration // 0: no advice
		Reason     Reason
		Limit      string // of NoLease
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		Request string
		Reason  Reason
		Limit   string // of NoLease
	}
	// LeaseUsage tells the lease client how the leases stand, and what was rejected for want of one.
	LeaseUsage struct{ Usages []quota.Usage }
	// SetTimer asks for a TimerFired after a while. Timers are never revoked.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe examines a backend outside any request.
	Probe struct{ Backend string }
	// SendToPeer sends a few bytes to another agent. They may come late or not at all.
	SendToPeer struct {
		To   int // that agent's number
		Data []byte
	}
	// Subscribe asks that list changes be delivered from now on.
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
