// Package admin is the operators' door of one agent: an HTTP/1.1 listener of its own with one call a
// connection, for readiness, figures, servers taken out by hand, and clients sent away. It decides nothing
// and holds no state of the agent's.
package admin

import (
	"container/list"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/handoff"
	"vetchhaven/internal/host/metrics"
)

// Agent is what the door opens to.
type Agent interface {
	Accepting() bool
	Figures(wait time.Duration) core.Figures
	Ban(ctx context.Context, server string, out, force bool) (known bool, err error)
	Drain(on bool)
}

const (
	// callTime is what a caller waits: for its call to be read, and for the answer to be written.
	callTime = time.Second
	// askTime is what the agent's loop has to answer a call. A caller hears of a busy one in time.
	askTime = 700 * time.Millisecond
	// figuresTime is what it has to count servers; after it the figures tell of an earlier moment.
	figuresTime = 200 * time.Millisecond
	// mostSilent is how many callers may be connected without a whole call. Past it the oldest goes, so that
	// a call never waits for one that is not made.
	mostSilent = 24
)

// Door is an open door.
type Door struct {
	agent  Agent
	keeper Keeper
	log    *slog.Logger
	ln     net.Listener
	server *http.Server

	mu     sync.Mutex
	silent *list.List // of net.Conn, without a whole call; oldest first
	places map[net.Conn]*list.Element
}

// Keeper keeps what operators said for the process that comes after, or is there beside this one. Say
// returns once the other has heard of it.
type Keeper interface{ Say(c handoff.Change) error }

type none struct{}

func (none) Say(handoff.Change) error { return nil }

type connKey struct{}

// Open listens at addr and answers from now on. keeper may be nil.
func Open(addr string, a Agent, keeper Keeper, log *slog.Logger) (*Door, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	if keeper == nil {
		keeper = none{}
	}
	d := &Door{agent: a, keeper: keeper, log: log, ln: ln, silent: list.New(), places: map[net.Conn]*list.Element{}}
	d.server = &http.Server{Handler: d.calls(), ReadTimeout: callTime, WriteTimeout: 2 * callTime, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), ConnState: d.moved,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	d.server.SetKeepAlivesEnabled(false)
	go func() {
		if err := d.server.Serve(core.NewSteadyListener(ln)); !errors.Is(err, net.ErrClosed) {
			log.Error("admin", "error", err)
		}
	}()
	return d, nil
}

// Addr is where it listens.
func (d *Door) Addr() net.Addr { return d.ln.Addr() }

// Close closes it. Calls that are being answered go on.
func (d *Door) Close() error { return d.ln.Close() }

// moved keeps the books of callers that have made no whole call yet.
func (d *Door) moved(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.places[c] = d.silent.PushBack(c)
		if d.silent.Len() > mostSilent {
			_ = d.silent.Front().Value.(net.Conn).Close() // its end is told, and takes it out
			d.forget(d.silent.Front().Value.(net.Conn))
		}
	case http.StateClosed, http.StateHijacked:
		d.forget(c)
	}
}

// forget takes a caller out of the books. The lock is held.
func (d *Door) forget(c net.Conn) {
	if e := d.places[c]; e != nil {
		d.silent.Remove(e)
		delete(d.places, c)
	}
}

// Counting is an agent that tells what it has counted.
type Counting interface {
	Name() string
	Totals() core.Totals
	Counters() core.Counters
}

// counters shows what the agent has counted; nil: it counts nothing.
func (d *Door) counters() http.Handler {
	a, counts := d.agent.(Counting)
	if !counts {
		return nil
	}
	return metrics.Handler(func() []metrics.Agent {
		return []metrics.Agent{{Name: a.Name(), Totals: a.Totals(), Counters: a.Counters()}}
	})
}

func (d *Door) calls() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.agent.Accepting() {
			http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		}
	})
	counted := d.counters()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		if counted != nil && r.URL.Query().Get("format") == "prometheus" {
			counted.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(Encode(d.agent.Figures(figuresTime)))
	})
	mux.HandleFunc("PUT /backends/disable/{id}", func(w http.ResponseWriter, r *http.Request) { d.ban(w, r, true) })
	mux.HandleFunc("PUT /backends/enable/{id}", func(w http.ResponseWriter, r *http.Request) { d.ban(w, r, false) })
	mux.HandleFunc("PUT /drain", func(w http.ResponseWriter, _ *http.Request) { d.drain(w, true) })
	mux.HandleFunc("PUT /undrain", func(w http.ResponseWriter, _ *http.Request) { d.drain(w, false) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			d.mu.Lock()
			d.forget(c)
			d.mu.Unlock()
		}
		mux.ServeHTTP(w, r)
	})
}

func (d *Door) ban(w http.ResponseWriter, r *http.Request, out bool) {
	ctx, cancel := context.WithTimeout(r.Context(), askTime)
	defer cancel()
	id := r.PathValue("id")
	known, err := d.agent.Ban(ctx, id, out, false)
	switch {
	case err != nil:
		http.Error(w, "the agent does not answer: "+err.Error(), http.StatusServiceUnavailable)
	case !known:
		http.Error(w, fmt.Sprintf("no server %q is listed", id), http.StatusNotFound)
	default:
		d.kept(w, handoff.Change{Server: id, On: out})
	}
}

func (d *Door) drain(w http.ResponseWriter, on bool) {
	d.agent.Drain(on)
	d.kept(w, handoff.Change{On: on})
}

// kept answers yes once what holds here is kept, or says that another process may not know.
func (d *Door) kept(w http.ResponseWriter, c handoff.Change) {
	if err := d.keeper.Say(c); err != nil {
		d.log.Error("what an operator said holds here, and is not kept for another process", "error", err)
	}
	w.WriteHeader(http.StatusOK)
}

// Encode is a set of figures as GET /metrics gives it.
func Encode(f core.Figures) []byte {
	type class struct {
		Answered int64 `json:"answered"`
		Deferred int64 `json:"deferred"`
		Errored  int64 `json:"errored"`
		Sends    int64 `json:"sends"`
	}
	out := struct {
		Transactions map[string]class `json:"transactions"`
		Sends        int64            `json:"sends"`
		Current      int64            `json:"current"`
		Listed       int              `json:"cluster_size"`
		Avoided      int              `json:"cluster_unhealthy"`
	}{Transactions: map[string]class{}, Current: f.Open, Listed: f.Listed, Avoided: f.Avoided}
	for _, c := range f.Classes {
		out.Transactions[c.Name] = class{c.Answered, c.Deferred, c.Errored, c.Sends}
		out.Sends += c.Sends
	}
	text, err := json.Marshal(out)
	if err != nil { // numbers and names alone
		panic(err)
	}
	return append(text, '\n')
}
