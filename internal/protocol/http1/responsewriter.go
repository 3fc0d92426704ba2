package http1

import (
	"vetchhaven/internal/core"
)

// maxRetainedWriteBuf is the largest write buffer, in bytes, that a connection keeps between responses.
const maxRetainedWriteBuf = 1 << 10

// finalAnswer is a message to the writer: a request's final answer, or the notice that no further answer will follow.
type finalAnswer struct {
	core.Answer
	last bool // no further answer will follow, and Answer is empty
}

// postAnswer passes a message to the writer. It never blocks: a request is answered once, so the channel's buffer is
// large enough.
func (c *clientConn) postAnswer(a finalAnswer) {
	select {
	case c.finalAnswers <- a:
	default:
	}
}

// abortPending answers the pending request as failed, for the case that the loop has ended and will not answer it.
func (c *clientConn) abortPending() {
	c.mu.Lock()
	r := c.pending
	c.mu.Unlock()
	if r != nil {
		r.Abort()
	}
}

// runWriter writes responses until the reader has ended and no response is pending.
func (c *clientConn) runWriter() {
	for a := range c.finalAnswers {
		if a.last {
			return
		}
		if a.Response == nil {
			c.pace.count()
		}
		if c.hasPending() { // otherwise it is a second answer to the same request, posted as the agent ended
			c.writeResponse(a.Answer)
			c.prepareNext()
		}
		if r, ok := a.Response.(*response); ok {
			r.Discard()
		}
		if c.hasReaderEnded() {
			return
		}
	}
}

// writeResponse ends the pending request, and writes the part of its response that is not written yet. After an error
// the connection is closed.
func (c *clientConn) writeResponse(a core.Answer) {
	text, body, ok := c.finishPending(a)
	if ok && len(text) > 0 {
		ok = c.send(text)
	}
	if ok && len(body) > 0 {
		ok = c.send(body)
	}
	c.retainWriteBuf(text)
	if !ok {
		c.setClosing()
		_ = c.conn.Close()
	}
}

// retainWriteBuf keeps a buffer for the next response if it is small.
func (c *clientConn) retainWriteBuf(buf []byte) {
	c.writeBuf = nil
	if cap(buf) <= maxRetainedWriteBuf {
		c.writeBuf = buf
	}
}

func (c *clientConn) hasReaderEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readerEnded
}

// finishPending ends the pending request with its final answer, and returns the part of the response that is not
// written yet, with a long body apart. ok is false if a streamed response can't be completed: the connection is then reset, so that the client
// does not take the part that it has for the complete response (RFC 9112, 8).
func (c *clientConn) finishPending(a core.Answer) (text, body []byte, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fail *requestError
	if c.upload != nil && c.upload.state.CompareAndSwap(uploadReceiving, uploadAbandoned) {
		c.closing = true // the rest of its body must not be parsed as the next request
		c.frontend.openUploads.Add(-1)
		fail = c.upload.fault.Load()
	}
	if fail == nil {
		c.frontend.loop.ClassCounts(c.pending.Class).CountAnswer(a)
	}
	streamed := c.streaming
	c.pending = nil
	c.upload = nil
	c.streaming = false
	c.frontend.bodyBudget.Release(c.reservedBytes)
	c.reservedBytes = 0
	c.frontend.openRequests.Add(-1)
	switch {
	case streamed && a.Response == nil:
		if t, ok := c.conn.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0) // the close will reset the connection
		}
		return nil, nil, false
	case streamed:
		return nil, nil, true
	case fail != nil:
		return c.frontend.appendError(c.writeBuf[:0], fail.status, fail.text, fail.allow, true), nil, true
	}
	text, body = c.frontend.appendAnswer(c.writeBuf[:0], a, c.closesAfterResponseLocked())
	return text, body, true
}
