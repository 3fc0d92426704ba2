package core

import (
	"time"

	"vetchhaven/decide"
)

// These events are posted to the loop. Others are declared near the code that posts them, such as List and
// disableServer; some events of package decide are posted too.
type (
	// requestArrived reports that a protocol has read a request.
	requestArrived struct{ *Request }
	// clientDisconnected reports that a request's client has disconnected, or does not need an answer any more.
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
	uploadCompleted struct{ *Attempt }
	// attemptEnded reports the outcome of an attempt, and the response if the result is OK.
	attemptEnded struct {
		*Attempt
		outcome  decide.Outcome
		response any
	}
)

// These events are posted by the loop's own timers and by the end of its context.
type (
	stopping struct{}
	// stopEnds is posted when a stopping agent has to answer the requests that are still open.
	stopEnds   struct{}
	summaryDue struct{}
)
