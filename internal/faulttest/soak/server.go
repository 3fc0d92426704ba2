package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

// ServerFault is a kind of misbehaviour of a server.
type ServerFault int

// The faults of servers.
const (
	ServerServes     ServerFault = iota
	ServerHangs                  // reads requests and answers none
	ServerResets                 // resets connections while requests are in progress
	ServerErrors                 // answers 500, or 503 with the header that the request never ran
	ServerSendsExtra             // sends extra bytes after an answer, at once or some milliseconds later
	ServerClosesIdle             // closes or resets connections soon after an answer, without notice
	ServerTrickles               // sends answers in small pieces, some of them incomplete
	ServerSilent                 // reads nothing, like an unreachable machine
)

// server is a stand-in server. Its simulated process may end and start again at another address.
type server struct {
	id, zone string
	cell     int
	unplaced bool // the lists tell neither its zone nor its cell
	rec      *Recorder
	workers  chan struct{}
	service  time.Duration // mean service time

	mu          sync.Mutex
	ln          net.Listener
	process     int
	started     time.Time // start of the process; zero: long ago
	conns       map[net.Conn]bool
	fault       ServerFault
	silentUntil chan struct{} // closed when ServerSilent ends
	rng         *rand.Rand
	running     sync.WaitGroup
	reserved    bool // the process is reserved by an incident
}

// acquire reserves the server's process for one incident.
func (s *server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved {
		return false
	}
	s.reserved = true
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved = false
}

func newServer(id, zone string, cell, workers int, service time.Duration, rec *Recorder, seed uint64) (*server, error) {
	s := &server{id: id, zone: zone, cell: cell, rec: rec, workers: make(chan struct{}, workers), service: service, conns: map[net.Conn]bool{},
		rng: rand.New(rand.NewPCG(seed, 11)), silentUntil: make(chan struct{})}
	return s, s.start(time.Time{})
}

// start starts a process of the server.
func (s *server) start(at time.Time) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.mu.Lock()
	s.ln, s.started = ln, at
	s.process++
	process := s.process
	s.mu.Unlock()
	s.running.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			s.running.Go(func() { s.serve(c, process) })
		}
	})
	return nil
}

// crash ends the server's process: connections are reset, and new ones are refused.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.ln.Close()
	for c := range s.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// setFault changes the server's fault.
func (s *server) setFault(way ServerFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == ServerSilent && way != ServerSilent { // the simulated machine is reachable again and resets its open connections
		close(s.silentUntil)
		s.silentUntil = make(chan struct{})
		for c := range s.conns {
			abort(c)
		}
	}
	s.fault = way
}

func (s *server) currentFault() (ServerFault, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.silentUntil
}

// chance returns true with probability p, drawn from the server's seed.
func (s *server) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *server) between(least, most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return least + time.Duration(s.rng.Float64()*float64(most-least))
}

func (s *server) member() (addr string, process int, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln.Addr().String(), s.process, s.started
}

func (s *server) serve(c net.Conn, process int) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		if way, over := s.currentFault(); way == ServerSilent {
			<-over
			return
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		began := s.rec.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if way, over := s.currentFault(); way == ServerSilent {
			<-over
			return
		}
		if !s.answer(c, in, req, process, began) {
			return
		}
	}
}

// answer handles one request and reports whether the connection can be used further.
func (s *server) answer(c net.Conn, in *bufio.Reader, req *http.Request, process int, began time.Duration) bool {
	if req.URL.Path == "/ping" || req.URL.Path == "/_load" {
		return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	way, _ := s.currentFault()
	id := req.Header.Get("X-Trace-Id")
	left, _ := strconv.ParseFloat(req.Header.Get("X-Expires-In"), 64)
	neverRan := way == ServerErrors && s.chance(0.5)
	// The arrival time is that of the last byte, however long the request waits for a worker.
	arrived := check.Event{Kind: check.RequestArrived, At: s.rec.Now(), Request: id, Server: s.id, Process: process, Began: began, Left: time.Duration(left * float64(time.Second)),
		Class: strings.SplitN(strings.TrimPrefix(req.URL.Path, "/"), "/", 2)[0], Ran: !neverRan}
	select {
	case s.workers <- struct{}{}:
		defer func() { <-s.workers }()
	default:
		if len(s.workers) == cap(s.workers) && !s.queue() {
			arrived.Ran = false
			s.rec.Put(arrived)
			return write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}
		defer func() { <-s.workers }()
	}
	s.rec.Put(arrived)
	defer s.rec.Put(check.Event{Kind: check.RequestDone, Request: id, Server: s.id, Process: process})
	switch way {
	case ServerHangs:
		_, _ = in.Peek(1) // until the agent closes the connection
		return false
	case ServerResets:
		time.Sleep(s.between(0, s.service))
		if s.chance(0.5) {
			abort(c)
			return false
		}
	case ServerErrors:
		if neverRan {
			return write(c, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return write(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	}
	time.Sleep(s.between(s.service/4, s.service*7/4))
	return s.writeAnswer(c, way, id)
}

// maxQueueWait is how long a request waits for a worker before it is refused.
const maxQueueWait = 100 * time.Millisecond

func (s *server) queue() bool {
	limit := time.NewTimer(maxQueueWait)
	defer limit.Stop()
	select {
	case s.workers <- struct{}{}:
		return true
	case <-limit.C:
		return false
	}
}

// writeAnswer writes a served answer in one of the framings that the protocol allows.
func (s *server) writeAnswer(c net.Conn, way ServerFault, id string) bool {
	body := bodyOf(id) + strings.Repeat("x", int(s.between(0, 2000)))
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	goesOn := true
	switch {
	case s.chance(0.15):
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case s.chance(0.05):
		text, goesOn = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body, false
	}
	switch way {
	case ServerTrickles:
		for len(text) > 0 {
			n := min(len(text), 400)
			if !write(c, text[:n]) || s.chance(0.05) {
				return false
			}
			text = text[n:]
			time.Sleep(5 * time.Millisecond)
		}
		return goesOn
	case ServerSendsExtra:
		if !write(c, text) {
			return false
		}
		time.Sleep(s.between(0, 15*time.Millisecond))
		return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray") && goesOn
	case ServerClosesIdle:
		if !write(c, text) {
			return false
		}
		time.Sleep(s.between(0, 60*time.Millisecond))
		if s.chance(0.5) {
			abort(c)
		}
		return false
	}
	return write(c, text) && goesOn
}

// bodyOf returns the beginning of the answer to a request, from which the client recognizes the answer as its own.
func bodyOf(id string) string { return "done " + id + "\n" }

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func (s *server) close() {
	s.setFault(ServerServes)
	s.crash()
	s.running.Wait()
}
