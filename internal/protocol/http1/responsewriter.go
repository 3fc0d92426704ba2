package http1

import (
	"vetchhaven/internal/core"
)

// finalAnswer is what the writer is told: a final answer, or that none will follow.
type finalAnswer struct {
	core.Answer
	last bool
}

// postAnswer tells the writer. It never waits: a request is answered once.
func (c *clientConn) postAnswer(r finalAnswer) {
	select {
	case c.finalAnswers <- r:
	default:
	}
}

// abortPending answers what is open failed, where the loop has ended and will not.
func (c *clientConn) abortPending() {
	c.mu.Lock()
	r := c.pending
	c.mu.Unlock()
	if r != nil {
		r.Abort()
	}
}

// runWriter gives answers, until the reader has ended and none is awaited.
func (c *clientConn) runWriter() {
	for r := range c.finalAnswers {
		if r.last {
			return
		}
		if !c.hasPending() {
			continue // answered twice, as the agent ended
		}
		text := c.finishPending(r.Answer)
		ok := text != nil && (len(text) == 0 || c.send(text))
		if cap(text) <= 16<<10 {
			c.writeBuf = text
		} else {
			c.writeBuf = nil
		}
		if !ok {
			c.mu.Lock()
			c.closing = true
			c.mu.Unlock()
			_ = c.conn.Close()
		}
		c.prepareNext()
		c.mu.Lock()
		over := c.readerEnded
		c.mu.Unlock()
		if over {
			return
		}
	}
}

// finishPending ends the open request with its final answer, and returns what is still to be written of that; nil: it
// can't be, and the client must see so.
func (c *clientConn) finishPending(a core.Answer) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fail *requestError
	if c.upload != nil && c.upload.state.CompareAndSwap(uploadReceiving, uploadAbandoned) {
		c.closing = true // what is left of its body is not the next request
		c.front.openUploads.Add(-1)
		fail = c.upload.fault.Load()
	}
	if fail == nil {
		c.front.loop.ClassCounts(c.pending.Class).CountAnswer(a)
	}
	begun := c.streaming
	c.pending, c.upload, c.streaming = nil, nil, false
	c.front.bodyBudget.Release(c.reservedBytes)
	c.reservedBytes = 0
	c.front.openRequests.Add(-1)
	switch {
	case begun && a.Served == nil: // an end of the connection that is no end of the answer
		if t, ok := c.conn.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0)
		}
		return nil
	case begun:
		return []byte{}
	case fail != nil:
		return c.front.appendError(c.writeBuf[:0], fail.status, fail.text, fail.allow, true)
	}
	return c.front.appendAnswer(c.writeBuf[:0], a, c.closesAfterResponseLocked())
}
