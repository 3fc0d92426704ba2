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
	// reapsPerMaxIdle is how often idle connections are checked within maxIdle. More checks cost more system calls,
	// one per idle connection; fewer checks keep dead connections for longer.
	reapsPerMaxIdle = 8
	// These set the steps of learnIdle: a response increases the idle time by 1/idleGrowthDivisor of it, a dead
	// connection reduces it by 1/idleCutDivisor of its distance to a safe value, and it stays at or above
	// 1/minIdleDivisor of maxIdle. Faster growth loses more requests on dead connections, slower growth dials more
	// often than needed.
	idleGrowthDivisor = 100
	idleCutDivisor    = 4
	minIdleDivisor    = 64
	// earlyCloseDivisor divides learnedMaxIdle: a server that closes a connection which was idle for less than that has
	// probably ended. A smaller value also takes servers for ended that drop idle connections.
	earlyCloseDivisor = 4
)

// connPool holds the connections to all servers. It makes only the attempts that the loop starts: each attempt writes
// one request at most once, on one connection. Its methods may be called from any goroutine. If a method's name ends
// in Locked, or its comment requires it, the caller holds mu.
type connPool struct {
	cfg            *core.Config
	log            *slog.Logger
	notSentLog     core.LogThrottle
	maxIdle        time.Duration    // how long a connection may be idle according to the settings
	maxStall       time.Duration    // how long a server may send no byte of a streamed response; tests shorten it
	responseBudget *core.ByteBudget // bytes of responses that are being read
	dialer         func(ctx context.Context, network, addr string) (net.Conn, error)
	readers        sync.Pool // holds *bufio.Reader values

	mu        sync.Mutex
	maxConns  int // how many connections may be open at once
	addresses core.Addresses
	// learnedMaxIdle is how long an idle connection is kept. It is shorter than maxIdle if idle connections were found
	// dead.
	learnedMaxIdle time.Duration
	idle           map[string][]*serverConn // by server ID, the most recently used one last; no list is empty
	open           int                      // idle, in use or being dialled
	usualDialTime  time.Duration            // an estimate of the median
	// abandonTokens is how many attempts may be abandoned because of late dials. Responses add tokens.
	abandonTokens float64
	lateDials     map[string]bool // by server ID: a dial continues although its attempt was abandoned
	// closedEarly is, by server ID, when it was last seen that the server had closed an idle connection early.
	closedEarly map[string]time.Time
	closed      bool            // the agent has ended: no connection is kept
	lifetime    context.Context // ends with the agent; dials that no attempt waits for end with it
	endLifetime func()
}

func newConnPool(cfg *core.Config, memoryShort func() bool, log *slog.Logger) *connPool {
	lifetime, endLifetime := context.WithCancel(context.Background())
	// Servers may close an idle connection at IdleClose. A request that is on its way at that moment is lost: the
	// connection is reset, and the request may have been executed. A margin of a quarter of IdleClose exceeds any
	// network delay by far.
	maxIdle := cfg.Site.IdleClose * 3 / 4
	return &connPool{
		cfg:            cfg,
		log:            log,
		maxIdle:        maxIdle,
		maxStall:       maxResponseStall,
		responseBudget: core.NewByteBudget(cfg.BodyMemory(), memoryShort),
		dialer:         (&net.Dialer{KeepAlive: -1}).DialContext,
		readers:        sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		maxConns:       core.BackendSockets(cfg.Sockets),
		learnedMaxIdle: maxIdle,
		idle:           map[string][]*serverConn{},
		usualDialTime:  cfg.Settings.ConnectTimeout,
		abandonTokens:  maxAbandonTokens,
		lateDials:      map[string]bool{},
		closedEarly:    map[string]time.Time{},
		lifetime:       lifetime,
		endLifetime:    endLifetime,
	}
}

// isUnusable reports whether a connection to a server that has been idle for idleFor must not be used any more. The
// caller holds p.mu.
func (p *connPool) isUnusable(id string, c *serverConn, idleFor time.Duration) bool {
	if idleFor >= p.learnedMaxIdle {
		return true
	}
	state := c.idleState()
	if state == idleClosed && idleFor < p.learnedMaxIdle/earlyCloseDivisor {
		p.closedEarly[id] = time.Now()
	}
	return state != idleQuiet
}

