package core

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
)

// reconnectCeiling is the ceiling of the wait after so many failures in a row, where lists are pushed: it doubles, and the
// wait is full jitter below it. What a list that was down has to tell counts as told as soon as it is back: of the time
// until nothing new may go to a server that drains, a wait may take no more than a quarter.
func reconnectCeiling(fails int, drainGrace time.Duration) time.Duration {
	if fails == 0 {
		return 1
	}
	return min(discovery.ReconnectFirst<<min(fails-1, 10), max(discovery.ReconnectFirst, min(drainGrace/4, discovery.ReconnectMost)))
}

// listWatcher follows the list of backends. In ask mode the module says when to watch and when to
// try again after a failure; where lists are pushed there is nobody to ask, and it reconnects
// by itself.
type listWatcher struct {
	cfg              *Config
	clock            clock
	post             func(any)
	version          int64
	watchRequests    chan struct{} // a Subscribe of the module, at most one waiting
	addrChanges      chan string   // a new address of discovery, the last one told
	addr             string        // its present address
	log              *slog.Logger
	client           *http.Client
	heartbeatTimeout time.Duration
	attempted        chan struct{} // closed once a watch has brought something, or nobody is there to bring it
	markAttempted    func()        // closes it
}

func newListWatcher(cfg *Config, ck clock, post func(any), log *slog.Logger) *listWatcher {
	tried := make(chan struct{})
	return &listWatcher{cfg: cfg, clock: ck, post: post, watchRequests: make(chan struct{}, 1),
		addrChanges: make(chan string, 1), addr: cfg.Discovery, log: log, heartbeatTimeout: discovery.Silence,
		attempted: tried, markAttempted: sync.OnceFunc(func() { close(tried) }),
		client: discovery.NewClient(cfg.Settings.ConnectTimeout)}
}

// subscribe asks for a watch. While one is being started a further call adds nothing.
func (d *listWatcher) subscribe() {
	select {
	case d.watchRequests <- struct{}{}:
	default:
	}
}

// moveTo ends the present watch and begins another at addr, at once and unasked: what the list said
// so far goes on to hold, so that to the module nothing has happened.
func (d *listWatcher) moveTo(addr string) {
	select {
	case <-d.addrChanges: // never begun
	default:
	}
	select {
	case d.addrChanges <- addr:
	default: // another move came in between; the one that it tells is as new
	}
}

// run watches until ctx ends.
func (d *listWatcher) run(ctx context.Context) {
	fails := 0
	for {
		var wait <-chan time.Time
		var ask <-chan struct{}
		if d.cfg.Settings.Subscribe {
			ask = d.watchRequests
		} else {
			wait = time.After(rand.N(reconnectCeiling(fails, d.cfg.Settings.DrainGrace)))
		}
		select {
		case <-ask:
		case <-wait:
		case addr := <-d.addrChanges:
			d.switchTo(addr)
		case <-ctx.Done():
			return
		}
		got, err := d.watch(ctx)
		for errors.Is(err, errAddrChanged) && ctx.Err() == nil {
			got, err = d.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if got {
			fails = 0
		}
		fails++
		if fails == 1 || fails%20 == 0 { // not a line for every try while it is down
			d.log.Warn("discovery watch ended", "error", err, "failures", fails)
		}
		select {
		case <-d.watchRequests: // during a watch that a move had begun: the module asks anew now that it hears of its end
		default:
		}
		d.post(List{ListUpdate: decide.ListUpdate{Kind: decide.ListFailed}})
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.markAttempted()
		}
	}
}

var errAddrChanged = errors.New("discovery has another address")

// switchTo goes over to an address. Another service need not number its versions like the old one,
// so its whole list is asked for.
func (d *listWatcher) switchTo(addr string) {
	if d.addr != addr {
		d.addr, d.version = addr, 0
	}
}

// endOnMove ends a watch when discovery moves, until the watch's ctx ends.
func (d *listWatcher) endOnMove(ctx context.Context, cancel context.CancelCauseFunc, done chan<- string) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-d.addrChanges:
			if addr != d.addr {
				done <- addr
				cancel(errAddrChanged)
				return
			}
		}
	}
}

// watch follows changes until the connection ends. It reports whether any list came.
func (d *listWatcher) watch(ctx context.Context) (got bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	next := make(chan string, 1)
	addr := d.addr
	go d.endOnMove(ctx, cancel, next)
	defer func() {
		cancel(nil)
		if to, moved := <-next; moved {
			d.switchTo(to)
			err = errAddrChanged
		}
	}()
	return discovery.Watch(ctx, d.client, addr, d.version, d.heartbeatTimeout, func(m *discovery.Members) {
		d.version = m.Version
		kind := decide.ListDelta
		if m.Full {
			kind = decide.ListFull
		}
		d.post(d.translate(m, kind))
		d.markAttempted()
	})
}

// translate puts a list into the module's terms. An entry that makes no sense is left out and
// logged: the others still count.
func (d *listWatcher) translate(m *discovery.Members, kind decide.ListKind) List {
	return translate(d.cfg, d.clock, d.log, m, kind)
}

func translate(cfg *Config, ck clock, log *slog.Logger, m *discovery.Members, kind decide.ListKind) List {
	e := List{ListUpdate: decide.ListUpdate{Kind: kind}, Saved: m.Saved, Addrs: map[string]string{}, Starts: map[string]int64{}}
	for _, s := range m.Servers {
		state, ok := map[string]decide.BackendState{
			"ready": decide.Up, "draining": decide.Draining, "gone": decide.Removed}[s.State]
		if !ok || s.ID == "" {
			log.Warn("list entry left out", "id", s.ID, "state", s.State)
			continue
		}
		if state != decide.Removed {
			if err := checkAddr("addr", s.Addr); err != nil {
				log.Warn("list entry left out", "id", s.ID, "error", err)
				continue
			}
			e.Addrs[s.ID] = s.Addr
		}
		b := decide.Backend{ID: s.ID, State: state, Zone: slices.Index(cfg.Site.Zones, s.Zone),
			Kind: slices.Index(cfg.Site.Kinds, s.Kind), Cell: s.Cell, Weight: s.Weight}
		if s.Started > 0 {
			b.Started = ck.hint(s.Started)
		}
		e.Starts[s.ID] = s.Started
		e.Backends = append(e.Backends, b)
	}
	return e
}
