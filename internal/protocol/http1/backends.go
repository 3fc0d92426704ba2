package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/wire"
)

var (
	errBroke = errors.New("the connection ended before its answer")
)

// message is a client's request as it goes on to backends: the same for every attempt, but for
// how long the agent will wait.
type message struct {
	head []byte // the request line and headers, without X-Expires-In and the empty line
	body []byte
	up   *upload     // what is to come of the body; nil: nothing
	to   *clientConn // whose client may get an answer as it comes; nil: none may
	old  bool        // that client speaks HTTP/1.0
	wait time.Duration
}

// from says whose request it is, and for how long its client waits.
func (m *message) from(c *clientConn, old bool, wait time.Duration) *message {
	m.to, m.old, m.wait = c, old, wait
	return m
}

// on is the whole message as written at an attempt that waits until then.
func (m *message) on(until time.Time) []byte {
	text := make([]byte, 0, len(m.head)+len(m.body)+40)
	text = append(text, m.head...)
	if !until.IsZero() {
		wait := time.Until(until)
		if m.up != nil { // counted from its last byte
			wait = m.wait
		}
		text = append(text, "X-Expires-In: "...)
		text = strconv.AppendFloat(text, max(0, wait.Seconds()), 'f', 3, 64)
		text = append(text, "\r\n"...)
	}
	text = append(text, "\r\n"...)
	return append(text, m.body...)
}

// backends holds the connections to all backends. It makes exactly the attempts it is told to:
// each is one request written at most once on one connection.
type backends struct {
	cfg     *core.Config
	log     *slog.Logger
	longest time.Duration // for which a connection may stand idle by the settings
	stall   time.Duration // for which an answer that streams may bring nothing
	answers *core.Budget  // bytes of answers that are being read
	dialer  func(ctx context.Context, network, addr string) (net.Conn, error)
	readers sync.Pool // of *bufio.Reader

	mu    sync.Mutex
	most  int // connections at once
	addrs core.Addresses
	// keepIdle is for how long one is kept: shorter than longest where those that stood idle were
	// found to be dead.
	keepIdle time.Duration
	idle     map[string][]*conn // by backend id, the latest used last; none empty
	open     int                // idle, in use or being dialled
	trip     time.Duration      // what half of the connections come up within
	leaves   float64            // attempts that may go elsewhere for a late one: what served pays for it
	late     map[string]bool    // by backend id: one is still being dialled that its attempt did not wait for
	closed   bool               // the agent has ended: nothing is kept
	lasting  context.Context    // until then
	end      func()
}

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	addr  string
	trip  time.Duration // what it took to come up
	since time.Time     // idle since then
	stood time.Duration // how long it stood idle before its present use
	wrote time.Time     // its present use began
}

// restTime is how long a connection rests after an answer, if there is another: what a backend
// wrongly sends behind an answer comes some milliseconds later, and must not be read as the next one. The rest costs
// connections, since at full speed each carries no more than one request in the time. A backend that has long sent
// nothing of the kind rests as long: the first time that it does, another client would get its answer.
const restTime = 20 * time.Millisecond

func newBackends(cfg *core.Config, log *slog.Logger) *backends {
	lasting, end := context.WithCancel(context.Background())
	return &backends{cfg: cfg, log: log, lasting: lasting, end: end, most: core.BackendSockets(cfg.Sockets),
		// Backends may close an idle connection at IdleClose; a request that crosses that is lost
		// as a reset that may have run. A quarter of the time is far more than any network takes.
		longest: cfg.Site.IdleClose * 3 / 4, keepIdle: cfg.Site.IdleClose * 3 / 4,
		answers: core.NewBudget(cfg.BodyMemory()), stall: answerStall,
		dialer:  (&net.Dialer{KeepAlive: -1}).DialContext,
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		idle:    map[string][]*conn{}, late: map[string]bool{}, trip: cfg.Settings.ConnectTimeout, leaves: leavesMost}
}

