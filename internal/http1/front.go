package http1

import (
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

// front takes clients' requests and gives them the loop's answers.
type front struct {
	cfg     *core.Config
	loop    *core.Loop
	server  *http.Server
	gate    *core.Gate
	most    int // requests open at once
	open    atomic.Int64
	bodies  *core.Budget
	classes map[string]int
	// draining has connections end with their next answer. http.Server.SetKeepAlivesEnabled also closes
	// idle ones, and with them some whose request it has just read.
	draining atomic.Bool
}

const (
	// Few clients come back to a connection after so long; each one kept costs memory.
	idleTimeout = 15 * time.Second
	maxHeader   = 16 << 10
	maxID       = 256 // bytes of an id or a key
)

func newFront(cfg *core.Config, l *core.Loop, log *slog.Logger) *front {
	f := &front{cfg: cfg, loop: l, bodies: core.NewBudget(cfg.BodyMemory()), most: core.ClientSockets(cfg.Sockets), classes: map[string]int{}}
	if cfg.Site.MaxOpen > 0 {
		f.most = min(f.most, cfg.Site.MaxOpen)
	}
	for i, name := range cfg.Site.Classes {
		f.classes[name] = i
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: core.HeadTime,
		IdleTimeout:       idleTimeout,
		// No ReadTimeout: it would go on running while the answer is awaited and pass for a hang-up.
		WriteTimeout:   2*cfg.Longest() + core.HeadTime,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      f.track,
	}
	return f
}

// track tells the gate where each connection stands.
func (f *front) track(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateActive:
		f.gate.Busy(c)
	case http.StateIdle:
		f.gate.Idle(c)
	}
}

// ServeHTTP takes one request. There is no mux: it would answer unclean paths with redirects. A
// panic ends the agent, and is no reason to leave this client without an answer.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	whole := false
	defer func() {
		if !whole {
			http.Error(w, "failed", http.StatusBadGateway) // does nothing after a head
		}
	}()
	f.loop.Guard(func() {
		f.serve(w, hr)
		whole = true
	})
}

func (f *front) serve(w http.ResponseWriter, hr *http.Request) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if hr.URL.Path == "/_health" {
		status := http.StatusOK
		if !f.loop.Known() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	r, err := f.parse(w, hr)
	if err != nil {
		// What is left of a body is not read, and must not be taken for the next request. Nor does a
		// client that sends what can't be taken keep a place that others wait for.
		w.Header().Set("Connection", "close")
		http.Error(w, err.text, err.status)
		return
	}
	defer f.bodies.Put(len(r.Message.(*message).body))
	// Past what the limits let an agent hold, a request is turned away before anything has run.
	if f.open.Add(1) > int64(f.most) {
		f.open.Add(-1)
		w.Header().Set("Connection", "close") // as where the gate is crowded
		f.refuse(w, 0)
		return
	}
	defer f.open.Add(-1)
	a := f.wait(hr, r)
	if f.gate.Crowded() || f.draining.Load() {
		w.Header().Set("Connection", "close") // too many are kept: let this one go after its answer
	}
	f.answer(w, a)
}

// wait gives a request to the loop and waits for its answer.
func (f *front) wait(hr *http.Request, r *taken) core.Answer {
	f.loop.Take(r.Request)
	hungUp := hr.Context().Done()
	for {
		select {
		case a := <-r.reply:
			return a
		default:
		}
		select {
		case a := <-r.reply:
			return a
		case <-hungUp:
			f.loop.Leave(r.Request)
			hungUp = nil
		case <-f.loop.Stopped():
			return core.Answer{}
		}
	}
}

// taken is a request with the way back for its answer.
type taken struct {
	*core.Request
	reply chan core.Answer // of one, so that the loop never waits
}

func newTaken(id string, class int) *taken {
	reply := make(chan core.Answer, 1)
	return &taken{core.NewRequest(id, class, func(a core.Answer) { reply <- a }), reply}
}

// inputError is an answer to a request that can't be taken. Its status says 'failed', never
// that another try is harmless.
type inputError struct {
	status int
	text   string
}

func bad(text string) *inputError { return &inputError{http.StatusBadRequest, text} }

// hopHeaders end at the agent (RFC 9110, 7.6.1), or are set anew.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "X-Expires-In"}

