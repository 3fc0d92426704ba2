package http1

import (
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

// clientConn is one client's connection. Its reader takes requests, one at a time, and its writer gives
// their answers: a client that hangs up shows while an answer is awaited, and nothing is started or
// set up for a request alone. net/http's server did this, at twice the price; what it is strict about,
// this is too.
type clientConn struct {
	front        *front
	conn         net.Conn
	buf          []byte
	start, end   int
	lastReadAt   time.Time // its last bytes were read
	fields       []field
	writeBuf     []byte
	responseDone chan struct{}    // of one: no answer is awaited
	finalAnswers chan finalAnswer // of a few, so that nobody who answers waits

	mu                 sync.Mutex
	pending            *core.Request // awaits its answer
	upload             *upload       // its body, where that streams
	reservedBytes      int           // bytes of its body
	streaming          bool          // its answer streams
	nextStarted        bool          // a part of the next request came while this one's answer was awaited
	watchingDisconnect bool          // all of the next request's head did, or too much: the reader looks for the client's leaving alone
	closing            bool          // takes no further request
	readerEnded        bool          // the reader has ended

}

// errBodyUnread is of a request that has its answer before all of it was read, errEnded of one behind the last answer.
var (
	errBodyUnread  = &requestError{}
	errConnClosing = errors.New("no further request is taken")
)

const (
	maxHead         = maxHeader + 4<<10 // as net/http counts it
	initialReadSize = 2 << 10
	// lingerTime is what a client has to read its last answer before its connection closes: closed with
	// something unread on it, it would be reset, and the answer lost.
	lingerTime = 500 * time.Millisecond
	// A client that sends more behind its request than a head may be long is read on, so that its leaving shows: what
	// it sends is dropped. Of one that has left there can be no more than two systems hold for a connection (Linux's
	// defaults: 6 MB to be read, 4 MB to be written), and that is dropped at once, or its end would be seen late. One that
	// sends on past floodMost bytes is there: it costs floodPiece bytes each floodPause.
	maxDropped    = 16 << 20
	floodReadSize = 4 << 10
	floodPause    = 10 * time.Millisecond
)

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	defer func() {
		p := recover()
		if p != nil { // it ends the agent, and is no reason to leave this client without an answer
			if c.hasPending() {
				c.abortPending()
			} else {
				c.send(c.front.appendError(nil, http.StatusBadGateway, "failed", "", true))
			}
		}
		c.endReader(p == nil || c.hasPending())
		_ = c.conn.Close() // nothing can be done about a socket that does not close
		if p != nil {
			panic(p)
		}
	}()
	c.responseDone <- struct{}{}
	for first := true; ; first = false {
		end, err := c.readHead(first)
		if errors.Is(err, errHead) {
			if c.awaitResponse() {
				c.respondAndClose(&requestError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is too large"})
			} else {
				c.linger()
			}
			return
		}
		if err != nil || !c.awaitResponse() {
			if c.isClosing() {
				c.linger()
			}
			return
		}
		if first {
			go c.front.loop.ContainPanic(c.runWriter)
		}
		switch fail := c.handleRequest(c.buf[c.start : c.start+end]); fail {
		case nil:
		case errBodyUnread:
			c.awaitResponse()
			c.linger()
			return
		default:
			c.respondAndClose(fail)
			return
		}
	}
}

// awaitResponse waits until the answer before is out. It reports false where that was the last, or its client has left.
func (c *clientConn) awaitResponse() bool {
	c.mu.Lock()
	c.watchingDisconnect = c.pending != nil
	watching := c.watchingDisconnect
	c.mu.Unlock()
	if watching && !c.watchForDisconnect() {
		return false
	}
	<-c.responseDone
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchingDisconnect = false
	return !c.closing
}

// watchForDisconnect reads on while an answer is awaited, or it would not be seen that the client has left. It reports whether the
// answer is out: next ends its read then.
func (c *clientConn) watchForDisconnect() bool {
	var scrap []byte // what is dropped
	for dropped := 0; ; {
		var into []byte
		if c.end-c.start < maxHead {
			into = c.freeBuffer()
		} else {
			if scrap == nil {
				buf := pieceBuffers.Get().(*[]byte)
				defer pieceBuffers.Put(buf)
				scrap = (*buf)[:floodReadSize]
			}
			into = scrap
		}
		n, err := c.conn.Read(into)
		switch {
		case n == 0 && err != nil:
			return errors.Is(err, os.ErrDeadlineExceeded)
		case c.end-c.start < maxHead:
			c.end, c.lastReadAt = c.end+n, time.Now()
			continue
		case dropped == 0 && !c.closeOnOverflow():
			c.buf = append(c.buf[:c.end], scrap[:n]...)
			c.end, c.lastReadAt = c.end+n, time.Now()
			return true
		}
		scrap = scrap[:cap(scrap)]
		if dropped += n; dropped > maxDropped {
			scrap = scrap[:floodReadSize]
			if c.front.overflowHook != nil {
				c.front.overflowHook(true)
			}
			select {
			case <-c.responseDone:
				c.responseDone <- struct{}{}
				return true
			case <-time.After(floodPause):
			}
		}
	}
}

// closeOnOverflow reports whether a client has sent more than is kept before any of its answer: what is dropped can't be
// answered, and the connection ends. One that has a part of its answer, if only the last byte is not yet booked, may
// have sent its next request, which is read when its turn comes.
func (c *clientConn) closeOnOverflow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.front.overflowHook != nil {
		defer c.front.overflowHook(false)
	}
	if c.pending == nil || c.streaming {
		return false
	}
	c.closing = true
	return true
}

