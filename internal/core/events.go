package core

import (
	"time"
	"vetchhaven/decide"
)

// What is posted to the loop, besides List and the module's own ProbeResult and PeerMessage.
type (
	requestArrived     struct{ *Request }
	clientDisconnected struct{ *Request }
	// deadlineExceeded says that a request's time and half of the grace are over and no answer is there.
	deadlineExceeded struct{ *Request }
	// responseStarted says that a part of an attempt's answer is about to reach the client.
	responseStarted struct {
		*Attempt
		completed bool
		latency   time.Duration
	}
	// uploadCompleted says that a request's last byte is out.
	uploadCompleted struct {
		*Attempt
		at time.Time
	}
	attemptEnded struct {
		*Attempt
		outcome decide.Outcome
		answer  any
	}
)

// What the loop tells itself.
type (
	stopping   struct{}
	summaryDue struct{}
)

// learnedQuery asks the loop for what its module has learnt.
type learnedQuery struct{ reply chan learnedState }

// learnedState is that, with the starts of the servers' processes as the list has them, ms, Unix.
type learnedState struct {
	decide.Learned
	starts map[string]int64
}

func (l *Loop) learned() learnedState {
	now := learnedState{l.balancer.Learned(), map[string]int64{}}
	for _, b := range now.Backends {
		now.starts[b.ID] = l.starts.listedMS(b.ID)
	}
	return now
}
