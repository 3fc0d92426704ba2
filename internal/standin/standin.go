// Package standin contains small stand-in servers on loopback for tests and tools: the platform's list service, and
// form servers whose answers a test scripts. internal/simulate has realistic models of both.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/source/discovery"
)

const keepAlive = 2 * time.Second // interval of empty lines in a watch while no entry changes

// List is a list service. It returns the complete list, and sends each change immediately to all watches.
type List struct {
	server *httptest.Server

	mu         sync.Mutex
	version    int64
	servers    map[string]discovery.Server
	changed    map[string]int64 // version of each entry's last change, including entries with the state gone
	nextChange chan struct{}    // closed at each change
	down       bool
	calls      atomic.Int64
}

// NewList starts a list on a free port of loopback, or on the given address.
func NewList(addr string, servers ...discovery.Server) (*List, error) {
	l := &List{servers: map[string]discovery.Server{}, changed: map[string]int64{}, nextChange: make(chan struct{})}
	l.Set(servers...)
	l.server = httptest.NewUnstartedServer(l)
	if addr != "" {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		_ = l.server.Listener.Close()
		l.server.Listener = ln
	}
	l.server.Start()
	return l, nil
}

// Addr returns the address on which the list service listens.
func (l *List) Addr() string { return l.server.Listener.Addr().String() }

// Close stops the list service and ends all watches.
func (l *List) Close() {
	l.SetDown(true)
	l.server.CloseClientConnections()
	l.server.Close()
}

// Calls returns the number of calls received.
func (l *List) Calls() int { return int(l.calls.Load()) }

// Set changes entries. An entry whose new state is gone stays in the list with that state.
func (l *List) Set(servers ...discovery.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, s := range servers {
		l.servers[s.ID] = s
		l.changed[s.ID] = l.version
	}
	close(l.nextChange)
	l.nextChange = make(chan struct{})
}

// SetDown makes all calls fail and ends all watches, or makes the service available again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	close(l.nextChange)
	l.nextChange = make(chan struct{})
}

func (l *List) since(version int64) (m discovery.Update, next chan struct{}, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m = discovery.Update{Version: l.version, Full: version <= 0 || version > l.version, Servers: []discovery.Server{}}
	for id, s := range l.servers {
		if m.Full && s.State != "gone" || !m.Full && l.changed[id] > version {
			m.Servers = append(m.Servers, s)
		}
	}
	return m, l.nextChange, l.down
}

func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls.Add(1)
	version, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	for first := true; ; first = false {
		m, next, down := l.since(version)
		if down {
			if first {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if first || len(m.Servers) > 0 {
			if json.NewEncoder(w).Encode(m) != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			version = m.Version
		}
		if r.URL.Query().Get("follow") != "1" {
			return
		}
		alive := time.NewTimer(keepAlive)
		select {
		case <-next:
		case <-alive.C: // an empty line, as the protocol requires
			if _, err := w.Write([]byte{'\n'}); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
		alive.Stop()
	}
}

// FormServer is a form server: it counts requests and answers 200, unless Handle is set.
type FormServer struct {
	ID     string
	Handle http.HandlerFunc // writes the answer instead; may be nil

	server       *httptest.Server
	received     atomic.Int64
	mu           sync.Mutex
	receivedByID map[string]int
}

// NewFormServer starts a form server on a free port of loopback.
func NewFormServer(id string, handle http.HandlerFunc) *FormServer {
	f := &FormServer{ID: id, Handle: handle, receivedByID: map[string]int{}}
	f.server = httptest.NewServer(f)
	return f
}

// Close stops the server: connections to it are reset.
func (f *FormServer) Close() {
	f.server.CloseClientConnections()
	f.server.Close()
}

// Member returns the server as an entry of an endpoint list.
func (f *FormServer) Member(state string) discovery.Server {
	return discovery.Server{ID: f.ID, Addr: strings.TrimPrefix(f.server.URL, "http://"), Zone: "a", Kind: "k", Cell: new(0), State: state, Weight: 1}
}

// Requests returns the number of requests received.
func (f *FormServer) Requests() int { return int(f.received.Load()) }

// Times returns how many requests with the given X-Trace-Id were received.
func (f *FormServer) Times(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receivedByID[id]
}

func (f *FormServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.received.Add(1)
	f.mu.Lock()
	f.receivedByID[r.Header.Get("X-Trace-Id")]++
	f.mu.Unlock()
	if f.Handle != nil {
		f.Handle(w, r)
		return
	}
	_, _ = w.Write([]byte(f.ID))
}