// freeBuffer is where the next bytes are read to.
func (c *clientConn) freeBuffer() []byte {
	if c.end == len(c.buf) {
		grown := make([]byte, max(initialReadSize, 2*len(c.buf)))
		copy(grown, c.buf[:c.end])
		c.buf = grown
	}
	return c.buf[c.end:]
}

func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readHead reads until a head is whole, and returns its length behind c.start.
func (c *clientConn) readHead(first bool) (int, error) {
	if c.start == c.end {
		c.start, c.end = 0, 0
		if len(c.buf) > 2*initialReadSize {
			c.buf = nil // a connection that rests keeps little
		}
	}
	began := false
	if first {
		c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(core.HeadTimeout)) // from connecting on, whatever comes of it
		began = true
	}
	for {
		for c.start < c.end && (c.buf[c.start] == '\r' || c.buf[c.start] == '\n') {
			c.start++ // empty lines ahead of a request line are passed over (RFC 9112, 2.2)
		}
		if n := headEnd(c.buf[c.start:c.end]); n > 0 {
			if n > maxHead {
				return 0, errHead
			}
			return n, nil
		}
		if c.end-c.start >= maxHead {
			return 0, errHead
		}
		if c.start > 0 {
			copy(c.buf, c.buf[c.start:c.end])
			c.start, c.end = 0, c.end-c.start
		}
		if c.end > 0 && !began {
			began = true
			if err := c.startNextRequest(); err != nil {
				return 0, err
			}
		}
		n, err := c.conn.Read(c.freeBuffer())
		if n == 0 && err != nil {
			return 0, err
		}
		c.end, c.lastReadAt = c.end+n, time.Now()
	}
}

