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
	f          *front
	nc         net.Conn
	buf        []byte
	start, end int
	came       time.Time // its last bytes were read
	fields     []field
	out        []byte
	turn       chan struct{} // of one: no answer is awaited
	replies    chan reply    // of a few, so that nobody who answers waits

	mu       sync.Mutex
	open     *core.Request // awaits its answer
	up       *upload       // its body, where that streams
	booked   int           // bytes of its body
	begun    bool          // its answer streams
	behind   bool          // a part of the next request came while this one's answer was awaited
	watching bool          // all of the next request's head did, or too much: the reader looks for the client's leaving alone
	ending   bool          // takes no further request
	over     bool          // the reader has ended

}

// errUnread is of a request that has its answer before all of it was read, errEnded of one behind the last answer.
var (
	errUnread = &inputError{}
	errEnded  = errors.New("no further request is taken")
)

const (
	headMost  = maxHeader + 4<<10 // as net/http counts it
	firstRead = 2 << 10
	// lingerTime is what a client has to read its last answer before its connection closes: closed with
	// something unread on it, it would be reset, and the answer lost.
	lingerTime = 500 * time.Millisecond
	// A client that sends more behind its request than a head may be long is read on, so that its leaving shows: what
	// it sends is dropped. Of one that has left there can be no more than two systems hold for a connection (Linux's
	// defaults: 6 MB to be read, 4 MB to be written), and that is dropped at once, or its end would be seen late. One that
	// sends on past floodMost bytes is there: it costs floodPiece bytes each floodPause.
	floodMost  = 16 << 20
	floodPiece = 4 << 10
	floodPause = 10 * time.Millisecond
)

// serve reads requests until the connection ends.
func (c *clientConn) serve() {
	defer func() {
		p := recover()
		if p != nil { // it ends the agent, and is no reason to leave this client without an answer
			if c.waits() {
				c.failOpen()
			} else {
				c.send(c.f.appendError(nil, http.StatusBadGateway, "failed", "", true))
			}
		}
		c.hungUp(p == nil || c.waits())
		_ = c.nc.Close() // nothing can be done about a socket that does not close
		if p != nil {
			panic(p)
		}
	}()
	c.turn <- struct{}{}
	for first := true; ; first = false {
		end, err := c.readHead(first)
		if errors.Is(err, errHead) {
			if c.await() {
				c.fail(&inputError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the head is too large"})
			} else {
				c.linger()
			}
			return
		}
		if err != nil || !c.await() {
			if c.isEnding() {
				c.linger()
			}
			return
		}
		if first {
			go c.f.loop.ContainPanic(c.write)
		}
		switch fail := c.take(c.buf[c.start : c.start+end]); fail {
		case nil:
		case errUnread:
			c.await()
			c.linger()
			return
		default:
			c.fail(fail)
			return
		}
	}
}

// await waits until the answer before is out. It reports false where that was the last, or its client has left.
func (c *clientConn) await() bool {
	c.mu.Lock()
	c.watching = c.open != nil
	watching := c.watching
	c.mu.Unlock()
	if watching && !c.watch() {
		return false
	}
	<-c.turn
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = false
	return !c.ending
}

// watch reads on while an answer is awaited, or it would not be seen that the client has left. It reports whether the
// answer is out: next ends its read then.
func (c *clientConn) watch() bool {
	var scrap []byte // what is dropped
	for dropped := 0; ; {
		var into []byte
		if c.end-c.start < headMost {
			into = c.room()
		} else {
			if scrap == nil {
				buf := pieces.Get().(*[]byte)
				defer pieces.Put(buf)
				scrap = (*buf)[:floodPiece]
			}
			into = scrap
		}
		n, err := c.nc.Read(into)
		switch {
		case n == 0 && err != nil:
			return errors.Is(err, os.ErrDeadlineExceeded)
		case c.end-c.start < headMost:
			c.end, c.came = c.end+n, time.Now()
			continue
		case dropped == 0 && !c.drops():
			c.buf = append(c.buf[:c.end], scrap[:n]...)
			c.end, c.came = c.end+n, time.Now()
			return true
		}
		scrap = scrap[:cap(scrap)]
		if dropped += n; dropped > floodMost {
			scrap = scrap[:floodPiece]
			if c.f.ahead != nil {
				c.f.ahead(true)
			}
			select {
			case <-c.turn:
				c.turn <- struct{}{}
				return true
			case <-time.After(floodPause):
			}
		}
	}
}

// drops reports whether a client has sent more than is kept before any of its answer: what is dropped can't be
// answered, and the connection ends. One that has a part of its answer, if only the last byte is not yet booked, may
// have sent its next request, which is read when its turn comes.
func (c *clientConn) drops() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.f.ahead != nil {
		defer c.f.ahead(false)
	}
	if c.open == nil || c.begun {
		return false
	}
	c.ending = true
	return true
}

