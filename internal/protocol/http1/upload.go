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

// upload is a request's body that streams from its client to one server.
type upload struct {
	body *requestBody
	// complete is closed when its last byte has been read: the connection may go on to its next request.
	complete chan struct{}
	state    atomic.Int32                 // coming, came or left
	fault    atomic.Pointer[requestError] // of its client

	mu       sync.Mutex // held by an attempt that reads
	consumed bool       // what is read from now on is read for the last time
}

// An upload's state changes once.
const (
	uploadReceiving = iota
	uploadReceived  // its last byte was read
	uploadAbandoned // its request has its answer
)

// disconnectCheckInterval is how often a client is looked for whose upload waits for a server: nobody reads its connection then.
const disconnectCheckInterval = 100 * time.Millisecond

// wait returns once the connection may go on to its next request, or false where its request has its answer before
// all of it was read.
func (u *upload) wait(r *core.Request, l *core.Loop, client net.Conn) bool {
	look := time.NewTicker(disconnectCheckInterval)
	defer look.Stop()
	for waiting := true; waiting; {
		select {
		case <-u.complete:
			return true // nobody reads it any more, though the server may still be to take its last piece
		case <-look.C:
			if core.Disconnected(client) {
				l.ClientDisconnected(r)
			}
			continue
		case <-r.Ended():
		case <-l.Stopped():
		}
		waiting = false
	}
	u.mu.Lock() // an attempt that still reads is about to end
	defer u.mu.Unlock()
	u.consumed = true // none begins any more
	return u.state.Load() == uploadReceived
}

// sendTo writes what is left of the body to w, in pieces as they come. It reports whether a failure is the client's.
func (u *upload) sendTo(ctx context.Context, by attemptOwner, w func([]byte) error) (clients bool, err error) {
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
		case <-by.Ended(): // nothing is sent any more for a request that has its answer
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
			// What the system held of it unread may have hidden its client's end, which comes with the last byte or right
			// behind it: the last piece waits for this look, and without it nothing runs.
			if by.Disconnected() {
				return true, errClientDisconnected
			}
			// While its answer is awaited a client may be silent. Before the connection goes on: by then the answer may
			// have set its next limit.
			if err := u.body.client.conn.SetReadDeadline(time.Time{}); err != nil {
				return true, err
			}
			if !u.state.CompareAndSwap(uploadReceiving, uploadReceived) {
				return false, errRequestEnded
			}
			u.body.client.front.openUploads.Add(-1)
			close(u.complete)
		}
		if len(text) > 0 {
			if err := w(text); err != nil {
				return false, err
			}
		}
		if last {
			return false, nil
		}
	}
}
