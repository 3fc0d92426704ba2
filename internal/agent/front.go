package agent

import (
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brookferry"
)

// front takes clients' requests and gives them the loop's answers.
type front struct {
	cfg     *Config
	loop    *loop
	server  *http.Server
	most    int // requests open at once, and connections past which none is kept
	open    atomic.Int64
	classes map[string]int

	mu     sync.Mutex
	conns  int
	silent map[net.Conn]bool // have not sent a request yet
}

const (
	headerTimeout = 10 * time.Second // for a client that opens a connection and sends nothing
	idleTimeout   = 2 * time.Minute
	maxHeader     = 32 << 10
)

func newFront(cfg *Config, l *loop, log *slog.Logger) *front {
	f := &front{cfg: cfg, loop: l, most: clientSockets(cfg.Sockets), classes: map[string]int{},
		silent: map[net.Conn]bool{}}
	if cfg.Site.MaxOpen > 0 {
		f.most = min(f.most, cfg.Site.MaxOpen)
	}
	for i, name := range cfg.Site.Classes {
		f.classes[name] = i
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		// No ReadTimeout: it would go on running while the answer is awaited and pass for a hang-up.
		WriteTimeout:   2*cfg.longest() + headerTimeout,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      f.track,
	}
	return f
}

// track counts connections as they come and go.
func (f *front) track(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.silent, c)
	switch s {
	case http.StateNew:
		f.silent[c] = true
		f.conns++
	case http.StateClosed:
		f.conns--
	}
}

// crowded reports whether more connections are open than are to be kept.
func (f *front) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns > f.most
}

// closeSilent closes the connections on which nothing was ever sent.
func (f *front) closeSilent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.silent {
		c.Close()
	}
}

// ServeHTTP takes one request. There is no mux: it would answer unclean paths with redirects.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.URL.Path == "/_health" {
		status := http.StatusOK
		if !f.loop.ready.Load() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	if f.crowded() {
		w.Header().Set("Connection", "close") // too many are kept: let this one go after its answer
	}
	r, err := f.parse(w, hr)
	if err != nil {
		http.Error(w, err.text, err.status)
		return
	}
	// Past what the limits let an agent hold, a request is turned away before anything has run.
	if f.open.Add(1) > int64(f.most) {
		f.open.Add(-1)
		f.refuse(w, 0)
		return
	}
	defer f.open.Add(-1)
	f.answer(w, f.wait(hr, r))
}

// wait posts a request and waits for its answer.
func (f *front) wait(hr *http.Request, r *request) reply {
	f.loop.post(arrived{r})
	// A request that comes with less than a tick left is answered by the step that first sees it;
	// the grace after the deadline is there for this.
	late := time.NewTimer(time.Until(r.deadline) + f.cfg.Settings.AnswerGrace/2)
	defer late.Stop()
	hungUp := hr.Context().Done()
	for {
		select {
		case a := <-r.reply:
			return a
		case <-hungUp:
			f.loop.post(left{r})
			hungUp = nil
		case <-late.C:
			f.loop.post(overdue{r})
		case <-f.loop.stopped:
			return reply{}
		}
	}
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
func (f *front) parse(w http.ResponseWriter, hr *http.Request) (*request, *inputError) {
	first, _, _ := strings.Cut(strings.TrimPrefix(hr.URL.Path, "/"), "/")
	class, ok := f.classes[first]
	if !ok {
		return nil, &inputError{http.StatusNotFound, "no such class of requests"}
	}
	settings := f.cfg.Settings.Classes[class]
	method := http.MethodPost
	if settings.Effect == brookferry.Safe {
		method = http.MethodGet
	}
	if hr.Method != method {
		w.Header().Set("Allow", method)
		return nil, &inputError{http.StatusMethodNotAllowed, "this class takes " + method}
	}
	h := hr.Header
	r := newRequest(h.Get("X-Trace-Id"), class)
	r.repeat = h.Get("X-Second-Try") == "1"
	if r.id == "" {
		return nil, bad("X-Trace-Id: missing")
	}
	if settings.Effect == brookferry.Keyed && h.Get("Idempotency-Key") == "" {
		return nil, bad("Idempotency-Key: missing")
	}
	wait := settings.Deadline
	if text := h.Get("X-Expires-In"); text != "" {
		s, err := strconv.ParseFloat(text, 64)
		if err != nil || !(s > 0) || math.IsInf(s, 0) {
			return nil, bad("X-Expires-In: not a number of seconds above 0")
		}
		wait = min(wait, time.Duration(min(s, wait.Seconds())*float64(time.Second)))
	}
	if text := h.Get("X-Size-Hint"); text != "" {
		us, err := strconv.ParseFloat(text, 64)
		if err != nil || !(us >= 0) || us > math.MaxInt32 {
			return nil, bad("X-Size-Hint: not a number of microseconds")
		}
		r.work = time.Duration(us * float64(time.Microsecond))
	}
	body, fail := f.readBody(w, hr, settings.Deadline)
	if fail != nil {
		return nil, fail
	}
	// A client's time runs from when its request was sent, which ends with the last byte.
	r.deadline, r.left = time.Now().Add(wait), wait
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
	if _, set := header["User-Agent"]; !set {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	r.message = &message{method: method, host: hr.Host, url: &u, header: header, body: body}
	return r, nil
}

func (f *front) readBody(w http.ResponseWriter, hr *http.Request, within time.Duration) ([]byte, *inputError) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	// A body that stops coming must not hold the connection for ever.
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, &inputError{http.StatusInternalServerError, "can't read the body"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxBody))
	if err == nil {
		err = rc.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &inputError{http.StatusRequestEntityTooLarge, "the body is larger than 64 KiB"}
	case err != nil:
		return nil, bad("the body can't be read")
	}
	return body, nil
}

// answer writes a final answer. If it can't be written whole, net/http closes the connection
// short of its Content-Length, so that the client can tell.
func (f *front) answer(w http.ResponseWriter, a reply) {
	switch {
	case a.served != nil:
		h := w.Header()
		for name, values := range a.served.header {
			if !slices.Contains(hopHeaders, name) {
				h[name] = values
			}
		}
		if _, set := h["Content-Type"]; !set {
			h["Content-Type"] = nil // keeps net/http from guessing one
		}
		h.Set("Content-Length", strconv.Itoa(len(a.served.body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.served.body) // a client that is gone needs no answer
	case a.refused:
		f.refuse(w, a.retryAfter)
	case a.duplicate:
		http.Error(w, "a request with this X-Trace-Id is open", http.StatusConflict)
	case a.timedOut:
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