// room is where the next bytes are read to.
func (c *clientConn) room() []byte {
	if c.end == len(c.buf) {
		grown := make([]byte, max(firstRead, 2*len(c.buf)))
		copy(grown, c.buf[:c.end])
		c.buf = grown
	}
	return c.buf[c.end:]
}

func (c *clientConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// readHead reads until a head is whole, and returns its length behind c.start.
func (c *clientConn) readHead(first bool) (int, error) {
	if c.start == c.end {
		c.start, c.end = 0, 0
		if len(c.buf) > 2*firstRead {
			c.buf = nil // a connection that rests keeps little
		}
	}
	began := false
	if first {
		c.f.limiter.SetReadDeadline(c.nc, time.Now().Add(core.HeadTimeout)) // from connecting on, whatever comes of it
		began = true
	}
	for {
		for c.start < c.end && (c.buf[c.start] == '\r' || c.buf[c.start] == '\n') {
			c.start++ // empty lines ahead of a request line are passed over (RFC 9112, 2.2)
		}
		if n := headEnd(c.buf[c.start:c.end]); n > 0 {
			if n > headMost {
				return 0, errHead
			}
			return n, nil
		}
		if c.end-c.start >= headMost {
			return 0, errHead
		}
		if c.start > 0 {
			copy(c.buf, c.buf[c.start:c.end])
			c.start, c.end = 0, c.end-c.start
		}
		if c.end > 0 && !began {
			began = true
			if err := c.beginNext(); err != nil {
				return 0, err
			}
		}
		n, err := c.nc.Read(c.room())
		if n == 0 && err != nil {
			return 0, err
		}
		c.end, c.came = c.end+n, time.Now()
	}
}

// beginNext bounds the time of a request that has begun to come: its time runs from when the answer before is out.
func (c *clientConn) beginNext() error {
	c.mu.Lock()
	if c.open != nil {
		c.behind = true // next sets its time
		c.mu.Unlock()
		return nil
	}
	c.mu.Unlock()
	<-c.turn // the answer may still be on its way out
	c.turn <- struct{}{}
	if c.isEnding() {
		return errEnded
	}
	if !c.f.limiter.MarkBusy(c.nc) {
		return net.ErrClosed
	}
	return c.nc.SetReadDeadline(time.Now().Add(core.HeadTimeout))
}

// waits reports whether an answer is awaited.
func (c *clientConn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open != nil
}

// take reads the rest of a request and gives it to the loop. An error is the client's last answer.
func (c *clientConn) take(text []byte) *inputError {
	f := c.f
	if !f.limiter.MarkBusy(c.nc) {
		return &inputError{} // closed meanwhile: nobody reads an answer
	}
	h, err := parseHead(text, c.fields)
	c.fields = h.fields
	if err != nil {
		return &inputError{status: http.StatusBadRequest, text: err.Error()}
	}
	if h.old || h.closes {
		c.mu.Lock()
		c.ending = true
		c.mu.Unlock()
	}
	first, target, host, err := h.route()
	if err != nil {
		return &inputError{status: http.StatusBadRequest, text: "the target can't be read"}
	}
	if rest, ok := strings.CutPrefix(target, "/_health"); ok && (rest == "" || rest[0] == '?') {
		status := http.StatusOK
		if !f.loop.Healthy() {
			status = http.StatusServiceUnavailable
		}
		c.start += len(text)
		if h.length > 0 || h.coded {
			return bad("no body is taken here")
		}
		c.out = f.appendStatus(c.out[:0], status, c.ends())
		c.out = append(c.out, "Content-Length: 0\r\n\r\n"...)
		return c.done(c.out)
	}
	r, fail := c.parse(&h, first)
	if fail != nil {
		return fail
	}
	c.start += len(text)
	var body []byte
	var booked int
	var up *upload
	if h.length > 0 || h.coded {
		in, all := newBody(c, &h), false
		if body, booked, all, err = in.whole(f.bodies); err != nil {
			f.bodies.Release(booked)
			return faultOf(err)
		}
		if !all {
			up = &upload{body: in, whole: make(chan struct{})}
			r.Upload = true
		}
	}
	// A client's time runs from when its request was sent, which ends with the last byte. That of one behind another was
	// read no later than the last bytes that came meanwhile.
	r.Deadline = c.came.Add(r.Remaining)
	if up != nil {
		r.Deadline = time.Now().Add(r.Remaining) // of no matter until its own last byte
	}
	r.Message = h.message(target, host, body, up).from(c, h.old, r.Remaining)
	if up == nil && !time.Now().Before(r.Deadline) { // its time has run out behind another one
		f.bodies.Release(booked)
		return c.refuse(r)
	}
	// Past what the limits let an agent hold, a request is turned away before anything has run.
	if f.open.Add(1) > f.most.Load() {
		f.open.Add(-1)
		f.bodies.Release(booked)
		c.mu.Lock()
		c.ending = true // as where the connection limiter is near its capacity
		c.mu.Unlock()
		return c.refuse(r)
	}
	// While its answer is awaited a client may be silent. Before that is: from then on next sets what bounds the reader.
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		f.open.Add(-1)
		f.bodies.Release(booked)
		return &inputError{} // it is closed, and nothing has been asked of anybody
	}
	c.mu.Lock()
	c.open, c.booked, c.up, c.begun, c.behind = r, booked, up, false, false
	c.mu.Unlock()
	if up != nil {
		f.uploads.Add(1)
	}
	f.loop.Submit(r)
	if f.ended.Load() { // meanwhile, or before: it may have gone unseen
		c.failOpen()
	}
	if up == nil || up.wait(r, f.loop, c.nc) {
		return nil
	}
	return errUnread
}

