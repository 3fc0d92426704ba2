package discovery

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// failuresPerLog is how many failed watches in a row share one log line. A smaller value floods the log while
	// the list service is down; with a larger value a long outage is rarely logged again.
	failuresPerLog = 20
	// maxRemovedServers bounds the servers of Hub.Removed. With a smaller value a hub whose list changes much forgets
	// removals while records may still name the servers.
	maxRemovedServers = 1000
	// removedRetention is for how long a server is one of Hub.Removed. A larger value keeps out a server that records
	// name at the address of one that was removed long ago, a smaller one forgets removals while records still stand.
	removedRetention = time.Hour
	// maxBackoffDoublings prevents an overflow of the backoff's shift; MaxReconnectBackoff is reached much earlier.
	maxBackoffDoublings = 10
)

// HubOptions configure a Hub.
type HubOptions struct {
	Addr             string        // IP and port of the list service
	ConnectTimeout   time.Duration // timeout for the connection of a watch
	HeartbeatTimeout time.Duration // 0: the package's HeartbeatTimeout
	// Spread bounds the random delay after which a subscriber is notified of a server that has become ready, and of
	// the snapshot that the subscriber gets at its start: without a delay all instances would move to a new server at
	// the same time. Each subscriber has its own delay. Draining and removed servers are notified without delay.
	Spread time.Duration
	// MaxInitialDelay bounds the random wait before the first watch.
	MaxInitialDelay time.Duration
	// OnUrgent is called when an update removed or drained servers. It may be nil. The hub calls it with its lock
	// held, so it must neither block nor call the hub.
	OnUrgent func()
	Log      *slog.Logger
	Rand     *rand.Rand // guarded by the hub's lock; nil: a randomly seeded source
}

// Hub follows one endpoint list for many subscribers: it reads and decodes each update once, and notifies each
// subscriber after the subscriber's own delay. Its methods may be called from any goroutine.
type Hub struct {
	options HubOptions
	client  *http.Client

	mu          sync.Mutex
	version     int64             // version of the last update, from which the next watch resumes
	servers     map[string]Server // the current list, by ID
	removed     []removedServer   // see Removed
	loaded      bool              // whether a list has been received or restored
	subscribers map[*subscriber]struct{}
	watchCount  int           // number of watches started
	watchError  error         // why the last watch ended; nil: an update has arrived since
	ready       chan struct{} // closed when the first list is applied
}

// subscriber delivers updates to one callback, in order and one at a time. Its lock is taken after the hub's.
type subscriber struct {
	notify func(*Update)
	delay  time.Duration

	mu        sync.Mutex
	queue     []*Update
	timer     *time.Timer // timer of the delay; nil: it is not running
	notifying bool        // whether the delivery goroutine runs
	closed    bool
}

// removedServer is a server that the list has removed, and when.
type removedServer struct {
	Server
	at time.Time
}

// RemovedServer is a server that the list has removed.
type RemovedServer struct {
	Server
	Age time.Duration // the time since the removal
}

// NewHub returns a hub without a list. Call Run to follow the list.
func NewHub(options HubOptions) *Hub {
	if options.HeartbeatTimeout == 0 {
		options.HeartbeatTimeout = HeartbeatTimeout
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Hub{
		options:     options,
		client:      NewClient(options.ConnectTimeout),
		servers:     map[string]Server{},
		subscribers: map[*subscriber]struct{}{},
		ready:       make(chan struct{}),
	}
}

// Restore sets a list from before the process started, such as a saved snapshot. The first update of the list
// service, which the hub requests from version 0 on, replaces it.
func (h *Hub) Restore(m *Update) {
	full := *m
	full.Full = true
	full.Saved = true
	h.apply(&full, 0)
}

// RestoreRemoved sets the servers that the list had removed before the process started, oldest first. It is called
// before the first update.
func (h *Hub) RestoreRemoved(servers []RemovedServer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.removed = nil
	for _, server := range servers {
		h.removed = append(h.removed, removedServer{server.Server, now.Add(-server.Age)})
	}
	h.trimRemoved(now)
}

// Removed returns the servers that the list has removed within removedRetention and not named since, oldest first, as
// it named them last. It returns the last maxRemovedServers of them.
func (h *Hub) Removed() []RemovedServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.trimRemoved(now)
	var removed []RemovedServer
	for _, server := range h.removed {
		removed = append(removed, RemovedServer{server.Server, now.Sub(server.at)})
	}
	return removed
}

// noteRemoved brings h.removed up to date with an update. missing are the servers that a snapshot no longer names. The
// caller holds h.mu.
func (h *Hub) noteRemoved(m *Update, missing map[string]Server) {
	if len(h.removed) > 0 {
		named := map[string]bool{}
		for _, server := range m.Servers {
			named[server.ID] = true
		}
		h.removed = slices.DeleteFunc(h.removed, func(server removedServer) bool { return named[server.ID] })
	}
	now := time.Now()
	for _, server := range m.Servers {
		if server.State == stateRemoved {
			h.removed = append(h.removed, removedServer{server, now})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		h.removed = append(h.removed, removedServer{missing[id], now})
	}
	h.trimRemoved(now)
}

// trimRemoved drops the oldest of h.removed beyond the bounds. The caller holds h.mu.
func (h *Hub) trimRemoved(now time.Time) {
	excess := max(0, len(h.removed)-maxRemovedServers)
	for excess < len(h.removed) && now.Sub(h.removed[excess].at) > removedRetention {
		excess++
	}
	h.removed = slices.Delete(h.removed, 0, excess)
}

// Apply merges a snapshot or a delta into the list. The hub's watch calls it, and so may other code.
func (h *Hub) Apply(m *Update) { h.apply(m, m.Version) }

// Run keeps a watch open until ctx ends. Failed watches are retried with full jitter.
func (h *Hub) Run(ctx context.Context) {
	failures := 0
	wait := time.Duration(h.random() * float64(h.options.MaxInitialDelay))
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		received, err := Watch(ctx, h.client, h.options.Addr, h.startWatch(), h.options.HeartbeatTimeout, h.Apply)
		if ctx.Err() != nil {
			return
		}
		if received {
			failures = 0
		}
		failures++
		if failures == 1 || failures%failuresPerLog == 0 {
			h.options.Log.Warn("list not followed; retrying", "list", h.options.Addr, "error", err, "failures", failures)
		}
		h.mu.Lock()
		h.watchError = err
		h.mu.Unlock()
		wait = h.reconnectBackoff(failures)
	}
}