// clean reports whether an idle connection is open and has nothing to read: there is no answer
// that bytes on it could belong to.
func (c *conn) clean() (quiet bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // a test's
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// wasDead reports whether a connection that was reset so long after a request was written to it can have been dead
// before: what finds nobody at the other end is answered at once. One that breaks later broke under the request, and
// where that is common, not to keep idle ones would cost a new connection for nearly every attempt.
func (c *conn) wasDead(after time.Duration) bool { return after <= 2*c.trip+restTime/8 }

// useless reports whether an idle connection is of no more use. The lock is held.
func (b *backends) useless(c *conn, stood time.Duration) bool {
	return stood >= b.keepIdle || !c.clean()
}

func (b *backends) resize(sockets, bytes int) {
	b.answers.Resize(bytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.most = core.BackendSockets(sockets); b.open > b.most && b.evict(); {
	}
}

// update takes a change of the list. Connections to a backend that is gone or has moved are
// closed.
func (b *backends) update(e core.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addrs.Update(e, func(id string) {
		for _, c := range b.idle[id] {
			b.drop(c)
		}
		delete(b.idle, id)
	})
}

// drop closes a connection. The lock is held; closing a socket does not block.
func (b *backends) drop(c *conn) {
	b.open--
	c.Close()
}

// take returns an idle connection to a backend, or the address at which to dial one.
func (b *backends) take(id string) (*conn, string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.addrs.Of(id)
	if !ok {
		return nil, "", core.ErrMoved
	}
	// They lie in the order in which they were put back: under load those used last have not rested yet.
	list, now := b.idle[id], time.Now()
	first := sort.Search(len(list), func(i int) bool { return now.Sub(list[i].since) < restTime })
	for i := first - 1; i >= 0; i-- {
		c, rested := list[i], now.Sub(list[i].since)
		list = slices.Delete(list, i, i+1)
		if !b.useless(c, rested) {
			c.stood = rested
			b.keep(id, list)
			return c, addr, nil
		}
		b.drop(c)
	}
	b.keep(id, list)
	if b.open >= b.most && !b.evict() {
		return nil, "", core.ErrNoSocket
	}
	b.open++
	return nil, addr, nil
}

// keep stores a backend's idle connections. The lock is held.
func (b *backends) keep(id string, list []*conn) {
	if len(list) == 0 {
		delete(b.idle, id)
	} else {
		b.idle[id] = list
	}
}

// evict closes the connection that has been idle longest, whosever it is.
func (b *backends) evict() bool {
	var oldest string
	for id, list := range b.idle {
		if oldest == "" || list[0].since.Before(b.idle[oldest][0].since) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	b.drop(b.idle[oldest][0])
	b.keep(oldest, slices.Delete(b.idle[oldest], 0, 1))
	return true
}

// at reports whether a backend is still where a connection was opened to it: what has its address by now may be another.
func (b *backends) at(id, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, known := b.addrs.Of(id)
	return known && now == addr
}

// give puts a connection back, or closes it where it is no longer of use.
func (b *backends) give(id string, c *conn, reusable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.put(id, c, reusable)
}

// answered does so after an answer, and learns from it.
func (b *backends) answered(id string, c *conn, a *answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learnIdle(c.stood, true)
	b.leaves = min(leavesMost, b.leaves+leavesEach)
	b.put(id, c, a.reusable)
}

// failed closes a connection that brought none.
func (b *backends) failed(id string, c *conn, r decide.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r == decide.Broke || r == decide.Reset && c.wasDead(time.Since(c.wrote)) {
		b.learnIdle(c.stood, false)
	}
	b.put(id, c, false)
}

func (b *backends) put(id string, c *conn, reusable bool) {
	if addr, _ := b.addrs.Of(id); !reusable || b.closed || addr != c.addr {
		b.drop(c)
		return
	}
	c.since = time.Now()
	b.idle[id] = append(b.idle[id], c)
}

// shut closes what stands idle, and keeps nothing from now on.
func (b *backends) shut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.end()
	for id, list := range b.idle {
		for _, c := range list {
			b.drop(c)
		}
		delete(b.idle, id)
	}
}

// reap closes what has been idle for too long, or is of no more use, until ctx ends.
func (b *backends) reap(ctx context.Context) {
	tick := time.NewTicker(b.longest / 8)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b.mu.Lock()
		for id, list := range b.idle {
			b.keep(id, slices.DeleteFunc(list, func(c *conn) bool {
				useless := b.useless(c, time.Since(c.since))
				if useless {
					b.drop(c)
				}
				return useless
			}))
		}
		b.mu.Unlock()
	}
}

const (
	dialPatience = 16                    // usual trips after which an attempt goes elsewhere, while its dial goes on
	dialLeast    = 30 * time.Millisecond // and the least: a busy machine may be as late as that
	leavesEach   = 1.0 / 32              // of such attempts for each answer: each costs a retry, of which the module has few
	leavesMost   = 16                    // that may be saved up
	dialWaits    = 8                     // connect time-outs after which nobody expects a connection any more
)

// dial opens a connection within the connect time-out and ctx. Its place is already counted. Where connections come up
// soon as a rule, it waits no longer for a late one than that makes likely: nothing has been sent, and the module may
// have the attempt made elsewhere. The dial goes on, one at a time to a backend, for whoever comes next: what it costs
// the backend is paid by then. It could hurt where a backend that is slow to accept answers fast: its first requests
// cost retries then, until enough connections are open.
func (b *backends) dial(ctx context.Context, id, addr string) (*conn, error) {
	on, stop := context.WithTimeout(b.lasting, dialWaits*b.cfg.Settings.ConnectTimeout)
	type dialed struct {
		c   *conn
		err error
	}
	done := make(chan dialed)
	left := make(chan bool, 1) // nobody waits for it any more; whether it goes on
	go func() {
		defer stop()
		began := time.Now()
		c, err := b.dialer(on, "tcp", addr)
		d := dialed{err: err}
		if err == nil {
			d.c = &conn{Conn: c, addr: addr, trip: time.Since(began)}
		}
		select {
		case done <- d:
		case goesOn := <-left:
			b.lateDial(id, d.c, goesOn)
		}
	}()
	b.mu.Lock()
	wait := b.cfg.Settings.ConnectTimeout
	if b.leaves >= 1 {
		wait = min(wait, max(dialLeast, dialPatience*b.trip))
	}
	b.mu.Unlock()
	patience := time.NewTimer(wait)
	defer patience.Stop()
	var d dialed
	select {
	case d = <-done:
	case <-ctx.Done():
		stop()
		d = <-done
	case <-patience.C:
		b.mu.Lock()
		defer b.mu.Unlock()
		if wait < b.cfg.Settings.ConnectTimeout {
			b.leaves = max(0, b.leaves-1)
		}
		goesOn := !b.late[id] && !b.closed
		if goesOn {
			b.late[id] = true
		} else {
			stop()
		}
		left <- goesOn
		return nil, os.ErrDeadlineExceeded
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.err != nil {
		b.open--
		return nil, d.err
	}
	b.learnTrip(d.c.trip)
	return d.c, nil
}

// lateDial takes what has become of a dial that no attempt waits for; c: nil if nothing.
func (b *backends) lateDial(id string, c *conn, goesOn bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if goesOn {
		delete(b.late, id)
	}
	if c == nil {
		b.open--
		return
	}
	b.learnTrip(c.trip)
	b.put(id, c, true)
}

// learnTrip moves the usual trip towards the median of what was seen: late ones are late by any length. The lock is held.
func (b *backends) learnTrip(trip time.Duration) {
	if trip < b.trip {
		b.trip -= b.trip / 8
	} else {
		b.trip = min(b.trip+b.trip/8+1, b.cfg.Settings.ConnectTimeout)
	}
}

// purpose is what an attempt is made for: a request, or a probe.
type purpose interface {
	BeginWrite(interrupt func()) core.SendRefusal    // admits the first byte
	ContinueWrite(interrupt func()) core.SendRefusal // admits what comes behind it
	EndWrite()                                       // what was admitted is written
	Over() <-chan struct{}                           // closed when the request has ended: nothing more is sent for it
	Disconnected() bool                              // its client has left, seen or unseen by who reads it
	MayDial() bool                                   // it may open a connection
	Dialed()                                         // it opens one
	Sent()                                           // its last byte is written
	Uploaded()                                       // that was the last byte of an upload
	Spent()                                          // what was sent can't be sent again
	Begin(worked bool) bool                          // whether its answer may begin to reach the client
}

// probing is the purpose of a probe, which ends by its context alone.
type probing struct{}

func (probing) BeginWrite(func()) core.SendRefusal    { return core.SendAllowed }
func (probing) ContinueWrite(func()) core.SendRefusal { return core.SendAllowed }
func (probing) EndWrite()                             {}
func (probing) Over() <-chan struct{}                 { return nil }
func (probing) Disconnected() bool                    { return false }
func (probing) MayDial() bool                         { return true }
func (probing) Dialed()                               {}
func (probing) Sent()                                 {}
func (probing) Uploaded()                             {}
func (probing) Spent()                                {}
func (probing) Begin(bool) bool                       { return false }

// attempt sends m to a backend once and waits until ctx ends at the latest. The result follows
// the protocol's table of outcomes; where it is not certain that nothing ran, it says so.
func (b *backends) attempt(ctx context.Context, by purpose, id string, m *message) (decide.Result, *answer, decide.Load) {
	none := wire.Load(nil)
	c, addr, err := b.take(id)
	if err == nil && c == nil && !by.MayDial() {
		b.mu.Lock()
		b.open-- // its place is booked
		b.mu.Unlock()
		return decide.NotSent, nil, none
	}
	if err == nil && c == nil {
		by.Dialed()
		c, err = b.dial(ctx, id, addr)
	}
	if err != nil {
		result := core.NotConnected(ctx, err)
		if result == decide.NotSent {
			b.log.Warn("attempt not sent", "error", err, "backend", id)
		}
		return result, nil, none
	}
	if !b.at(id, c.addr) {
		b.give(id, c, true)
		return decide.Broke, nil, none // never ran, and another backend may have it
	}
	a, whole, err := b.exchange(ctx, by, c, m)
	var refused *refusedError
	if errors.As(err, &refused) && refused.first {
		b.give(id, c, refused.reusable)
		return refused.why.Result(ctx), nil, none
	}
	if err != nil {
		result := failure(context.Cause(ctx), err, whole)
		b.failed(id, c, result)
		return result, nil, none
	}
	b.answered(id, c, a)
	load := none
	if a.load != "" && b.cfg.Site.LoadInline {
		load = parseLoad(a.load)
	}
	switch {
	case a.status == http.StatusOK:
		return decide.OK, a, load
	case (a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout) &&
		a.neverRan:
		return decide.Full, nil, load
	}
	return decide.Errored, nil, load
}

// failure is the result of an attempt that brought no answer, by its error and by what ended its context; whole:
// its last byte was written.
func failure(cause, err error, whole bool) decide.Result {
	switch {
	case errors.Is(err, errClient) && !whole:
		return decide.NotSent // no fault of the backend, and nobody is left to try for
	case errors.Is(err, errClient):
		return decide.Cancelled
	case errors.Is(err, errOver) && cause == nil, isRefused(err, core.RequestAnswered) && cause == nil:
		return decide.Cancelled
	case errors.Is(cause, core.ErrCancelled):
		return decide.Cancelled
	case cause != nil:
		return decide.TimedOut
	case !whole: // the rest can't follow: the connection is closed
		return decide.Broke
	case errors.Is(err, errBroke):
		return decide.Reset
	}
	return decide.Errored // there is a process, and it answers amiss
}

// learnIdle learns from how a connection served that had stood idle. Backends, and what stands
// before them, may drop idle connections sooner than they should, and without a word; a request
// written to one is lost as a reset that may have run. The lock is held.
func (b *backends) learnIdle(stood time.Duration, served bool) {
	switch safe := stood * 3 / 4; {
	case stood == 0: // a new one says nothing
	case served && stood > b.keepIdle/2:
		b.keepIdle = min(b.longest, b.keepIdle+b.keepIdle/100)
	case !served && safe < b.keepIdle:
		b.keepIdle = max(b.longest/64, b.keepIdle-(b.keepIdle-safe)/4)
	}
}

// exchange writes m on a connection and reads its answer. It reports whether the last byte of m
// was written. After an error the connection is of no further use.
func (b *backends) exchange(ctx context.Context, by purpose, c *conn, m *message) (a *answer, whole bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(core.LongAgo) })
	defer func() {
		if !stop() && err == nil {
			a.reusable = false // its deadline has passed, or is about to
		}
	}()
	until, _ := ctx.Deadline()
	text := m.on(until)
	c.wrote = time.Now()
	if why := by.BeginWrite(c.interruptWrite); why != core.SendAllowed {
		return nil, false, &refusedError{why: why, first: true, reusable: stop()}
	}
	n, err := c.Write(text)
	by.EndWrite()
	if err != nil && n < len(text) && over(by) {
		err = errOver
	}
	if err != nil || n < len(text) {
		return nil, n == len(text) && m.up == nil, err
	}
	in := b.readers.Get().(*bufio.Reader)
	defer func() {
		in.Reset(nil)
		b.readers.Put(in)
	}()
	// What comes of an answer comes at once: one that stops in its midst goes no further.
	src := &source{ctx: ctx, conn: c.Conn, stall: b.cfg.Settings.ConnectTimeout}
	in.Reset(src)
	if m.up != nil {
		by.Spent()
		if early, err := b.upload(ctx, by, c, m, in, src); early != nil || err != nil {
			return early, false, err
		}
		by.Uploaded()
	}
	by.Sent()
	if a, err = readAnswer(in, src, b.answers); err == nil && a.rest != nil {
		err = b.passOn(ctx, by, m, a, src)
	}
	if err != nil && src.broke && !errors.Is(err, errClient) {
		err = fmt.Errorf("%w: %w", errBroke, err)
	}
	if err == nil && a.reusable {
		err = c.SetDeadline(time.Time{})
	}
	return a, true, err
}