// done writes an answer that needed nobody, and goes on to the next request. An error ends the reader.
func (c *clientConn) done(text []byte) *inputError {
	if !c.send(text) {
		return &inputError{}
	}
	c.next()
	return nil
}

// refuse answers a request of which nobody else has heard.
func (c *clientConn) refuse(r *core.Request) *inputError {
	a := core.Answer{Refused: true}
	c.f.loop.ClassCounts(r.Class).CountAnswer(a)
	c.out = c.f.appendRefusal(c.out[:0], a, c.ends())
	return c.done(c.out)
}

// ends reports whether the answer that is written now is the last one.
func (c *clientConn) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endsLocked()
}

func (c *clientConn) endsLocked() bool {
	c.ending = c.ending || c.f.draining.Load() || c.f.limiter.NearCapacity()
	return c.ending
}

// next has the connection wait for its next request, or end, after an answer.
func (c *clientConn) next() {
	c.mu.Lock()
	switch {
	case c.ending:
		// The reader learns it from its read, and lets the client read this answer.
		c.closeWrite()
		_ = c.nc.SetReadDeadline(core.LongAgo)
	case c.watching: // it goes on with the request that it has
		_ = c.nc.SetReadDeadline(core.LongAgo)
	case c.behind:
		_ = c.nc.SetReadDeadline(time.Now().Add(core.HeadTimeout))
	default:
		c.f.limiter.SetReadDeadline(c.nc, time.Now().Add(idleTimeout)) // a dead connection shows by its read
		c.f.limiter.MarkIdle(c.nc)
	}
	c.mu.Unlock()
	c.turn <- struct{}{}
}

// fail writes a last answer to a request that can't be taken. What is left of a body is not read, and
// must not be taken for the next request. Nor does such a client keep a place that others wait for.
func (c *clientConn) fail(e *inputError) {
	if e.status == 0 {
		return
	}
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	if c.send(c.f.appendError(c.out[:0], e.status, e.text, e.allow, true)) {
		c.closeWrite()
		c.linger()
	}
}

func (c *clientConn) closeWrite() {
	if w, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
}

// linger reads what a client still sends, so that the close is no reset, until it closes too.
func (c *clientConn) linger() {
	buf := make([]byte, 1024)
	c.f.limiter.SetReadDeadline(c.nc, time.Now().Add(lingerTime))
	for {
		if _, err := c.nc.Read(buf); err != nil {
			return
		}
	}
}

func (c *clientConn) send(text []byte) bool {
	if c.nc.SetWriteDeadline(time.Now().Add(c.f.writeTime)) != nil {
		return false
	}
	_, err := c.nc.Write(text)
	return err == nil
}

// hungUp tells the loop that nobody waits for the open answer, and the writer that it is the last. With a last word that
// is waited for: a client that has ended its sending alone still reads, and is told that nothing more is done for it.
func (c *clientConn) hungUp(lastWord bool) {
	c.mu.Lock()
	r := c.open
	c.over = true
	c.mu.Unlock()
	if r == nil {
		c.say(reply{end: true})
		return
	}
	c.f.loop.ClientDisconnected(r)
	if lastWord {
		limit := time.NewTimer(lingerTime) // one that does not read holds nothing up
		defer limit.Stop()
		select {
		case <-c.turn: // the writer is done
		case <-limit.C:
		}
	}
}

// reply is what the writer is told: a final answer, or that none will follow.
type reply struct {
	core.Answer
	end bool
}

// say tells the writer. It never waits: a request is answered once.
func (c *clientConn) say(r reply) {
	select {
	case c.replies <- r:
	default:
	}
}