// startWatch counts a watch and returns the version to resume from.
func (h *Hub) startWatch() (version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchCount++
	return h.version
}

// reconnectBackoff draws the wait before the next watch, after at least one failure in a row.
func (h *Hub) reconnectBackoff(failures int) time.Duration {
	ceiling := min(MinReconnectBackoff<<min(failures-1, maxBackoffDoublings), MaxReconnectBackoff)
	return time.Duration(h.random() * float64(ceiling))
}

// random draws from [0, 1).
func (h *Hub) random() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.options.Rand.Float64()
}

// apply merges an update into the list and queues it for each subscriber.
func (h *Hub) apply(m *Update, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
	if version > 0 {
		h.watchError = nil
	}
	var missing map[string]Server // servers that a snapshot does not name
	if m.Full {
		missing = h.servers
		h.servers = map[string]Server{}
	}
	for _, server := range m.Servers {
		if server.State == stateRemoved {
			delete(h.servers, server.ID)
		} else {
			h.servers[server.ID] = server
		}
		delete(missing, server.ID)
	}
	h.noteRemoved(m, missing)
	immediate := h.loaded && isUrgent(m) // the very first list can't remove a server
	if !h.loaded {
		h.loaded = true
		close(h.ready)
	}
	for s := range h.subscribers {
		s.enqueue(m, immediate)
	}
	if immediate && h.options.OnUrgent != nil {
		h.options.OnUrgent()
	}
}

// isUrgent reports whether an update may drain or remove servers. A snapshot removes the servers that it lacks.
func isUrgent(m *Update) bool {
	return m.Full || slices.ContainsFunc(m.Servers, func(server Server) bool { return server.State != stateReady })
}

// Snapshot returns the current list, sorted by ID; nil before the first list.
func (h *Hub) Snapshot() *Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshotLocked()
}

func (h *Hub) snapshotLocked() *Update {
	if !h.loaded {
		return nil
	}
	m := &Update{Version: h.version, Full: true, Servers: []Server{}}
	for _, server := range h.servers {
		m.Servers = append(m.Servers, server)
	}
	slices.SortFunc(m.Servers, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return m
}

// Ready returns a channel that is closed once the hub has a list.
func (h *Hub) Ready() <-chan struct{} { return h.ready }

// HubState is the state of a hub for the admin endpoint.
type HubState struct {
	Addr    string `json:"list"`
	Version int64  `json:"version"`
	Servers int    `json:"servers"`
	Readers int    `json:"readers"`         // subscribers
	Reads   int    `json:"reads"`           // watches started
	Error   string `json:"error,omitempty"` // why the last watch ended; empty: an update has arrived since
}

// State returns the hub's state for the admin endpoint.
func (h *Hub) State() HubState {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := HubState{
		Addr:    h.options.Addr,
		Version: h.version,
		Servers: len(h.servers),
		Readers: len(h.subscribers),
		Reads:   h.watchCount,
	}
	if h.watchError != nil {
		state.Error = h.watchError.Error()
	}
	return state
}

// Subscribe passes the current list and then every update to notify, in order and never two at a time. Each
// subscriber has its own goroutine, so that notify may block without delaying others. After unsubscribe has
// returned, no further call of notify begins, but one may still be running.
func (h *Hub) Subscribe(notify func(*Update)) (unsubscribe func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &subscriber{
		notify: notify,
		delay:  time.Duration(h.options.Rand.Float64() * float64(h.options.Spread)),
	}
	h.subscribers[s] = struct{}{}
	if m := h.snapshotLocked(); m != nil {
		s.enqueue(m, false)
	}
	return func() {
		h.mu.Lock()
		delete(h.subscribers, s)
		h.mu.Unlock()
		s.close()
	}
}

// close drops the queued updates and stops the delay.
func (s *subscriber) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.queue = nil
	if s.timer != nil {
		s.timer.Stop()
	}
}

// enqueue queues an update for delivery after the subscriber's delay. An immediate update is delivered now, after
// all updates that are queued before it.
func (s *subscriber) enqueue(update *Update, immediate bool) {
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
		s.startDelivery()
	case s.timer == nil && !s.notifying:
		s.timer = time.AfterFunc(s.delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.timer = nil
			s.startDelivery()
		})
	}
}

// startDelivery starts the delivery goroutine unless it is running or no update is queued. The caller holds s.mu.
func (s *subscriber) startDelivery() {
	if s.notifying || len(s.queue) == 0 {
		return
	}
	s.notifying = true
	go s.deliver()
}

// deliver passes updates to the callback until the queue is empty.
func (s *subscriber) deliver() {
	for {
		update := s.dequeue()
		if update == nil {
			return
		}
		s.notify(update)
	}
}

// dequeue returns the next update; nil if there is none, which ends the delivery.
func (s *subscriber) dequeue() *Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 || s.closed {
		s.notifying = false
		return nil
	}
	update := s.queue[0]
	s.queue = s.queue[1:]
	return update
}
