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

// healthPath is the path at which the agent reports its own health.
const healthPath = "/_health"

// handleRequest reads the rest of a request whose head is text, and submits it to the loop. An error ends the
// connection, with the error's response as its last one.
func (c *clientConn) handleRequest(text []byte) *requestError {
	if !c.frontend.limiter.MarkBusy(c.conn) {
		return errNoReader
	}
	h, err := parseHead(text)
	if err != nil {
		return badRequest(err.Error())
	}
	if h.http10 || h.closes { // RFC 9112, 9.3
		c.setClosing()
	}
	class, target, host, err := h.route()
	if err != nil {
		return badRequest("malformed request target")
	}
	if query, ok := strings.CutPrefix(target, healthPath); ok && (query == "" || query[0] == '?') {
		return c.respondHealth(&h, len(text))
	}
	r, fail := c.newRequest(&h, class)
	if fail != nil {
		return fail
	}
	headReserved := max(0, len(text)-initialReadSize) // for the copy that is forwarded; a small one counts as a part of the request
	if headReserved > 0 && !c.frontend.bodyBudget.Acquire(headReserved) {
		c.frontend.loop.ClassCounts(r.Class).CountAnswer(core.Answer{Refused: true})
		return errOverloaded
	}
	c.start += len(text)
	body, fail := c.receiveBody(&h)
	body.reserved += headReserved
	if fail != nil {
		c.frontend.bodyBudget.Release(body.reserved)
		return fail
	}
	if body.upload != nil {
		r.Upload = true
		r.Deadline = body.upload.body.writingAt.Add(r.Remaining)
		r.ClientIsWriting = body.upload.clientIsWriting
		body.upload.body.request = r
	} else {
		// The deadline counts from the arrival of the request's last byte. The last byte of a pipelined request
		// arrived no later than the bytes that were read last.
		r.Deadline = c.lastReadAt.Add(r.Remaining)
	}
	r.Message = h.message(target, host, body.text, body.upload).withClient(c, h.http10, r.Remaining)
	return c.submit(r, body)
}

// respondHealth answers a health check of the agent itself. The head of that request has headLen bytes.
func (c *clientConn) respondHealth(h *requestHead, headLen int) *requestError {
	status := http.StatusOK
	if !c.frontend.loop.Healthy() {
		status = http.StatusServiceUnavailable
	}
	c.start += headLen
	if h.hasBody() {
		return badRequest("a health check must not have a body")
	}
	c.writeBuf = c.frontend.appendStatus(c.writeBuf[:0], status, c.closesAfterResponse())
	c.writeBuf = append(c.writeBuf, "Content-Length: 0\r\n\r\n"...)
	return c.respondLocally(c.writeBuf)
}

// receiveBody reads a request's body, or only the part that is buffered. The reserved bytes have to be released after an
// error, too.
func (c *clientConn) receiveBody(h *requestHead) (receivedBody, *requestError) {
	if !h.hasBody() {
		return receivedBody{}, nil
	}
	received, err := newRequestBody(c, h).readBuffered(c.frontend.bodyBudget)
	if err != nil {
		return received, bodyFault(err)
	}
	return received, nil
}

// submit admits a request and submits it to the loop. It returns once the connection may go on to its next request:
// for an upload, when its last byte has been read.
func (c *clientConn) submit(r *core.Request, body receivedBody) *requestError {
	f := c.frontend
	if body.upload == nil && !time.Now().Before(r.Deadline) { // its deadline passed while an earlier request was served
		f.bodyBudget.Release(body.reserved)
		return c.reject(r)
	}
	// A request beyond the limits on open requests is rejected before any server gets it.
	if !f.admit(body.upload != nil) {
		f.bodyBudget.Release(body.reserved)
		c.setClosing() // as when the connection limiter is near its capacity
		return c.reject(r)
	}
	// A client may be silent while its response is pending, so the read deadline is removed. This is done before the
	// request is submitted: from then on prepareNext sets the reader's deadlines.
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		f.uncount(body.upload != nil)
		f.bodyBudget.Release(body.reserved)
		return errNoReader // the connection is closed, and no attempt was made
	}
	c.setPending(r, body)
	f.loop.Submit(r)
	if f.loopEnded.Load() { // the loop may have ended before it received the request
		c.abortPending()
	}
	if body.upload == nil || body.upload.wait(r, f.loop, c.conn) {
		return nil
	}
	return errBodyUnread
}

