package transport

import (
	"time"

	"vetchhaven/internal/peer/membership"
)

// SetLocalInfo changes what this member announces about itself. It does not wait: if the change is dropped, the next
// call announces it.
func (tr *Transport) SetLocalInfo(info membership.LocalInfo) { tr.offer(viewInput{event: info}) }

// Leave announces to the other members that this member leaves, and waits until this has been sent, up to a time limit.
func (tr *Transport) Leave(within time.Duration) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case tr.inputs <- viewInput{event: membership.Leave{}}:
	case <-timer.C:
		return
	case <-tr.done:
		return
	}
	select {
	case <-tr.leaveSent:
	case <-timer.C:
	case <-tr.done:
	}
}

// Forget removes a dead member permanently, on an operator's request. It returns the member's previous state, and
// whether the view has a record of the member.
func (tr *Transport) Forget(name string) (previous membership.State, known bool) {
	tr.do(func() {
		for _, r := range tr.view.Members() {
			if r.Name == name {
				previous = r.State
				known = true
			}
		}
	})
	if known && previous == membership.Dead {
		tr.post(viewInput{event: membership.ForgetMember{Name: name}})
	}
	return previous, known
}

// Suspend stops this member because another process is about to replace it, and returns the state for that process; it
// returns nil if the loop does not respond, and the member then continues to run.
func (tr *Transport) Suspend() *Saved {
	var s *Saved
	tr.do(func() {
		tr.frozen.Store(true)
		past := time.Unix(1, 0) // stops the readers: later messages are for the successor
		_ = tr.options.UDP.SetReadDeadline(past)
		_ = tr.options.TCP.SetDeadline(past)
		s = tr.handoffState()
	})
	return s
}

// handoffState returns the state from which a successor continues.
func (tr *Transport) handoffState() *Saved {
	s := tr.saved()
	own := tr.view.Local()
	s.TakesOver = true
	s.RunID = own.RunID
	s.Incarnation = own.Incarnation
	s.DatagramNumber = tr.view.DatagramNumber()
	s.UptimeMS = tr.view.Uptime().Milliseconds()
	s.Leases = tr.leases.handoffState(tr.now())
	s.Policy = tr.policy.handoffState()
	s.PolicyNanos = MonotonicNanos()
	return s
}

// Resume resumes a frozen member whose successor failed to start.
func (tr *Transport) Resume() {
	tr.do(func() {
		if !tr.frozen.Swap(false) {
			return
		}
		_ = tr.options.UDP.SetReadDeadline(time.Time{})
		_ = tr.options.TCP.SetDeadline(time.Time{})
		tr.mu.Lock()
		close(tr.thawed)
		tr.thawed = make(chan struct{})
		tr.mu.Unlock()
	})
	tr.post(viewInput{event: membership.TakeoverFailed{}})
}