// interruptWrite ends a write that waits for its server: once the client has its answer, or has left, the server must not
// have the last byte.
func (c *conn) interruptWrite() { _ = c.SetWriteDeadline(core.LongAgo) }

// over reports whether a request has ended.
func over(by purpose) bool {
	select {
	case <-by.Over():
		return true
	default:
		return false
	}
}

// refusedError is of a write that the request's guard did not admit.
type refusedError struct {
	why      core.SendRefusal
	first    bool // nothing of the request was written
	reusable bool // the connection is as it was
}

func isRefused(err error, why core.SendRefusal) bool {
	var refused *refusedError
	return errors.As(err, &refused) && refused.why == why
}

func (e *refusedError) Error() string { return "not sent: " + e.why.String() }

// errOver is of an attempt whose request has its answer, or another one's.
var errOver = errors.New("the request is over")

// errClient is of an attempt that its own client has ended.
var errClient = errors.New("the client is gone, or can't be understood")

// uploadStall is how long a backend may take no byte of an upload.
const uploadStall = 10 * time.Second

// upload streams what is left of m's body. A backend that turns it away before the last byte may say so: early
// is that answer.
func (b *backends) upload(ctx context.Context, by purpose, c *conn, m *message, in *bufio.Reader, src *source) (early *answer, err error) {
	clients, err := m.up.pump(ctx, by, func(text []byte) error {
		if err := c.SetWriteDeadline(time.Now().Add(uploadStall)); err != nil {
			return err
		}
		if ctx.Err() != nil { // ended meanwhile: its deadline must not be put off
			return context.Cause(ctx)
		}
		if why := by.ContinueWrite(c.interruptWrite); why != core.SendAllowed {
			return &refusedError{why: why}
		}
		_, err := c.Write(text)
		by.EndWrite()
		if err != nil && over(by) {
			err = errOver
		}
		return err
	})
	switch {
	case err == nil:
		return nil, nil
	case clients:
		return nil, fmt.Errorf("%w: %w", errClient, err)
	case ctx.Err() != nil:
		return nil, err
	}
	if e := c.SetReadDeadline(time.Now().Add(restTime)); e != nil {
		return nil, err
	}
	if a, e := readAnswer(in, src, b.answers); e == nil && a.neverRan && a.rest == nil {
		a.reusable = false
		return a, nil
	}
	return nil, err
}

