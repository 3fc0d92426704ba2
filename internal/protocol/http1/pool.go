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

const (
	// reapsPerMaxIdle is how often idle connections are checked within maxIdle. More checks cost more system calls, one for
	// each idle connection; fewer keep dead ones for longer.
	reapsPerMaxIdle = 8
	// learnIdle's steps: a response grows the idle time by 1/idleGrowthDivisor of it, a dead connection cuts it by
	// 1/idleCutDivisor of the way, and it stays above 1/minIdleDivisor of maxIdle. Faster growth loses more requests to dead
	// connections, slower growth dials more often than needed.
	idleGrowthDivisor = 100
	idleCutDivisor    = 4
	minIdleDivisor    = 64
)

// connPool holds the connections to all servers. It makes exactly the attempts that the loop asks for: each is one request
// written at most once on one connection. Its methods may be called from any goroutine; those that end in Locked, and
// those that say so, need the lock.
type connPool struct {
	cfg            *core.Config
	log            *slog.Logger
	maxIdle        time.Duration    // how long a connection may be idle by the settings
	maxStall       time.Duration    // how long a streamed response may bring nothing; tests shorten it
	responseBudget *core.ByteBudget // bytes of responses that are being read
	dialer         func(ctx context.Context, network, addr string) (net.Conn, error)
	readers        sync.Pool // of *bufio.Reader

	mu        sync.Mutex
	maxConns  int // connections at once
	addresses core.Addresses
	// learnedMaxIdle is how long a connection is kept idle: shorter than maxIdle where idle ones were found to be dead.
	learnedMaxIdle time.Duration
	idle           map[string][]*serverConn // by server ID, the one used last at the end; no list is empty
	open           int                      // idle, in use or being dialled
	usualDialTime  time.Duration            // about the median
	// abandonTokens is how many attempts may be abandoned for a late dial. Responses add to it.
	abandonTokens float64
	lateDials     map[string]bool // by server ID: a dial goes on that its attempt has abandoned
	closed        bool            // the agent has ended: no connection is kept
	lifetime      context.Context // ends with the agent; dials that no attempt waits for end with it
	endLifetime   func()
}

func newConnPool(cfg *core.Config, log *slog.Logger) *connPool {
	lifetime, endLifetime := context.WithCancel(context.Background())
	// Servers may close an idle connection at IdleClose; a request that crosses the close is lost as a reset that may have
	// run. A quarter of the time is far more than any network takes.
	maxIdle := cfg.Site.IdleClose * 3 / 4
	return &connPool{
		cfg:            cfg,
		log:            log,
		maxIdle:        maxIdle,
		maxStall:       maxResponseStall,
		responseBudget: core.NewByteBudget(cfg.BodyMemory()),
		dialer:         (&net.Dialer{KeepAlive: -1}).DialContext,
		readers:        sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		maxConns:       core.BackendSockets(cfg.Sockets),
		learnedMaxIdle: maxIdle,
		idle:           map[string][]*serverConn{},
		usualDialTime:  cfg.Settings.ConnectTimeout,
		abandonTokens:  maxAbandonTokens,
		lateDials:      map[string]bool{},
		lifetime:       lifetime,
		endLifetime:    endLifetime,
	}
}

// isUnusable reports whether a connection that has been idle for so long must not be used any more. The lock is held.
func (p *connPool) isUnusable(c *serverConn, idleFor time.Duration) bool {
	return idleFor >= p.learnedMaxIdle || !c.isQuiet()
}