// resize sets how many connections may be open, as a share of all sockets, and how many bytes of responses may be
// buffered. Idle connections beyond the limit are closed.
func (p *connPool) resize(sockets, bytes int) {
	p.responseBudget.Resize(bytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = core.BackendSockets(sockets)
	for p.open > p.maxConns && p.evictOldest() {
	}
}

// update applies a change of the endpoint list. Idle connections to a server that was removed, or whose address
// changed, are closed.
func (p *connPool) update(list core.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses.Update(list, func(id string) {
		for _, c := range p.idle[id] {
			p.closeLocked(c)
		}
		delete(p.idle, id)
		delete(p.closedEarly, id)
	})
}

// closeLocked closes a connection. Closing a socket does not block.
func (p *connPool) closeLocked(c *serverConn) {
	p.open--
	c.Close()
}

// acquired is a connection to a server that may be used, or what is needed to open one.
type acquired struct {
	conn *serverConn // nil: a connection is to be opened
	addr string
	// closedAt is when it was last seen that the server had closed an idle connection early; zero if it has not, or if
	// conn is older.
	closedAt time.Time
}

// acquire returns an idle connection to a server, or the address at which to dial one.
func (p *connPool) acquire(id string) (acquired, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, ok := p.addresses.Addr(id)
	if !ok {
		return acquired{}, core.ErrNoAddress
	}
	// Connections are in the order in which they were put back: under load, reuseDelay has not passed yet for the last
	// ones.
	idle := p.idle[id]
	now := time.Now()
	firstTooRecent := sort.Search(len(idle), func(i int) bool { return now.Sub(idle[i].idleSince) < reuseDelay })
	for i := firstTooRecent - 1; i >= 0; i-- {
		c := idle[i]
		idleFor := now.Sub(c.idleSince)
		idle = slices.Delete(idle, i, i+1)
		if !p.isUnusable(id, c, idleFor) {
			c.idleBefore = idleFor
			p.setIdle(id, idle)
			if c.openedAt.Before(p.closedEarly[id]) {
				delete(p.closedEarly, id) // its process has not ended
			}
			return acquired{conn: c, addr: addr, closedAt: p.recentClose(id, now)}, nil
		}
		p.closeLocked(c)
	}
	// Those that are too recent to be used may show that the server has closed its connections.
	idle = slices.DeleteFunc(idle, func(c *serverConn) bool {
		unusable := p.isUnusable(id, c, now.Sub(c.idleSince))
		if unusable {
			p.closeLocked(c)
		}
		return unusable
	})
	p.setIdle(id, idle)
	if p.open >= p.maxConns && !p.evictOldest() {
		return acquired{}, core.ErrNoSocket
	}
	p.open++
	return acquired{addr: addr, closedAt: p.recentClose(id, now)}, nil
}

// recentClose returns when it was last seen that a server had closed an idle connection early, or zero if the list must
// have shown since then what became of the server. The caller holds p.mu.
func (p *connPool) recentClose(id string, now time.Time) time.Time {
	at := p.closedEarly[id]
	if now.Sub(at) < core.ListDelay {
		return at
	}
	delete(p.closedEarly, id)
	return time.Time{}
}

// setIdle stores a server's idle connections. The caller holds p.mu.
func (p *connPool) setIdle(id string, list []*serverConn) {
	if len(list) == 0 {
		delete(p.idle, id)
	} else {
		p.idle[id] = list
	}
}

// evictOldest closes the connection that has been idle longest, whichever server it leads to. It reports false if no
// connection is idle. The caller holds p.mu.
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

// isCurrentAddress reports whether a server still has the address addr, to which a connection was opened. Another
// server may have that address by now.
func (p *connPool) isCurrentAddress(id, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, known := p.addresses.Addr(id)
	return known && current == addr
}

// release puts a connection back into the pool, or closes it if it can't be used any more.
func (p *connPool) release(id string, c *serverConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.putLocked(id, c, reusable)
}

// releaseAfterResponse releases a connection after a complete response. The response is a sample for learnIdle, and
// adds abandonTokensPerResponse tokens.
func (p *connPool) releaseAfterResponse(id string, c *serverConn, a *response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnIdle(c.idleBefore, true)
	p.abandonTokens = min(maxAbandonTokens, p.abandonTokens+abandonTokensPerResponse)
	p.putLocked(id, c, a.reusable)
}

// closeAfterFailure closes a connection on which no response was received. If the connection may have been dead
// already when its current use began, the failure is a sample for learnIdle.
func (p *connPool) closeAfterFailure(id string, c *serverConn, r decide.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r == decide.Incomplete || r == decide.Reset && c.wasDead(time.Since(c.writeStartedAt)) {
		p.learnIdle(c.idleBefore, false)
	}
	p.putLocked(id, c, false)
}

// putLocked stores a connection as idle, or closes it if it can't be used any more.
func (p *connPool) putLocked(id string, c *serverConn, reusable bool) {
	if addr, _ := p.addresses.Addr(id); !reusable || p.closed || addr != c.addr {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	p.idle[id] = append(p.idle[id], c)
}

// shutdown closes the idle connections. From then on no connection is kept.
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

// reapIdle closes connections that have been idle for too long, or that their server has closed.
func (p *connPool) reapIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		p.setIdle(id, slices.DeleteFunc(list, func(c *serverConn) bool {
			unusable := p.isUnusable(id, c, time.Since(c.idleSince))
			if unusable {
				p.closeLocked(c)
			}
			return unusable
		}))
	}
}

// learnIdle adapts learnedMaxIdle to whether a connection that had been idle for idleBefore still worked. Servers, and
// middleboxes in front of them, may drop idle connections silently and sooner than configured. A request written to a
// dropped connection is lost: the connection is reset, and the request may have been executed. The caller holds p.mu.
func (p *connPool) learnIdle(idleBefore time.Duration, served bool) {
	switch safeIdle := idleBefore * 3 / 4; {
	case idleBefore == 0: // a new connection is no evidence of the idle time
	case served && idleBefore > p.learnedMaxIdle/2:
		p.learnedMaxIdle = min(p.maxIdle, p.learnedMaxIdle+p.learnedMaxIdle/idleGrowthDivisor)
	case !served && safeIdle < p.learnedMaxIdle:
		p.learnedMaxIdle = max(p.maxIdle/minIdleDivisor, p.learnedMaxIdle-(p.learnedMaxIdle-safeIdle)/idleCutDivisor)
	}
}