// setPending makes r the request whose response is pending.
func (c *clientConn) setPending(r *core.Request, body receivedBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = r
	c.reservedBytes = body.reserved
	c.upload = body.upload
	c.streaming = false
	c.nextStarted = false
}

// respondLocally writes a response of the agent itself, and goes on to the next request. An error ends the reader.
func (c *clientConn) respondLocally(text []byte) *requestError {
	c.pace.count()
	if !c.send(text) {
		return errNoReader
	}
	c.prepareNext()
	return nil
}

// reject answers a request that was not submitted to the loop with 503.
func (c *clientConn) reject(r *core.Request) *requestError {
	a := core.Answer{Refused: true}
	c.frontend.loop.ClassCounts(r.Class).CountAnswer(a)
	c.writeBuf = c.frontend.appendRefusal(c.writeBuf[:0], a, c.closesAfterResponse())
	return c.respondLocally(c.writeBuf)
}

// newRequest checks a head, and returns the request for the loop. className is the first segment of the target's path.
func (c *clientConn) newRequest(h *requestHead, className string) (*core.Request, *requestError) {
	if fail := checkFraming(h); fail != nil {
		return nil, fail
	}
	class, ok := c.frontend.classes[className]
	if !ok {
		return nil, &requestError{status: http.StatusNotFound, text: "unknown class of requests"}
	}
	settings := &c.frontend.cfg.Settings.Classes[class]
	if fail := checkClass(h, settings.Effect); fail != nil {
		return nil, fail
	}
	remaining, fail := remainingTime(h, settings.Deadline)
	if fail != nil {
		return nil, fail
	}
	r := core.NewRequest(string(h.id), class, func(a core.Answer) { c.postAnswer(finalAnswer{Answer: a}) })
	r.Remaining = remaining
	r.ClientRetry = h.clientRetry
	r.Client = c.conn
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

// checkFraming checks how a request's body is delimited, and the request's Expect field.
func checkFraming(h *requestHead) *requestError {
	switch {
	// A request with a Transfer-Encoding and a Content-Length may smuggle a second request past one of the two sides
	// (RFC 9112, 6.3 and 11.2). HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
	case h.hasTransferCoding && (h.hasLength || h.http10):
		return badRequest("Transfer-Encoding is not allowed with Content-Length or in HTTP/1.0")
	case h.hasTransferCoding && !h.chunked: // RFC 9112, 6.1
		return &requestError{status: http.StatusNotImplemented, text: "the only supported transfer coding is chunked"}
	case h.unknownExpectation: // RFC 9110, 10.1.1
		return &requestError{status: http.StatusExpectationFailed, text: "the expectation in Expect is not supported"}
	}
	return nil
}

// checkClass checks a request against the effect of its class: method, body, request ID and idempotency key.
func checkClass(h *requestHead, effect decide.Effect) *requestError {
	method := http.MethodPost
	if effect == decide.Idempotent {
		method = http.MethodGet
	}
	if string(h.method) != method { // RFC 9110, 15.5.6
		return &requestError{status: http.StatusMethodNotAllowed, text: "the only method of this class is " + method, allow: method}
	}
	if method == http.MethodGet && (h.length != 0 || h.hasTransferCoding) {
		return badRequest("requests of this class have no body")
	}
	if h.idCount != 1 || len(h.id) == 0 || len(h.id) > maxID {
		return badRequest("exactly one X-Trace-Id of 1 to 256 bytes is required")
	}
	if effect == decide.Keyed && (h.keyCount != 1 || len(h.key) == 0 || len(h.key) > maxID) {
		return badRequest("exactly one Idempotency-Key of 1 to 256 bytes is required")
	}
	return nil
}

// remainingTime returns how long a request's client waits: the time in X-Expires-In, but at most its class's deadline.
func remainingTime(h *requestHead, deadline time.Duration) (time.Duration, *requestError) {
	if len(h.expiresIn) == 0 {
		return deadline, nil
	}
	seconds, err := parseDecimal(string(h.expiresIn))
	if err != nil || !(seconds > 0) {
		return 0, badRequest("X-Expires-In: not a number of seconds above 0")
	}
	return min(deadline, time.Duration(min(seconds, deadline.Seconds())*float64(time.Second))), nil
}

// maxDecimal is how many bytes a decimal number in a field may have.
const maxDecimal = 32

// parseDecimal parses a plain decimal number. strconv.ParseFloat alone also accepts names (Inf) and hexadecimal
// numbers.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "+-.eE0123456789") != "" || len(text) > maxDecimal {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}
