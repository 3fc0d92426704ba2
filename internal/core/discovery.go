package core

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
)

const (
	// maxBackoffDoublings bounds the exponent of the reconnect backoff.
	maxBackoffDoublings = 10
	// drainGraceDivisor bounds the wait between two watches to a part of the drain grace, because changes that are
	// made while the list service is down count as notified as soon as the service is available again.
	drainGraceDivisor = 4
	// failuresPerLogLine is how many failed watches in a row share one log line.
	failuresPerLogLine = 20
)

// reconnectCeiling returns the upper bound of the wait after a number of failures in a row, if lists are pushed. The
// bound doubles with each failure up to a maximum, and the wait has full jitter below it.
func reconnectCeiling(failures int, drainGrace time.Duration) time.Duration {
	if failures == 0 {
		return 1
	}
	backoff := discovery.MinReconnectBackoff << min(failures-1, maxBackoffDoublings)
	ceiling := min(drainGrace/drainGraceDivisor, discovery.MaxReconnectBackoff)
	return min(backoff, max(discovery.MinReconnectBackoff, ceiling))
}

// listWatcher watches the endpoint list. With Settings.Subscribe it opens a watch, also after a failure, only if the
// balancer requests one; if lists are pushed it reconnects without a request.
type listWatcher struct {
	cfg              *Config
	clock            clock
	post             func(any)
	log              *slog.Logger
	client           *http.Client
	heartbeatTimeout time.Duration
	version          int64         // version of the last list
	addr             string        // address of discovery
	watchRequests    chan struct{} // buffers one value: a pending Subscribe of the balancer
	addrChanges      chan string   // buffers one value: the latest address of discovery
	attempted        chan struct{} // closed once a watch has delivered a list, or discovery has refused a connection
	markAttempted    func()        // closes attempted
}

func newListWatcher(cfg *Config, clk clock, post func(any), log *slog.Logger) *listWatcher {
	attempted := make(chan struct{})
	return &listWatcher{
		cfg:              cfg,
		clock:            clk,
		post:             post,
		log:              log,
		client:           discovery.NewClient(cfg.Settings.ConnectTimeout),
		heartbeatTimeout: discovery.HeartbeatTimeout,
		addr:             cfg.Discovery,
		watchRequests:    make(chan struct{}, 1),
		addrChanges:      make(chan string, 1),
		attempted:        attempted,
		markAttempted:    sync.OnceFunc(func() { close(attempted) }),
	}
}

// subscribe requests a watch. While a request is pending, another call has no effect.
func (d *listWatcher) subscribe() {
	select {
	case d.watchRequests <- struct{}{}:
	default:
	}
}

// moveTo ends the present watch and opens another at addr, at once and without a request of the balancer. The list
// so far stays in force, so the balancer sees no failure.
func (d *listWatcher) moveTo(addr string) {
	select {
	case <-d.addrChanges: // discards an address that has not been used yet
	default:
	}
	select {
	case d.addrChanges <- addr:
	default: // a concurrent call has set an address, which is as recent
	}
}

// run watches until ctx ends. When a watch receives no heartbeats or fails, the last list stays in force, the balancer
// gets a ListFailed update, and a new watch is opened after a wait. A change counts as notified
// discovery.NotificationDeadline (6 s) after discovery could be reached, whether or not it arrived.
func (d *listWatcher) run(ctx context.Context) {
	failures := 0
	for d.waitToWatch(ctx, failures) {
		received, err := d.watch(ctx)
		for errors.Is(err, errAddrChanged) && ctx.Err() == nil {
			received, err = d.watch(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if received {
			failures = 0
		}
		failures++
		if failures == 1 || failures%failuresPerLogLine == 0 {
			d.log.Warn("discovery watch ended", "error", err, "failures", failures)
		}
		select {
		case <-d.watchRequests: // discards one made during the watch: the balancer requests another after ListFailed
		default:
		}
		d.post(List{ListUpdate: decide.ListUpdate{Kind: decide.ListFailed}})
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.markAttempted()
		}
	}
}

// waitToWatch waits until a watch is to be opened: the balancer has requested one, the backoff is over, or the address
// has changed. It reports false if ctx has ended.
func (d *listWatcher) waitToWatch(ctx context.Context, failures int) bool {
	var backoff <-chan time.Time
	var requests <-chan struct{}
	if d.cfg.Settings.Subscribe {
		requests = d.watchRequests
	} else {
		backoff = time.After(rand.N(reconnectCeiling(failures, d.cfg.Settings.DrainGrace)))
	}
	select {
	case <-requests:
	case <-backoff:
	case addr := <-d.addrChanges:
		d.switchTo(addr)
	case <-ctx.Done():
		return false
	}
	return true
}

// errAddrChanged is the error of a watch that was ended because the address of discovery has changed.
var errAddrChanged = errors.New("the address of discovery has changed")

// switchTo sets the address of discovery. Another service may number its versions differently, so the complete list
// is requested from it.
func (d *listWatcher) switchTo(addr string) {
	if d.addr != addr {
		d.addr = addr
		d.version = 0
	}
}

// endOnMove cancels the watch of an address when discovery gets another address, which it sends on changed. It closes
// changed and returns then, or when the watch's ctx ends.
func (d *listWatcher) endOnMove(ctx context.Context, cancel context.CancelCauseFunc, watched string, changed chan<- string) {
	defer close(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-d.addrChanges:
			if addr != watched {
				changed <- addr
				cancel(errAddrChanged)
				return
			}
		}
	}
}

// watch receives the list and its changes until the connection ends. It reports whether any list has been received.
func (d *listWatcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	changed := make(chan string, 1)
	addr := d.addr
	go d.endOnMove(ctx, cancel, addr, changed)
	defer func() {
		cancel(nil)
		if next, moved := <-changed; moved {
			d.switchTo(next)
			err = errAddrChanged
		}
	}()
	return discovery.Watch(ctx, d.client, addr, d.version, d.heartbeatTimeout, func(m *discovery.Update) {
		d.version = m.Version
		d.post(d.translate(m, listKindOf(m)))
		d.markAttempted()
	})
}

// listKindOf returns whether a message of discovery is a complete list or a change.
func listKindOf(m *discovery.Update) decide.ListKind {
	if m.Full {
		return decide.ListFull
	}
	return decide.ListDelta
}

// translate converts a list to the balancer's terms.
func (d *listWatcher) translate(m *discovery.Update, kind decide.ListKind) List {
	return translate(d.cfg, d.clock, d.log, m, kind)
}
