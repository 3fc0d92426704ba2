package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// HubOptions say how a list is followed.
type HubOptions struct {
	Addr             string
	ConnectTimeout   time.Duration
	HeartbeatTimeout time.Duration // 0: the package's Silence
	// Spread is by how much later than the first some readers hear of a server that has come up, and
	// of the whole list at their start: else all would turn to it at once. What drains or is gone is
	// told at once.
	Spread          time.Duration
	MaxInitialDelay time.Duration // the first call comes after a random part of this
	OnUrgent        func()        // called when servers were taken away; must not wait; may be nil
	Log             *slog.Logger
	Rand            *rand.Rand // may be nil
}

// Hub follows one list for many readers: it is read and decoded once, and each reader is told at
// its own time.
type Hub struct {
	options HubOptions
	client  *http.Client

	mu          sync.Mutex
	version     int64
	servers     map[string]Member
	loaded      bool // a whole list has come, or was given
	subscribers map[*subscriber]struct{}
	watchCount  int
	watchError  error // why it is not being followed; nil: it is
	since       time.Time
	ready       chan struct{} // closed at the first list
}

// subscriber has what is to be told it, in order.
type subscriber struct {
	notify func(*Members)
	delay  time.Duration

	mu        sync.Mutex
	queue     []*Members
	timer     *time.Timer // runs while something waits for its time
	notifying bool
	closed    bool
}

// NewHub is a hub that knows nothing yet.
func NewHub(options HubOptions) *Hub {
	if options.HeartbeatTimeout == 0 {
		options.HeartbeatTimeout = HeartbeatTimeout
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Hub{options: options, client: NewClient(options.ConnectTimeout), servers: map[string]Member{}, subscribers: map[*subscriber]struct{}{},
		ready: make(chan struct{}), since: time.Now()}
}

// Restore tells the hub a list of before, such as one that was saved. It holds until the first that
// is read.
func (h *Hub) Restore(m *Members) {
	full := *m
	full.Full, full.Saved = true, true
	h.apply(&full, 0)
}

// Apply tells what another than the list service has found: a whole list, or a change.
func (h *Hub) Apply(m *Members) { h.apply(m, m.Version) }

// Run follows the list until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	failures := 0
	wait := time.Duration(h.random() * float64(h.options.MaxInitialDelay))
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		h.mu.Lock()
		version := h.version
		h.watchCount++
		h.mu.Unlock()
		received, err := Watch(ctx, h.client, h.options.Addr, version, h.options.HeartbeatTimeout, func(m *Members) { h.apply(m, m.Version) })
		if ctx.Err() != nil {
			return
		}
		if received {
			failures = 0
		}
		if failures++; failures == 1 || failures%20 == 0 { // not a line for every try while it is down
			h.options.Log.Warn("list not followed", "list", h.options.Addr, "error", err, "failures", failures)
		}
		h.mu.Lock()
		h.watchError = err
		h.mu.Unlock()
		// Full jitter below a doubling ceiling.
		wait = time.Duration(h.random() * float64(min(MinReconnectBackoff<<min(failures-1, 10), MaxReconnectBackoff)))
	}
}

func (h *Hub) random() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.options.Rand.Float64()
}

// apply merges a message and passes it on.
func (h *Hub) apply(m *Members, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.version = version; version > 0 {
		h.watchError = nil
	}
	if m.Full {
		h.servers = map[string]Member{}
	}
	for _, s := range m.Servers {
		if s.State == "gone" {
			delete(h.servers, s.ID)
		} else {
			h.servers[s.ID] = s
		}
	}
	now := h.loaded && urgent(m) // the very first list takes nothing away
	if !h.loaded {
		h.loaded = true
		close(h.ready)
	}
	for r := range h.subscribers {
		r.enqueue(m, now)
	}
	if now && h.options.OnUrgent != nil {
		h.options.OnUrgent()
	}
}

// urgent reports whether a message takes servers away: each reader hears that at once. A whole list
// may.
func urgent(m *Members) bool {
	return m.Full || slices.ContainsFunc(m.Servers, func(s Member) bool { return s.State != "ready" })
}

// Snapshot is the whole list as known now, by id, and its version; nil before any is known.
func (h *Hub) Snapshot() *Members {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshotLocked()
}

func (h *Hub) snapshotLocked() *Members {
	if !h.loaded {
		return nil
	}
	m := &Members{Version: h.version, Full: true, Servers: []Member{}}
	for _, s := range h.servers {
		m.Servers = append(m.Servers, s)
	}
	slices.SortFunc(m.Servers, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return m
}

// Ready is closed once the hub knows a list.
func (h *Hub) Ready() <-chan struct{} { return h.ready }

// HubState is how a hub stands.
type HubState struct {
	Addr    string `json:"list"`
	Version int64  `json:"version"`
	Servers int    `json:"servers"`
	Readers int    `json:"readers"`
	Reads   int    `json:"reads"`
	Error   string `json:"error,omitempty"` // why it is not being followed
}

// State tells how the hub stands.
func (h *Hub) State() HubState {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := HubState{Addr: h.options.Addr, Version: h.version, Servers: len(h.servers), Readers: len(h.subscribers), Reads: h.watchCount}
	if h.watchError != nil {
		s.Error = h.watchError.Error()
	}
	return s
}

// Subscribe has a reader told the list as it is, and every change, in order and never two at a time,
// until leave is called. tell may wait.
func (h *Hub) Subscribe(notify func(*Members)) (unsubscribe func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &subscriber{notify: notify, delay: time.Duration(h.options.Rand.Float64() * float64(h.options.Spread))}
	h.subscribers[r] = struct{}{}
	if m := h.snapshotLocked(); m != nil {
		r.enqueue(m, false)
	}
	return func() {
		h.mu.Lock()
		delete(h.subscribers, r)
		h.mu.Unlock()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.closed, r.queue = true, nil
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// enqueue has a message told at the reader's time, or now with all that waits before it.
func (s *subscriber) enqueue(update *Members, immediate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.queue = append(s.queue, update)
	switch {
	case immediate || s.delay == 0:
		if s.timer != nil {
			s.timer.Stop()
			s.timer = nil
		}
		s.deliver()
	case s.timer == nil && !s.notifying:
		s.timer = time.AfterFunc(s.delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.timer = nil
			s.deliver()
		})
	}
}

// deliver tells what waits, in a goroutine that ends when nothing does. The lock is held.
func (s *subscriber) deliver() {
	if s.notifying || len(s.queue) == 0 {
		return
	}
	s.notifying = true
	go func() {
		for {
			s.mu.Lock()
			if len(s.queue) == 0 || s.closed {
				s.notifying = false
				s.mu.Unlock()
				return
			}
			update := s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			s.notify(update)
		}
	}()
}
