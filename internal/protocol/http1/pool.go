package http1

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
)

// connPool holds the connections to all backends. It makes exactly the attempts it is told to:
// each is one request written at most once on one connection.
type connPool struct {
	cfg            *core.Config
	log            *slog.Logger
	maxIdle        time.Duration    // for which a connection may stand idle by the settings
	maxStall       time.Duration    // for which an answer that streams may bring nothing
	responseBudget *core.ByteBudget // bytes of answers that are being read
	dialer         func(ctx context.Context, network, addr string) (net.Conn, error)
	readers        sync.Pool // of *bufio.Reader

	mu        sync.Mutex
	maxConns  int // connections at once
	addresses core.Addresses
	// learnedMaxIdle is for how long one is kept: shorter than longest where those that stood idle were
	// found to be dead.
	learnedMaxIdle time.Duration
	idle           map[string][]*serverConn // by backend id, the latest used last; none empty
	open           int                      // idle, in use or being dialled
	usualDialTime  time.Duration            // what half of the connections come up within
	abandonTokens  float64                  // attempts that may go elsewhere for a late one: what served pays for it
	lateDials      map[string]bool          // by backend id: one is still being dialled that its attempt did not wait for
	closed         bool                     // the agent has ended: nothing is kept
	lifetime       context.Context          // until then
	endLifetime    func()
}

func newConnPool(cfg *core.Config, log *slog.Logger) *connPool {
	lasting, end := context.WithCancel(context.Background())
	return &connPool{cfg: cfg, log: log, lifetime: lasting, endLifetime: end, maxConns: core.BackendSockets(cfg.Sockets),
		// Backends may close an idle connection at IdleClose; a request that crosses that is lost
		// as a reset that may have run. A quarter of the time is far more than any network takes.
		maxIdle: cfg.Site.IdleClose * 3 / 4, learnedMaxIdle: cfg.Site.IdleClose * 3 / 4,
		responseBudget: core.NewByteBudget(cfg.BodyMemory()), maxStall: maxResponseStall,
		dialer:  (&net.Dialer{KeepAlive: -1}).DialContext,
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		idle:    map[string][]*serverConn{}, lateDials: map[string]bool{}, usualDialTime: cfg.Settings.ConnectTimeout, abandonTokens: maxAbandonTokens}
}

// isUnusable reports whether an idle connection is of no more use. The lock is held.
func (b *connPool) isUnusable(c *serverConn, stood time.Duration) bool {
	return stood >= b.learnedMaxIdle || !c.isQuiet()
}

func (b *connPool) resize(sockets, bytes int) {
	b.responseBudget.Resize(bytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.maxConns = core.BackendSockets(sockets); b.open > b.maxConns && b.evictOldest(); {
	}
}

// update takes a change of the list. Connections to a backend that is gone or has moved are
// closed.
func (b *connPool) update(e core.List) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses.Update(e, func(id string) {
		for _, c := range b.idle[id] {
			b.closeLocked(c)
		}
		delete(b.idle, id)
	})
}

// closeLocked closes a connection. The lock is held; closing a socket does not block.
func (b *connPool) closeLocked(c *serverConn) {
	b.open--
	c.Close()
}

// acquire returns an idle connection to a backend, or the address at which to dial one.
func (b *connPool) acquire(id string) (*serverConn, string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.addresses.Addr(id)
	if !ok {
		return nil, "", core.ErrMoved
	}
	// They lie in the order in which they were put back: under load those used last have not rested yet.
	list, now := b.idle[id], time.Now()
	first := sort.Search(len(list), func(i int) bool { return now.Sub(list[i].idleSince) < minRest })
	for i := first - 1; i >= 0; i-- {
		c, rested := list[i], now.Sub(list[i].idleSince)
		list = slices.Delete(list, i, i+1)
		if !b.isUnusable(c, rested) {
			c.idleBefore = rested
			b.setIdle(id, list)
			return c, addr, nil
		}
		b.closeLocked(c)
	}
	b.setIdle(id, list)
	if b.open >= b.maxConns && !b.evictOldest() {
		return nil, "", core.ErrNoSocket
	}
	b.open++
	return nil, addr, nil
}

// setIdle stores a backend's idle connections. The lock is held.
func (b *connPool) setIdle(id string, list []*serverConn) {
	if len(list) == 0 {
		delete(b.idle, id)
	} else {
		b.idle[id] = list
	}
}

// evictOldest closes the connection that has been idle longest, whosever it is.
func (b *connPool) evictOldest() bool {
	var oldest string
	for id, list := range b.idle {
		if oldest == "" || list[0].idleSince.Before(b.idle[oldest][0].idleSince) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	b.closeLocked(b.idle[oldest][0])
	b.setIdle(oldest, slices.Delete(b.idle[oldest], 0, 1))
	return true
}

// isCurrentAddress reports whether a backend is still where a connection was opened to it: what has its address by now may be another.
func (b *connPool) isCurrentAddress(id, addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, known := b.addresses.Addr(id)
	return known && now == addr
}

// release puts a connection back, or closes it where it is no longer of use.
func (b *connPool) release(id string, c *serverConn, reusable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.putLocked(id, c, reusable)
}

// releaseAfterResponse does so after an answer, and learns from it.
func (b *connPool) releaseAfterResponse(id string, c *serverConn, a *response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learnIdle(c.idleBefore, true)
	b.abandonTokens = min(maxAbandonTokens, b.abandonTokens+abandonTokensPerResponse)
	b.putLocked(id, c, a.reusable)
}

// closeAfterFailure closes a connection that brought none.
func (b *connPool) closeAfterFailure(id string, c *serverConn, r decide.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r == decide.Incomplete || r == decide.Reset && c.wasDead(time.Since(c.writeStartedAt)) {
		b.learnIdle(c.idleBefore, false)
	}
	b.putLocked(id, c, false)
}

func (b *connPool) putLocked(id string, c *serverConn, reusable bool) {
	if addr, _ := b.addresses.Addr(id); !reusable || b.closed || addr != c.addr {
		b.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	b.idle[id] = append(b.idle[id], c)
}

// shutdown closes what stands idle, and keeps nothing from now on.
func (b *connPool) shutdown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.endLifetime()
	for id, list := range b.idle {
		for _, c := range list {
			b.closeLocked(c)
		}
		delete(b.idle, id)
	}
}

// reapIdle closes what has been idle for too long, or is of no more use, until ctx ends.
func (b *connPool) reapIdle(ctx context.Context) {
	tick := time.NewTicker(b.maxIdle / 8)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b.mu.Lock()
		for id, list := range b.idle {
			b.setIdle(id, slices.DeleteFunc(list, func(c *serverConn) bool {
				useless := b.isUnusable(c, time.Since(c.idleSince))
				if useless {
					b.closeLocked(c)
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
func (b *connPool) learnIdle(stood time.Duration, served bool) {
	switch safe := stood * 3 / 4; {
	case stood == 0: // a new one says nothing
	case served && stood > b.learnedMaxIdle/2:
		b.learnedMaxIdle = min(b.maxIdle, b.learnedMaxIdle+b.learnedMaxIdle/100)
	case !served && safe < b.learnedMaxIdle:
		b.learnedMaxIdle = max(b.maxIdle/64, b.learnedMaxIdle-(b.learnedMaxIdle-safe)/4)
	}
}
