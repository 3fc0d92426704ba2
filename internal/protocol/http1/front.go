package http1

import (
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// front takes clients' requests and gives them the loop's answers.
type front struct {
	cfg          *core.Config
	loop         *core.Loop
	limiter      *core.ConnLimiter
	log          *slog.Logger
	maxOpen      atomic.Int64 // requests open at once
	openRequests atomic.Int64
	openUploads  atomic.Int64 // of these, those whose last byte has not come
	bodyBudget   *core.ByteBudget
	classes      map[string]int
	writeTimeout time.Duration // what a client has to take an answer
	loopEnded    atomic.Bool   // the loop has
	// draining has connections end with their next answer.
	draining atomic.Bool
	// overflowHook is a test's; else nil. It is told that a reader has come to the end of what is kept ahead, and of each pause
	// that a flood has.
	overflowHook func(pause bool)

	mu      sync.Mutex
	conns   map[*clientConn]bool
	running sync.WaitGroup
}

const (
	// Few clients come back to a connection after so long; each one kept costs memory.
	idleTimeout = 15 * time.Second
	maxHeader   = 16 << 10
	maxID       = 256 // bytes of an id or a key
)

func newFront(cfg *core.Config, l *core.Loop, log *slog.Logger) *front {
	f := &front{cfg: cfg, loop: l, log: log, bodyBudget: core.NewByteBudget(0),
		classes: map[string]int{}, writeTimeout: 2*cfg.MaxDeadline() + core.HeadTimeout, conns: map[*clientConn]bool{}}
	f.resize(cfg.Sockets, cfg.BodyMemory())
	for i, name := range cfg.Site.Classes {
		f.classes[name] = i
	}
	return f
}

func (f *front) resize(sockets, bytes int) {
	maxOpen := core.ClientSockets(sockets)
	if f.cfg.Site.MaxOpen > 0 {
		maxOpen = min(maxOpen, f.cfg.Site.MaxOpen)
	}
	f.maxOpen.Store(int64(maxOpen))
	f.bodyBudget.Resize(bytes)
}

// serve takes connections until the limiter is closed.
func (f *front) serve(limiter *core.ConnLimiter) error {
	f.limiter = limiter
	go func() {
		<-f.loop.Stopped()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.loopEnded.Store(true)
		for c := range f.conns {
			c.abortPending()
		}
	}()
	for {
		nc, err := limiter.Accept()
		if err != nil {
			return err
		}
		c := &clientConn{front: f, conn: nc, responseDone: make(chan struct{}, 1), finalAnswers: make(chan finalAnswer, 3)}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		f.running.Go(func() {
			defer func() {
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
			}()
			f.loop.ContainPanic(c.serve)
		})
	}
}

// closeConnections ends what is left of clients' connections.
func (f *front) closeConnections() error {
	f.mu.Lock()
	for c := range f.conns {
		_ = c.conn.Close()
	}
	f.mu.Unlock()
	f.running.Wait()
	return nil
}

// requestError is an answer to a request that can't be taken. Its status says 'failed', never
// that another try is harmless.
type requestError struct {
	status int // 0: nobody is there to read an answer
	text   string
	allow  string
}

func badRequest(text string) *requestError {
	return &requestError{status: http.StatusBadRequest, text: text}
}

// parseDecimal reads a plain decimal number. ParseFloat alone also takes names and hexadecimals.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "+-.eE0123456789") != "" || len(text) > 32 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}

// appendStatus begins an answer, up to the fields that are its own.
func (f *front) appendStatus(b []byte, status int, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = appendInt(b, status)
	b = append(append(b, ' '), http.StatusText(status)...)
	b = append(b, "\r\n"...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// date is the present time as a Date (RFC 9110, 6.6.1), made anew each second.
func date() string {
	now := time.Now().Unix()
	if d := lastDate.Load(); d != nil && d.second == now {
		return d.text
	}
	d := &dateText{now, time.Unix(now, 0).UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}

type dateText struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[dateText]

// appendError is an answer in words.
func (f *front) appendError(b []byte, status int, text, allow string, last bool) []byte {
	b = f.appendStatus(b, status, last)
	if allow != "" {
		b = append(append(append(b, "Allow: "...), allow...), "\r\n"...)
	}
	return f.appendText(b, text)
}

// appendText ends an answer in words.
func (f *front) appendText(b []byte, text string) []byte {
	b = append(append(append(b, "Date: "...), date()...), "\r\n"...)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\nContent-Length: "...)
	b = appendInt(b, len(text)+1)
	b = append(b, "\r\n\r\n"...)
	return append(append(b, text...), '\n')
}

// appendAnswer is a final answer. If it can't be written whole, its connection ends short of its
// Content-Length, so that the client can tell.
func (f *front) appendAnswer(b []byte, a core.Answer, last bool) []byte {
	served, _ := a.Served.(*response)
	switch {
	case served != nil:
		b = f.appendStatus(b, http.StatusOK, last)
		if !served.hasDate {
			b = append(append(append(b, "Date: "...), date()...), "\r\n"...)
		}
		b = append(b, served.headerLines...)
		b = append(b, "Content-Length: "...)
		b = appendInt(b, len(served.body))
		b = append(b, "\r\n\r\n"...)
		return append(b, served.body...)
	case a.Refused:
		return f.appendRefusal(b, a, last)
	case a.Duplicate:
		return f.appendError(b, http.StatusConflict, "there is, or just was, another request with this X-Trace-Id", "", last)
	case a.TimedOut:
		return f.appendError(b, http.StatusGatewayTimeout, "no answer in time", "", last)
	}
	if a.Limit != "" {
		return f.appendError(b, http.StatusBadGateway, "failed: no further try, for the fleet's limit "+a.Limit, "", last)
	}
	return f.appendError(b, http.StatusBadGateway, "failed", "", last)
}

// appendRefusal says that trying again is harmless, and when to, where clients are shown that.
func (f *front) appendRefusal(b []byte, a core.Answer, last bool) []byte {
	after := a.RetryAfter
	b = f.appendStatus(b, http.StatusServiceUnavailable, last)
	if after > 0 && f.cfg.Settings.RetryAfter {
		after = min(after, f.cfg.Settings.MaxRetryAfter)
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, after.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if a.Limit != "" {
		return f.appendText(b, "refused, try again: the fleet's limit "+a.Limit)
	}
	if a.Policy != "" {
		return f.appendText(b, "refused, try again: "+a.Policy)
	}
	if a.Ejected != "" {
		return f.appendText(b, "refused, try again: the fleet's verdicts keep from it "+a.Ejected)
	}
	return f.appendText(b, "refused, try again")
}
