package core

import (
	"time"

	"vetchhaven/decide"
)

// Events that are posted to the loop, besides List and the balancer's own ProbeResult and PeerMessage.
type (
	// requestArrived reports that a protocol has read a request.
	requestArrived struct{ *Request }
	// clientDisconnected reports that a request's client has disconnected, or wants no answer.
	clientDisconnected struct{ *Request }
	// deadlineExceeded reports that a request's deadline and half of the answer grace have passed without an answer.
	deadlineExceeded struct{ *Request }
	// responseStarted reports that a part of an attempt's response is about to reach the client.
	responseStarted struct {
		*Attempt
		completed bool // the server has finished its work on the response
		latency   time.Duration
	}
	// uploadCompleted reports that a request's last byte has been written.
	uploadCompleted struct {
		*Attempt
		at time.Time
	}
	// attemptEnded reports the outcome of an attempt, and the response if the result is OK.
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