// resize changes the number of connections at once, as a part of all sockets, and the bytes of responses. Idle connections
// past it are closed.
func (p *connPool) resize(sockets, bytes int) {
	p.responseBudget.Resize(bytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = core.BackendSockets(sockets)
	for p.open > p.maxConns && p.evictOldest() {
	}
}

// update takes a change of the endpoint list. Idle connections to a server that was removed, or has another address, are
// closed.
func (p *connPool) update(list core.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses.Update(list, func(id string) {
		for _, c := range p.idle[id] {
			p.closeLocked(c)
		}
		delete(p.idle, id)
	})
}

// closeLocked closes a connection. The lock is held; closing a socket does not block.
func (p *connPool) closeLocked(c *serverConn) {
	p.open--
	c.Close()
}

// acquire returns an idle connection to a backend, or the address at which to dial one.
func (p *connPool) acquire(id string) (*serverConn, string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.addresses.Addr(id)
	if !ok {
		return nil, "", core.ErrMoved
	}
	// They are in the order in which they were put back: under load those used last have not rested yet.
	idle := p.idle[id]
	now := time.Now()
	firstUnrested := sort.Search(len(idle), func(i int) bool { return now.Sub(idle[i].idleSince) < minRest })
	for i := firstUnrested - 1; i >= 0; i-- {
		c := idle[i]
		rested := now.Sub(c.idleSince)
		idle = slices.Delete(idle, i, i+1)
		if !p.isUnusable(c, rested) {
			c.idleBefore = rested
			p.setIdle(id, idle)
			return c, addr, nil
		}
		p.closeLocked(c)
	}
	p.setIdle(id, idle)
	if p.open >= p.maxConns && !p.evictOldest() {
		return nil, "", core.ErrNoSocket
	}
	p.open++
	return nil, addr, nil
}

// setIdle stores a server's idle connections. The lock is held.
func (p *connPool) setIdle(id string, list []*serverConn) {
	if len(list) == 0 {
		delete(p.idle, id)
	} else {
		p.idle[id] = list
	}
}

// evictOldest closes the connection that has been idle longest, to whichever server. It reports false if none is idle. The
// lock is held.
func (p *connPool) evictOldest() bool {
	var oldest string
	for id, list := range p.idle {
		if oldest == "" || list[0].idleSince.Before(p.idle[oldest][0].idleSince) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	p.closeLocked(p.idle[oldest][0])
	p.setIdle(oldest, slices.Delete(p.idle[oldest], 0, 1))
	return true
}

// isCurrentAddress reports whether a server still has the address that a connection was opened to: another server may have
// it by now.
func (p *connPool) isCurrentAddress(id, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, known := p.addresses.Addr(id)
	return known && current == addr
}

// release puts a connection back, or closes it where it is no longer of use.
func (p *connPool) release(id string, c *serverConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(id, c, reusable)
}

// releaseAfterResponse does so after a complete response, and takes it for a sample of the idle time that servers allow.
func (p *connPool) releaseAfterResponse(id string, c *serverConn, a *response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnIdle(c.idleBefore, true)
	p.abandonTokens = min(maxAbandonTokens, p.abandonTokens+abandonTokensPerResponse)
	p.putLocked(id, c, a.reusable)
}

// closeAfterFailure closes a connection that brought no response.
func (p *connPool) closeAfterFailure(id string, c *serverConn, r decide.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r == decide.Incomplete || r == decide.Reset && c.wasDead(time.Since(c.writeStartedAt)) {
		p.learnIdle(c.idleBefore, false)
	}
	p.putLocked(id, c, false)
}

// putLocked stores a connection as idle, or closes it where it is no longer of use.
func (p *connPool) putLocked(id string, c *serverConn, reusable bool) {
	if addr, _ := p.addresses.Addr(id); !reusable || p.closed || addr != c.addr {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	p.idle[id] = append(p.idle[id], c)
}

// shutdown closes the idle connections, and keeps none from now on.
func (p *connPool) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.endLifetime()
	for id, list := range p.idle {
		for _, c := range list {
			p.closeLocked(c)
		}
		delete(p.idle, id)
	}
}

// reapIdle closes connections that have been idle for too long, or were closed by their server.
func (p *connPool) reapIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		p.setIdle(id, slices.DeleteFunc(list, func(c *serverConn) bool {
			unusable := p.isUnusable(c, time.Since(c.idleSince))
			if unusable {
				p.closeLocked(c)
			}
			return unusable
		}))
	}
}

// learnIdle adapts learnedMaxIdle to how a connection served that had been idle for idleBefore. Servers, and middleboxes
// before them, may drop idle connections sooner than configured, and silently; a request written to one is lost as a reset
// that may have run. The lock is held.
func (p *connPool) learnIdle(idleBefore time.Duration, served bool) {
	switch safeIdle := idleBefore * 3 / 4; {
	case idleBefore == 0: // a new connection shows nothing
	case served && idleBefore > p.learnedMaxIdle/2:
		p.learnedMaxIdle = min(p.maxIdle, p.learnedMaxIdle+p.learnedMaxIdle/idleGrowthDivisor)
	case !served && safeIdle < p.learnedMaxIdle:
		p.learnedMaxIdle = max(p.maxIdle/minIdleDivisor, p.learnedMaxIdle-(p.learnedMaxIdle-safeIdle)/idleCutDivisor)
	}
}
