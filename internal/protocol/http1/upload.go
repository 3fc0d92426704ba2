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

// upload is a request's body that streams from its client to one server. One attempt consumes it: what was sent can't be
// sent again.
type upload struct {
	body *requestBody
	// complete is closed when its last byte has been read: the connection may go on to its next request.
	complete chan struct{}
	state    atomic.Int32                 // an uploadState
	fault    atomic.Pointer[requestError] // why the client's body can't be read; nil: it can

	mu       sync.Mutex // held by the attempt that reads
	consumed bool       // an attempt has begun to read it, or none may any more
}

// uploadState is how far an upload has come. It changes once, from uploadReceiving.
type uploadState = int32

const (
	uploadReceiving uploadState = iota
	uploadReceived              // its last byte was read
	uploadAbandoned             // its request had its final answer first
)

// disconnectCheckInterval is how often a client is checked for a disconnect while its upload waits for a server: nobody
// reads its connection then. A smaller value costs a system call more often, a larger one holds a server's work longer for
// a client that has disconnected.
const disconnectCheckInterval = 100 * time.Millisecond

// wait waits until the connection may go on to its next request, and reports true then. It reports false if the request
// has its final answer before all of the body was read.
func (u *upload) wait(r *core.Request, l *core.Loop, client net.Conn) bool {
	check := time.NewTicker(disconnectCheckInterval)
	defer check.Stop()
	for waiting := true; waiting; {
		select {
		case <-u.complete:
			return true // nobody reads the connection any more, though the last piece may still be to be written
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
	u.mu.Lock() // an attempt that still reads ends soon
	defer u.mu.Unlock()
	u.consumed = true // no attempt begins any more
	return u.state.Load() == uploadReceived
}

// sendTo passes the rest of the body to write, in pieces as they come. It reports whether a failure is the client's.
func (u *upload) sendTo(ctx context.Context, owner attemptOwner, write func([]byte) error) (clientFault bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.consumed {
		return false, errors.New("the body was sent once already")
	}
	u.consumed = true
	buf := pieceBuffers.Get().(*[]byte)
	defer pieceBuffers.Put(buf)
	var framed []byte
	for {
		n, err := u.body.Read(*buf)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			u.fault.Store(bodyFault(err))
			return true, err
		}
		select {
		case <-owner.Ended(): // nothing more is sent for a request that has its final answer
			return false, errRequestEnded
		case <-ctx.Done():
			return false, context.Cause(ctx)
		default:
		}
		text := (*buf)[:n]
		if u.body.chunks != nil {
			framed = appendChunk(framed[:0], text)
			if last {
				framed = append(framed, lastChunk...)
			}
			text = framed
		} else if u.body.remaining == 0 {
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

// finishReceiving takes note that the last byte was read, before it is written. It reports whether a failure is the
// client's.
func (u *upload) finishReceiving(owner attemptOwner) (clientFault bool, err error) {
	client := u.body.client
	// What the system held unread may have hidden the client's end, which comes with the last byte or right behind it.
	// The last piece waits for this check, and without it no server runs the request.
	if owner.Disconnected() {
		return true, errClientDisconnected
	}
	// While its response is pending a client may be silent. The deadline is removed before the connection goes on: by then
	// the response may have set its next limit.
	if err := client.conn.SetReadDeadline(time.Time{}); err != nil {
		return true, err
	}
	if !u.state.CompareAndSwap(uploadReceiving, uploadReceived) {
		return false, errRequestEnded
	}
	client.front.openUploads.Add(-1)
	close(u.complete)
	return false, nil
}
