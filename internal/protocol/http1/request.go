package http1

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

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

// parseDecimal reads a plain decimal number. ParseFloat alone also takes names and hexadecimals.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "+-.eE0123456789") != "" || len(text) > 32 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}