// startNextRequest bounds the time of a request that has begun to come: its time runs from when the answer before is out.
func (c *clientConn) startNextRequest() error {
	c.mu.Lock()
	if c.pending != nil {
		c.nextStarted = true // next sets its time
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	<-c.responseDone // the answer may still be on its way out
	c.responseDone <- struct{}{}
	if c.isClosing() {
		return errConnClosing
	}
	if !c.front.limiter.MarkBusy(c.conn) {
		return net.ErrClosed
	}
	return c.conn.SetReadDeadline(time.Now().Add(core.HeadTimeout))
}

// hasPending reports whether an answer is awaited.
func (c *clientConn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending != nil
}

// handleRequest reads the rest of a request and gives it to the loop. An error is the client's last answer.
func (c *clientConn) handleRequest(text []byte) *requestError {
	f := c.front
	if !f.limiter.MarkBusy(c.conn) {
		return &requestError{} // closed meanwhile: nobody reads an answer
	}
	h, err := parseHead(text, c.fields)
	c.fields = h.fields
	if err != nil {
		return &requestError{status: http.StatusBadRequest, text: err.Error()}
	}
	if h.http10 || h.closes {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
	}
	first, target, host, err := h.route()
	if err != nil {
		return &requestError{status: http.StatusBadRequest, text: "the target can't be read"}
	}
	if rest, ok := strings.CutPrefix(target, "/_health"); ok && (rest == "" || rest[0] == '?') {
		status := http.StatusOK
		if !f.loop.Healthy() {
			status = http.StatusServiceUnavailable
		}
		c.start += len(text)
		if h.length > 0 || h.hasTransferCoding {
			return badRequest("no body is taken here")
		}
		c.writeBuf = f.appendStatus(c.writeBuf[:0], status, c.closesAfterResponse())
		c.writeBuf = append(c.writeBuf, "Content-Length: 0\r\n\r\n"...)
		return c.respondLocally(c.writeBuf)
	}
	r, fail := c.newRequest(&h, first)
	if fail != nil {
		return fail
	}
	c.start += len(text)
	var body []byte
	var booked int
	var up *upload
	if h.length > 0 || h.hasTransferCoding {
		in, all := newRequestBody(c, &h), false
		if body, booked, all, err = in.readBuffered(f.bodyBudget); err != nil {
			f.bodyBudget.Release(booked)
			return bodyFault(err)
		}
		if !all {
			up = &upload{body: in, complete: make(chan struct{})}
			r.Upload = true
		}
	}
	// A client's time runs from when its request was sent, which ends with the last byte. That of one behind another was
	// read no later than the last bytes that came meanwhile.
	r.Deadline = c.lastReadAt.Add(r.Remaining)
	if up != nil {
		r.Deadline = time.Now().Add(r.Remaining) // of no matter until its own last byte
	}
	r.Message = h.message(target, host, body, up).withClient(c, h.http10, r.Remaining)
	if up == nil && !time.Now().Before(r.Deadline) { // its time has run out behind another one
		f.bodyBudget.Release(booked)
		return c.reject(r)
	}
	// Past what the limits let an agent hold, a request is turned away before anything has run.
	if f.openRequests.Add(1) > f.maxOpen.Load() {
		f.openRequests.Add(-1)
		f.bodyBudget.Release(booked)
		c.mu.Lock()
		c.closing = true // as where the connection limiter is near its capacity
		c.mu.Unlock()
		return c.reject(r)
	}
	// While its answer is awaited a client may be silent. Before that is: from then on next sets what bounds the reader.
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		f.openRequests.Add(-1)
		f.bodyBudget.Release(booked)
		return &requestError{} // it is closed, and nothing has been asked of anybody
	}
	c.mu.Lock()
	c.pending, c.reservedBytes, c.upload, c.streaming, c.nextStarted = r, booked, up, false, false
	c.mu.Unlock()
	if up != nil {
		f.openUploads.Add(1)
	}
	f.loop.Submit(r)
	if f.loopEnded.Load() { // meanwhile, or before: it may have gone unseen
		c.abortPending()
	}
	if up == nil || up.wait(r, f.loop, c.conn) {
		return nil
	}
	return errBodyUnread
}

// respondLocally writes an answer that needed nobody, and goes on to the next request. An error ends the reader.
func (c *clientConn) respondLocally(text []byte) *requestError {
	if !c.send(text) {
		return &requestError{}
	}
	c.prepareNext()
	return nil
}

// reject answers a request of which nobody else has heard.
func (c *clientConn) reject(r *core.Request) *requestError {
	a := core.Answer{Refused: true}
	c.front.loop.ClassCounts(r.Class).CountAnswer(a)
	c.writeBuf = c.front.appendRefusal(c.writeBuf[:0], a, c.closesAfterResponse())
	return c.respondLocally(c.writeBuf)
}

// closesAfterResponse reports whether the answer that is written now is the last one.
func (c *clientConn) closesAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesAfterResponseLocked()
}

func (c *clientConn) closesAfterResponseLocked() bool {
	c.closing = c.closing || c.front.draining.Load() || c.front.limiter.NearCapacity()
	return c.closing
}

// prepareNext has the connection wait for its next request, or end, after an answer.
func (c *clientConn) prepareNext() {
	c.mu.Lock()
	switch {
	case c.closing:
		// The reader learns it from its read, and lets the client read this answer.
		c.closeWrite()
		_ = c.conn.SetReadDeadline(core.LongAgo)
	case c.watchingDisconnect: // it goes on with the request that it has
		_ = c.conn.SetReadDeadline(core.LongAgo)
	case c.nextStarted:
		_ = c.conn.SetReadDeadline(time.Now().Add(core.HeadTimeout))
	default:
		c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(idleTimeout)) // a dead connection shows by its read
		c.front.limiter.MarkIdle(c.conn)
	}
	c.mu.Unlock()
	c.responseDone <- struct{}{}
}

