package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// upload is a request's body that is streamed from its client to one server. One attempt consumes it: bytes that were
// sent can't be sent again.
type upload struct {
	body *requestBody
	// complete is closed when the last byte has been read: the connection may then go on to its next request.
	complete chan struct{}
	state    atomic.Int32                 // an uploadState
	fault    atomic.Pointer[requestError] // why the client's body can't be read; nil: no fault

	mu       sync.Mutex // held by the attempt that reads the body
	consumed bool       // an attempt has begun to read the body, or no attempt may begin any more
}

// uploadState is the state of an upload. It changes once, from uploadReceiving.
type uploadState = int32

const (
	uploadReceiving uploadState = iota
	uploadReceived              // the last byte was read
	uploadAbandoned             // the request got its final answer first
)

// disconnectCheckInterval is how often the agent checks whether a client has disconnected while its upload waits for a
// server: no goroutine reads the connection then. A smaller value costs system calls more often, a larger one occupies
// a server for longer with the request of a client that has disconnected.
const disconnectCheckInterval = 100 * time.Millisecond

// wait waits until the connection may go on to its next request, and then reports true. It reports false if the
// request gets its final answer before the whole body was read.
func (u *upload) wait(r *core.Request, l *core.Loop, client net.Conn) bool {
	check := time.NewTicker(disconnectCheckInterval)
	defer check.Stop()
	for waiting := true; waiting; {
		select {
		case <-u.complete:
			return true // the attempt reads no more, though it may not have written the last piece yet
		case <-check.C:
			if core.Disconnected(client) {
				l.ClientDisconnected(r)
			}
			continue
		case <-r.Ended():
		case <-l.Stopped():
		}
		waiting = false
	}
	u.mu.Lock() // an attempt that is still reading ends soon
	defer u.mu.Unlock()
	u.consumed = true // no attempt may begin to read the body from now on
	return u.state.Load() == uploadReceived
}

// clientIsWriting reports whether the client has certainly not written the last byte yet.
func (u *upload) clientIsWriting() bool {
	return u.state.Load() == uploadReceiving && u.body.clientIsWriting()
}

// sendTo passes the rest of the body to write, in pieces as they arrive. clientFault reports whether the client caused
// the error.
func (u *upload) sendTo(ctx context.Context, owner attemptOwner, write func([]byte) error) (clientFault bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.consumed {
		return false, errors.New("an attempt has consumed the upload's body already")
	}
	u.consumed = true
	buf := newPiece(u.body.client.frontend.bodyBudget)
	defer buf.release()
	for {
		n, err := u.body.Read(buf.space())
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			u.fault.Store(bodyFault(err))
			return true, err
		}
		select {
		case <-owner.Ended(): // no further byte is sent for a request that has its final answer
			return false, errRequestEnded
		case <-ctx.Done():
			return false, context.Cause(ctx)
		default:
		}
		text := buf.space()[:n]
		if u.body.chunks != nil {
			text = buf.chunk(n, last)
		} else if u.body.remaining.Load() == 0 {
			last = true
		}
		if last {
			if clientFault, err := u.finishReceiving(owner); err != nil {
				return clientFault, err
			}
		}
		if len(text) > 0 {
			if err := write(text); err != nil {
				return false, err
			}
		}
		if last {
			return false, nil
		}
	}
}

// finishReceiving records that the last byte was read, before that byte is written. clientFault reports whether the
// client caused the error.
func (u *upload) finishReceiving(owner attemptOwner) (clientFault bool, err error) {
	client := u.body.client
	// Unread bytes in the system's buffer may have hidden the client's disconnect, which arrives with the last byte or
	// right after it. The last piece is written only after this check, and without that piece no server executes the
	// request.
	if owner.Disconnected() {
		return true, errClientDisconnected
	}
	// A client may be silent while its response is pending, so the read deadline is removed. This is done before the
	// connection goes on to its next request: after that, the response may already have set the next deadline.
	if err := client.conn.SetReadDeadline(time.Time{}); err != nil {
		return true, err
	}
	if !u.state.CompareAndSwap(uploadReceiving, uploadReceived) {
		return false, errRequestEnded
	}
	client.frontend.openUploads.Add(-1)
	close(u.complete)
	return false, nil
}