// passOn gives the client an answer as it comes. Its server is done with it.
func (b *backends) passOn(ctx context.Context, by purpose, m *message, a *answer, src *source) error {
	if m.to == nil {
		return errTooLong
	}
	if !by.Begin(true) {
		return errOver
	}
	// The client's time no longer ends it; that nothing comes does, or too little: of all the time that the server is
	// waited for, answerStall and what its bytes take at the slowest rate.
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	out, err := m.to.begin(a, m.old)
	waited, got := time.Duration(0), 0
	for err == nil {
		src.stall = min(b.stall, b.stall+time.Duration(got)*time.Second/slowest-waited)
		if src.stall <= 0 {
			return errStalled
		}
		asked := time.Now()
		n, e := a.rest.Read(*buf)
		waited, got = waited+time.Since(asked), got+n
		if n > 0 {
			err = out.write((*buf)[:n])
		}
		if errors.Is(e, io.EOF) && err == nil {
			if err = out.end(); err == nil {
				a.settle()
				return nil
			}
		} else if e != nil {
			return e
		}
		if ctx.Err() != nil && err == nil {
			return context.Cause(ctx)
		}
	}
	return fmt.Errorf("%w: %w", errClient, err)
}

// answerStall is how long an answer that streams may bring nothing.
const answerStall = 10 * time.Second

