package core

import (
	"time"

	"vetchhaven/decide"
)

// Events that are posted to the loop, besides List and the balancer's own ProbeResult and PeerMessage.
type (
	// requestArrived says that a protocol has read a request.
	requestArrived struct{ *Request }
	// clientDisconnected says that a request's client has disconnected, or wants no answer.
	clientDisconnected struct{ *Request }
	// deadlineExceeded says that a request's deadline and half of the grace have passed without an answer.
	deadlineExceeded struct{ *Request }
	// responseStarted says that a part of an attempt's response is about to reach the client.
	responseStarted struct {
		*Attempt
		completed bool // the server is done with it
		latency   time.Duration
	}
	// uploadCompleted says that a request's last byte has been written.
	uploadCompleted struct {
		*Attempt
		at time.Time
	}
	// attemptEnded is the outcome of an attempt, with the response of an OK.
	attemptEnded struct {
		*Attempt
		outcome  decide.Outcome
		response any
	}
)

// Events that the loop posts to itself.
type (
	stopping   struct{}
	summaryDue struct{}
)
