// Package admin implements the admin endpoint of one agent: a separate HTTP/1.1 listener that reports readiness and
// counters, and through which operators disable endpoints and drain clients. A connection serves one call.
//
// The package makes no decisions and holds none of the agent's state: it passes each call to the agent, and each
// change by an operator to a Publisher, which applies the change in the agent's other processes too. Handlers run in
// goroutines of net/http.
package admin

import (
	"container/list"
	"context"
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

// Agent is the agent that the endpoint serves. Its methods are called from several goroutines at once.
type Agent interface {
	// Accepting reports whether the agent accepts clients.
	Accepting() bool
	// Status returns the agent's counters, after at most wait.
	Status(wait time.Duration) core.Status
	// SetServerDisabled disables or enables an endpoint. If no endpoint list contains it, known is false and the call
	// has no effect.
	SetServerDisabled(ctx context.Context, server string, disabled bool) (known bool, err error)
	// SetDrained makes the agent send its clients to other agents, or accept clients again.
	SetDrained(drained bool)
}

// Publisher shares an operator's change with the agent's other processes and with the process that replaces this one.
// Publish returns once the others have applied the change, or an error after handoff.AckTimeout; in that case the
// change may have been stored nevertheless.
type Publisher interface{ Publish(c handoff.Change) error }

const (
	// callTimeout bounds reading a call (header and body). Handling the call and writing its response may take twice
	// as long.
	callTimeout = time.Second
	// agentTimeout bounds disabling or enabling an endpoint in the agent, so that the caller of a busy agent gets an
	// error before the caller itself times out. Publishing the change takes up to handoff.AckTimeout more.
	agentTimeout = 700 * time.Millisecond
	// figuresTimeout bounds the wait for current endpoint counts; after it the response contains earlier counts.
	figuresTimeout = 200 * time.Millisecond
	// maxIdleConns bounds the connections that have not sent the complete header of a call. Beyond the bound the
	// oldest one is closed, so that idle connections never prevent a call.
	maxIdleConns = 24
	// maxHeaderBytes bounds the header of a call.
	maxHeaderBytes = 8 << 10
)

// Server is a running admin endpoint.
type Server struct {
	agent     Agent
	publisher Publisher
	log       *slog.Logger
	ln        net.Listener
	server    *http.Server

	mu           sync.Mutex
	idle         *list.List // of net.Conn: connections that have not sent the complete header of a call, oldest first
	idleElements map[net.Conn]*list.Element
}

// noPublisher is the Publisher of an agent that has no other processes.
type noPublisher struct{}

func (noPublisher) Publish(handoff.Change) error { return nil }

// connKey is the context key under which a call's connection is stored.
type connKey struct{}

// Listen listens on addr and serves calls until Close. publisher may be nil.
func Listen(addr string, agent Agent, publisher Publisher, log *slog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin_addr: %w", err)
	}
	if publisher == nil {
		publisher = noPublisher{}
	}
	s := &Server{
		agent:        agent,
		publisher:    publisher,
		log:          log,
		ln:           ln,
		idle:         list.New(),
		idleElements: map[net.Conn]*list.Element{},
	}
	s.server = &http.Server{
		Handler:        s.handler(),
		ReadTimeout:    callTimeout,
		WriteTimeout:   2 * callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
		ConnState:      s.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	go s.serve()
	return s, nil
}

// serve runs until the listener is closed.
func (s *Server) serve() {
	if err := s.server.Serve(core.NewRetryingListener(s.ln)); !errors.Is(err, net.ErrClosed) {
		s.log.Error("admin", "error", err)
	}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close stops listening. Calls in progress are completed.
func (s *Server) Close() error { return s.ln.Close() }

// trackConn records the connections that have not sent the complete header of a call yet, and closes the oldest one
// if there are more than maxIdleConns.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.idleElements[c] = s.idle.PushBack(c)
		if s.idle.Len() > maxIdleConns {
			oldest := s.idle.Front().Value.(net.Conn)
			_ = oldest.Close() // an error on closing does not matter: the connection is discarded
			s.untrackConn(oldest)
		}
	case http.StateClosed, http.StateHijacked:
		s.untrackConn(c)
	}
}

// untrackConn removes a connection from the idle connections. The caller holds s.mu.
func (s *Server) untrackConn(c net.Conn) {
	if e := s.idleElements[c]; e != nil {
		s.idle.Remove(e)
		delete(s.idleElements, c)
	}
}

// CounterSource is implemented by an Agent that has counters for GET /metrics?format=prometheus.
type CounterSource interface {
	Name() string
	Totals() core.Totals
	Counters() core.Counters
}

// metricsHandler returns a handler that exposes the agent's counters, or nil if the agent has none.
func (s *Server) metricsHandler() http.Handler {
	a, counts := s.agent.(CounterSource)
	if !counts {
		return nil
	}
	return metrics.Handler(func() []metrics.Agent {
		return []metrics.Agent{{Name: a.Name(), Totals: a.Totals(), Counters: a.Counters()}}
	})
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /metrics", s.metrics(s.metricsHandler()))
	mux.HandleFunc("PUT /backends/disable/{id}", func(w http.ResponseWriter, r *http.Request) { s.setDisabled(w, r, true) })
	mux.HandleFunc("PUT /backends/enable/{id}", func(w http.ResponseWriter, r *http.Request) { s.setDisabled(w, r, false) })
	mux.HandleFunc("PUT /drain", func(w http.ResponseWriter, _ *http.Request) { s.setDraining(w, true) })
	mux.HandleFunc("PUT /undrain", func(w http.ResponseWriter, _ *http.Request) { s.setDraining(w, false) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok { // the header of the call is complete
			s.mu.Lock()
			s.untrackConn(c)
			s.mu.Unlock()
		}
		mux.ServeHTTP(w, r)
	})
}

// ready answers 200 while the agent accepts clients.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.agent.Accepting() {
		http.Error(w, "takes no clients", http.StatusServiceUnavailable)
	}
}

// metrics answers with the platform's figures as JSON, or with counters for Prometheus if the query requests them and
// prometheus is not nil.
func (s *Server) metrics(prometheus http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if prometheus != nil && r.URL.Query().Get("format") == "prometheus" {
			prometheus.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(EncodeFigures(s.agent.Status(figuresTimeout)))
	}
}

// setDisabled disables or enables the endpoint that the call names.
func (s *Server) setDisabled(w http.ResponseWriter, r *http.Request, disabled bool) {
	ctx, cancel := context.WithTimeout(r.Context(), agentTimeout)
	defer cancel()
	id := r.PathValue("id")
	known, err := s.agent.SetServerDisabled(ctx, id, disabled)
	switch {
	case err != nil:
		http.Error(w, "the agent does not answer: "+err.Error(), http.StatusServiceUnavailable)
	case !known:
		http.Error(w, fmt.Sprintf("no server %q is listed", id), http.StatusNotFound)
	default:
		s.publish(w, handoff.Change{Server: id, On: disabled})
	}
}

// setDraining makes the agent drain, or accept clients again.
func (s *Server) setDraining(w http.ResponseWriter, on bool) {
	s.agent.SetDrained(on)
	s.publish(w, handoff.Change{On: on})
}

// publish shares a change that is already in effect in this process, and answers 200 even if that fails: the
// operator's change is in effect in this process anyway, and a log line reports that other processes may not have
// applied it.
func (s *Server) publish(w http.ResponseWriter, c handoff.Change) {
	if err := s.publisher.Publish(c); err != nil {
		s.log.Error("an operator's change is in effect in this process, but could not be shared with the agent's other processes",
			"error", err)
	}
	w.WriteHeader(http.StatusOK)
}
