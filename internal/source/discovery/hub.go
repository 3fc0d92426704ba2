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
	Addr           string
	ConnectTimeout time.Duration
	Silence        time.Duration // 0: the package's Silence
	// Spread is by how much later than the first some readers hear of a server that has come up, and
	// of the whole list at their start: else all would turn to it at once. What drains or is gone is
	// told at once.
	Spread time.Duration
	First  time.Duration // the first call comes after a random part of this
	Urgent func()        // called when servers were taken away; must not wait; may be nil
	Log    *slog.Logger
	Rand   *rand.Rand // may be nil
}

// Hub follows one list for many readers: it is read and decoded once, and each reader is told at
// its own time.
type Hub struct {
	o      HubOptions
	client *http.Client

	mu      sync.Mutex
	version int64
	servers map[string]Member
	known   bool // a whole list has come, or was given
	readers map[*reader]struct{}
	reads   int
	failing error // why it is not being followed; nil: it is
	since   time.Time
	told    chan struct{} // closed at the first list
}

// reader has what is to be told it, in order.
type reader struct {
	tell   func(*Members)
	spread time.Duration

	mu      sync.Mutex
	queue   []*Members
	timer   *time.Timer // runs while something waits for its time
	telling bool
	left    bool
}

// NewHub is a hub that knows nothing yet.
func NewHub(o HubOptions) *Hub {
	if o.Silence == 0 {
		o.Silence = Silence
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Hub{o: o, client: NewClient(o.ConnectTimeout), servers: map[string]Member{}, readers: map[*reader]struct{}{},
		told: make(chan struct{}), since: time.Now()}
}

// Give tells the hub a list of before, such as one that was saved. It holds until the first that
// is read.
func (h *Hub) Give(m *Members) {
	full := *m
	full.Full, full.Saved = true, true
	h.take(&full, 0)
}

// Apply tells what another than the list service has found: a whole list, or a change.
func (h *Hub) Apply(m *Members) { h.take(m, m.Version) }

// Run follows the list until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	fails := 0
	wait := time.Duration(h.rand() * float64(h.o.First))
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		h.mu.Lock()
		version := h.version
		h.reads++
		h.mu.Unlock()
		got, err := Watch(ctx, h.client, h.o.Addr, version, h.o.Silence, func(m *Members) { h.take(m, m.Version) })
		if ctx.Err() != nil {
			return
		}
		if got {
			fails = 0
		}
		if fails++; fails == 1 || fails%20 == 0 { // not a line for every try while it is down
			h.o.Log.Warn("list not followed", "list", h.o.Addr, "error", err, "failures", fails)
		}
		h.mu.Lock()
		h.failing = err
		h.mu.Unlock()
		// Full jitter below a doubling ceiling.
		wait = time.Duration(h.rand() * float64(min(ReconnectFirst<<min(fails-1, 10), ReconnectMost)))
	}
}

func (h *Hub) rand() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.o.Rand.Float64()
}

// take merges a message and passes it on.
func (h *Hub) take(m *Members, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.version = version; version > 0 {
		h.failing = nil
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
	now := h.known && urgent(m) // the very first list takes nothing away
	if !h.known {
		h.known = true
		close(h.told)
	}
	for r := range h.readers {
		r.add(m, now)
	}
	if now && h.o.Urgent != nil {
		h.o.Urgent()
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
	return h.snapshot()
}

func (h *Hub) snapshot() *Members {
	if !h.known {
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

// Told is closed once the hub knows a list.
func (h *Hub) Told() <-chan struct{} { return h.told }

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
	s := HubState{Addr: h.o.Addr, Version: h.version, Servers: len(h.servers), Readers: len(h.readers), Reads: h.reads}
	if h.failing != nil {
		s.Error = h.failing.Error()
	}
	return s
}

// Join has a reader told the list as it is, and every change, in order and never two at a time,
// until leave is called. tell may wait.
func (h *Hub) Join(tell func(*Members)) (leave func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &reader{tell: tell, spread: time.Duration(h.o.Rand.Float64() * float64(h.o.Spread))}
	h.readers[r] = struct{}{}
	if m := h.snapshot(); m != nil {
		r.add(m, false)
	}
	return func() {
		h.mu.Lock()
		delete(h.readers, r)
		h.mu.Unlock()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.left, r.queue = true, nil
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// add has a message told at the reader's time, or now with all that waits before it.
func (r *reader) add(m *Members, now bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left {
		return
	}
	r.queue = append(r.queue, m)
	switch {
	case now || r.spread == 0:
		if r.timer != nil {
			r.timer.Stop()
			r.timer = nil
		}
		r.start()
	case r.timer == nil && !r.telling:
		r.timer = time.AfterFunc(r.spread, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.timer = nil
			r.start()
		})
	}
}

// start tells what waits, in a goroutine that ends when nothing does. The lock is held.
func (r *reader) start() {
	if r.telling || len(r.queue) == 0 {
		return
	}
	r.telling = true
	go func() {
		for {
			r.mu.Lock()
			if len(r.queue) == 0 || r.left {
				r.telling = false
				r.mu.Unlock()
				return
			}
			m := r.queue[0]
			r.queue = r.queue[1:]
			r.mu.Unlock()
			r.tell(m)
		}
	}()
}