// failOpen answers what is open failed, where the loop has ended and will not.
func (c *clientConn) failOpen() {
	c.mu.Lock()
	r := c.open
	c.mu.Unlock()
	if r != nil {
		r.Abort()
	}
}

// write gives answers, until the reader has ended and none is awaited.
func (c *clientConn) write() {
	for r := range c.replies {
		if r.end {
			return
		}
		if !c.waits() {
			continue // answered twice, as the agent ended
		}
		text := c.conclude(r.Answer)
		ok := text != nil && (len(text) == 0 || c.send(text))
		if cap(text) <= 16<<10 {
			c.out = text
		} else {
			c.out = nil
		}
		if !ok {
			c.mu.Lock()
			c.ending = true
			c.mu.Unlock()
			_ = c.nc.Close()
		}
		c.next()
		c.mu.Lock()
		over := c.over
		c.mu.Unlock()
		if over {
			return
		}
	}
}

// conclude ends the open request with its final answer, and returns what is still to be written of that; nil: it
// can't be, and the client must see so.
func (c *clientConn) conclude(a core.Answer) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fail *inputError
	if c.up != nil && c.up.state.CompareAndSwap(coming, left) {
		c.ending = true // what is left of its body is not the next request
		c.f.uploads.Add(-1)
		fail = c.up.fault.Load()
	}
	if fail == nil {
		c.f.loop.ClassCounts(c.open.Class).CountAnswer(a)
	}
	begun := c.begun
	c.open, c.up, c.begun = nil, nil, false
	c.f.bodies.Release(c.booked)
	c.booked = 0
	c.f.open.Add(-1)
	switch {
	case begun && a.Served == nil: // an end of the connection that is no end of the answer
		if t, ok := c.nc.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0)
		}
		return nil
	case begun:
		return []byte{}
	case fail != nil:
		return c.f.appendError(c.out[:0], fail.status, fail.text, fail.allow, true)
	}
	return c.f.appendAnswer(c.out[:0], a, c.endsLocked())
}

// parse checks a request, up to its body.
func (c *clientConn) parse(h *head, first string) (r *core.Request, fail *inputError) {
	f := c.f
	switch {
	// A body in chunks that comes with a Content-Length may hide a second request from one of the two sides
	// (RFC 9112, 11.2).
	case h.coded && (h.measured || h.old):
		return nil, bad("a body has one end: by its length or by its chunks")
	case h.coded && !h.chunked:
		return nil, &inputError{status: http.StatusNotImplemented, text: "the only transfer coding here is chunked"}
	case h.otherExpect:
		return nil, &inputError{status: http.StatusExpectationFailed, text: "what is expected is not known here"}
	}
	class, ok := f.classes[first]
	if !ok {
		return nil, &inputError{status: http.StatusNotFound, text: "no such class of requests"}
	}
	settings := &f.cfg.Settings.Classes[class]
	method := http.MethodPost
	if settings.Effect == decide.Idempotent {
		method = http.MethodGet
	}
	if string(h.method) != method {
		return nil, &inputError{status: http.StatusMethodNotAllowed, text: "this class takes " + method, allow: method}
	}
	if method == http.MethodGet && (h.length != 0 || h.coded) {
		return nil, bad("this class has no body")
	}
	if h.ids != 1 || len(h.id) == 0 || len(h.id) > maxID {
		return nil, bad("X-Trace-Id: one of 1 to 256 bytes is needed")
	}
	if settings.Effect == decide.Keyed && (h.keys != 1 || len(h.key) == 0 || len(h.key) > maxID) {
		return nil, bad("Idempotency-Key: one of 1 to 256 bytes is needed")
	}
	wait := settings.Deadline
	if len(h.expires) > 0 {
		s, err := parseDecimal(string(h.expires))
		if err != nil || !(s > 0) {
			return nil, bad("X-Expires-In: not a number of seconds above 0")
		}
		wait = min(wait, time.Duration(min(s, wait.Seconds())*float64(time.Second)))
	}
	r = core.NewRequest(string(h.id), class, func(a core.Answer) { c.say(reply{Answer: a}) })
	r.Remaining, r.ClientRetry, r.Client = wait, h.second, c.nc
	if len(h.hint) > 0 {
		us, err := parseDecimal(string(h.hint))
		if err != nil || !(us >= 0) || us > math.MaxInt32 {
			return nil, bad("X-Size-Hint: not a number of microseconds")
		}
		r.Work = time.Duration(us * float64(time.Microsecond))
	}
	if h.length > maxBody {
		return nil, faultOf(errTooLong)
	}
	return r, nil
}

func appendInt(b []byte, n int) []byte { return strconv.AppendInt(b, int64(n), 10) }
