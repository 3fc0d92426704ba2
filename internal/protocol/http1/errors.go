package http1

import (
	"errors"
	"fmt"
	"net/http"

	"vetchhaven/internal/core"
)

// requestError is an answer to a request that can't be taken. Its status says 'failed', never
// that another try is harmless.
type requestError struct {
	status int // 0: nobody is there to read an answer
	text   string
	allow  string
}

func badRequest(text string) *requestError {
	return &requestError{status: http.StatusBadRequest, text: text}
}

// bodyFault is the answer to a client whose body can't be taken.
func bodyFault(err error) *requestError {
	switch {
	case errors.Is(err, errTooLong):
		return &requestError{status: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is larger than %d bytes", maxBody)}
	case errors.Is(err, errClientTooSlow):
		return &requestError{status: http.StatusRequestTimeout, text: "the body does not come"}
	}
	return badRequest("the body can't be read")
}

var (
	errConnectionEnded = errors.New("the connection ended before its answer")
)

// errRequestEnded is of an attempt whose request has its answer, or another one's.
var errRequestEnded = errors.New("the request is over")

// errClientFault is of an attempt that its own client has ended.
var errClientFault = errors.New("the client is gone, or can't be understood")

// sendRefusedError is of a write that the request's guard did not admit.
type sendRefusedError struct {
	reason         core.SendRefusal
	nothingWritten bool // nothing of the request was written
	reusable       bool // the connection is as it was
}

func isSendRefused(err error, why core.SendRefusal) bool {
	var refused *sendRefusedError
	return errors.As(err, &refused) && refused.reason == why
}

func (e *sendRefusedError) Error() string { return "not sent: " + e.reason.String() }