// parse reads a request whole and checks it.
func (f *front) parse(w http.ResponseWriter, hr *http.Request) (*taken, *inputError) {
	// net/http takes a chunked body that comes with a Content-Length and drops the latter unseen.
	// Such a message may hide a second request from one of the two sides (RFC 9112, 11.2), so that
	// no chunked body is taken at all: a length told beforehand also bounds what is kept.
	if hr.ContentLength < 0 || len(hr.TransferEncoding) > 0 {
		return nil, &inputError{http.StatusLengthRequired, "a body needs a Content-Length"}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(hr.URL.Path, "/"), "/")
	class, ok := f.classes[first]
	if !ok {
		return nil, &inputError{http.StatusNotFound, "no such class of requests"}
	}
	settings := f.cfg.Settings.Classes[class]
	method := http.MethodPost
	if settings.Effect == decide.Safe {
		method = http.MethodGet
	}
	if hr.Method != method {
		w.Header().Set("Allow", method)
		return nil, &inputError{http.StatusMethodNotAllowed, "this class takes " + method}
	}
	if method == http.MethodGet && hr.ContentLength != 0 {
		return nil, bad("this class has no body")
	}
	h := hr.Header
	r := newTaken(h.Get("X-Trace-Id"), class)
	r.Repeat = h.Get("X-Second-Try") == "1"
	needed := []string{"X-Trace-Id"}
	if settings.Effect == decide.Keyed {
		needed = append(needed, "Idempotency-Key")
	}
	for _, name := range needed {
		if v := h[name]; len(v) != 1 || v[0] == "" || len(v[0]) > maxID {
			return nil, bad(name + ": one of 1 to 256 bytes is needed")
		}
	}
	wait := settings.Deadline
	if text := h.Get("X-Expires-In"); text != "" {
		s, err := parseDecimal(text)
		if err != nil || !(s > 0) {
			return nil, bad("X-Expires-In: not a number of seconds above 0")
		}
		wait = min(wait, time.Duration(min(s, wait.Seconds())*float64(time.Second)))
	}
	if text := h.Get("X-Size-Hint"); text != "" {
		us, err := parseDecimal(text)
		if err != nil || !(us >= 0) || us > math.MaxInt32 {
			return nil, bad("X-Size-Hint: not a number of microseconds")
		}
		r.Work = time.Duration(us * float64(time.Microsecond))
	}
	body, fail := f.readBody(w, hr)
	if fail != nil {
		return nil, fail
	}
	// A client's time runs from when its request was sent, which ends with the last byte.
	r.Deadline, r.Left = time.Now().Add(wait), wait
	u := url.URL{Path: hr.URL.Path, RawPath: hr.URL.RawPath, RawQuery: hr.URL.RawQuery, ForceQuery: hr.URL.ForceQuery}
	header := h.Clone()
	for _, connection := range h["Connection"] {
		for name := range strings.SplitSeq(connection, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	r.Message = newMessage(method, hr.Host, &u, header, body)
	return r, nil
}

// parseDecimal reads a plain decimal number. ParseFloat alone also takes names and hexadecimals.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "+-.eE0123456789") != "" || len(text) > 32 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}

// readBody reads a body of the told length. Its bytes stay booked until the answer.
func (f *front) readBody(w http.ResponseWriter, hr *http.Request) ([]byte, *inputError) {
	n := int(min(hr.ContentLength, maxBody+1))
	switch {
	case n == 0:
		return nil, nil
	case n > maxBody:
		return nil, &inputError{http.StatusRequestEntityTooLarge, "the body is larger than 64 KiB"}
	case !f.bodies.Take(n):
		return nil, &inputError{http.StatusServiceUnavailable, "too many large bodies at once"}
	}
	// A body that stops coming must not hold the connection for ever.
	rc := http.NewResponseController(w)
	err := rc.SetReadDeadline(time.Now().Add(core.HeadTime))
	body := make([]byte, n)
	if err == nil {
		_, err = io.ReadFull(hr.Body, body)
	}
	if err == nil {
		// net/http learns that the body has ended, and notices hang-ups, by a read past its end.
		_, err = io.Copy(io.Discard, hr.Body)
	}
	if err == nil {
		err = rc.SetReadDeadline(time.Time{})
	}
	if err != nil {
		f.bodies.Put(n)
		return nil, bad("the body can't be read")
	}
	return body, nil
}

// answer writes a final answer. If it can't be written whole, net/http closes the connection
// short of its Content-Length, so that the client can tell.
func (f *front) answer(w http.ResponseWriter, a core.Answer) {
	served, _ := a.Served.(*answer)
	switch {
	case served != nil:
		h := w.Header()
		for name, values := range served.header {
			if !slices.Contains(hopHeaders, name) {
				h[name] = values
			}
		}
		if _, set := h["Content-Type"]; !set {
			h["Content-Type"] = nil // keeps net/http from guessing one
		}
		h.Set("Content-Length", strconv.Itoa(len(served.body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(served.body) // a client that is gone needs no answer
	case a.Refused:
		f.refuse(w, a.RetryAfter)
	case a.Duplicate:
		http.Error(w, "there is, or just was, another request with this X-Trace-Id", http.StatusConflict)
	case a.TimedOut:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// refuse says that trying again is harmless, and when to, where clients are shown that.
func (f *front) refuse(w http.ResponseWriter, after time.Duration) {
	if after > 0 && f.cfg.Settings.RetryAfter {
		after = min(after, f.cfg.Settings.MaxRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