// respondAndClose writes a last answer to a request that can't be taken. What is left of a body is not read, and
// must not be taken for the next request. Nor does such a client keep a place that others wait for.
func (c *clientConn) respondAndClose(e *requestError) {
	if e.status == 0 {
		return
	}
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	if c.send(c.front.appendError(c.writeBuf[:0], e.status, e.text, e.allow, true)) {
		c.closeWrite()
		c.linger()
	}
}

func (c *clientConn) closeWrite() {
	if w, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
}

// linger reads what a client still sends, so that the close is no reset, until it closes too.
func (c *clientConn) linger() {
	buf := make([]byte, 1024)
	c.front.limiter.SetReadDeadline(c.conn, time.Now().Add(lingerTime))
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}

func (c *clientConn) send(text []byte) bool {
	if c.conn.SetWriteDeadline(time.Now().Add(c.front.writeTimeout)) != nil {
		return false
	}
	_, err := c.conn.Write(text)
	return err == nil
}

// endReader tells the loop that nobody waits for the open answer, and the writer that it is the last. With a last word that
// is waited for: a client that has ended its sending alone still reads, and is told that nothing more is done for it.
func (c *clientConn) endReader(awaitLastResponse bool) {
	c.mu.Lock()
	r := c.pending
	c.readerEnded = true
	c.mu.Unlock()
	if r == nil {
		c.postAnswer(finalAnswer{last: true})
		return
	}
	c.front.loop.ClientDisconnected(r)
	if awaitLastResponse {
		limit := time.NewTimer(lingerTime) // one that does not read holds nothing up
		defer limit.Stop()
		select {
		case <-c.responseDone: // the writer is done
		case <-limit.C:
		}
	}
}

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

// newRequest checks a request, up to its body.
func (c *clientConn) newRequest(h *requestHead, first string) (r *core.Request, fail *requestError) {
	f := c.front
	switch {
	// A body in chunks that comes with a Content-Length may hide a second request from one of the two sides
	// (RFC 9112, 11.2).
	case h.hasTransferCoding && (h.hasLength || h.http10):
		return nil, badRequest("a body has one end: by its length or by its chunks")
	case h.hasTransferCoding && !h.chunked:
		return nil, &requestError{status: http.StatusNotImplemented, text: "the only transfer coding here is chunked"}
	case h.unknownExpectation:
		return nil, &requestError{status: http.StatusExpectationFailed, text: "what is expected is not known here"}
	}
	class, ok := f.classes[first]
	if !ok {
		return nil, &requestError{status: http.StatusNotFound, text: "no such class of requests"}
	}
	settings := &f.cfg.Settings.Classes[class]
	method := http.MethodPost
	if settings.Effect == decide.Idempotent {
		method = http.MethodGet
	}
	if string(h.method) != method {
		return nil, &requestError{status: http.StatusMethodNotAllowed, text: "this class takes " + method, allow: method}
	}
	if method == http.MethodGet && (h.length != 0 || h.hasTransferCoding) {
		return nil, badRequest("this class has no body")
	}
	if h.idCount != 1 || len(h.id) == 0 || len(h.id) > maxID {
		return nil, badRequest("X-Trace-Id: one of 1 to 256 bytes is needed")
	}
	if settings.Effect == decide.Keyed && (h.keyCount != 1 || len(h.key) == 0 || len(h.key) > maxID) {
		return nil, badRequest("Idempotency-Key: one of 1 to 256 bytes is needed")
	}
	wait := settings.Deadline
	if len(h.expiresIn) > 0 {
		s, err := parseDecimal(string(h.expiresIn))
		if err != nil || !(s > 0) {
			return nil, badRequest("X-Expires-In: not a number of seconds above 0")
		}
		wait = min(wait, time.Duration(min(s, wait.Seconds())*float64(time.Second)))
	}
	r = core.NewRequest(string(h.id), class, func(a core.Answer) { c.postAnswer(finalAnswer{Answer: a}) })
	r.Remaining, r.ClientRetry, r.Client = wait, h.clientRetry, c.conn
	if len(h.sizeHint) > 0 {
		us, err := parseDecimal(string(h.sizeHint))
		if err != nil || !(us >= 0) || us > math.MaxInt32 {
			return nil, badRequest("X-Size-Hint: not a number of microseconds")
		}
		r.Work = time.Duration(us * float64(time.Microsecond))
	}
	if h.length > maxBody {
		return nil, bodyFault(errTooLong)
	}
	return r, nil
}

func appendInt(b []byte, n int) []byte { return strconv.AppendInt(b, int64(n), 10) }