// errStalled is of an answer that streams and does not end: it drips.
var errStalled = errors.New("the answer comes too slowly")

// probe examines a backend: with its load report where probes bring one.
func (b *backends) probe(id string) decide.ProbeResult {
	start := time.Now()
	path := "/ping"
	if b.cfg.Site.LoadProbed {
		path = "/_load"
	}
	m := &message{head: []byte("GET " + path + " HTTP/1.1\r\nHost: probe\r\n")}
	// The settings name no time-out for probes; one that takes longer than a connect may is no use.
	ctx, cancel := context.WithTimeoutCause(context.Background(), b.cfg.Settings.ConnectTimeout, core.ErrTimedOut)
	defer cancel()
	result, a, load := b.attempt(ctx, probing{}, id, m)
	if a != nil && b.cfg.Site.LoadProbed {
		load = parseLoad(string(a.body))
	}
	return decide.ProbeResult{Backend: id, Result: result, Latency: time.Since(start), Load: load}
}

// loadNames maps the names of load values on sockets to those of the settings.
var loadNames = map[string]string{"queue": "backlog", "inflight": "outstanding", "eps": "errors_per_s", "latency_ms": "recent_ms"}

// parseLoad reads a load report such as "TEXT inflight=7, queue=2". What it can't read is left out.
func parseLoad(text string) decide.Load {
	usage := map[string]float64{}
	text = strings.TrimSpace(text)
	text = strings.TrimPrefix(strings.TrimPrefix(text, "Endpoint-Load-Metrics:"), " ")
	for _, pair := range strings.Split(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		// Loads are counts and times: what is none says nothing.
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v <= math.MaxInt32 {
			if known, ok := loadNames[name]; ok {
				name = known
			}
			usage[name] = v
		}
	}
	return wire.Load(usage)
}
