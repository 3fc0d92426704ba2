package http1

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"
	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

// backends holds the connections to all backends. It makes exactly the attempts it is told to:
// each is one request written at most once on one connection.
type backends struct {
	cfg     *core.Config
	log     *slog.Logger
	longest time.Duration    // for which a connection may stand idle by the settings
	stall   time.Duration    // for which an answer that streams may bring nothing
	answers *core.ByteBudget // bytes of answers that are being read
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
		answers: core.NewByteBudget(cfg.BodyMemory()), stall: answerStall,
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
	addr, ok := b.addrs.Addr(id)
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
	now, known := b.addrs.Addr(id)
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
	if r == decide.Incomplete || r == decide.Reset && c.wasDead(time.Since(c.wrote)) {
		b.learnIdle(c.stood, false)
	}
	b.put(id, c, false)
}

func (b *backends) put(id string, c *conn, reusable bool) {
	if addr, _ := b.addrs.Addr(id); !reusable || b.closed || addr != c.addr {
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
