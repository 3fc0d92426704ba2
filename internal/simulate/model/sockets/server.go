package sockets

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/model"
)

// place is a server's address, or rather one for each agent: by it the way to the server is that
// agent's own.
type place struct {
	doors []*door // by agent
}

func (p *place) close(running *sync.WaitGroup) {
	for _, d := range p.doors {
		d.want(shut, running, func(error) {})
	}
}

// open makes a place's doors; they stay shut until settle. Addresses are fixed here for good.
func (g *stage) open(n int) error {
	if g.places[n] != nil {
		return nil
	}
	p := &place{}
	g.places[n] = p
	for a := range g.doors() {
		d, err := newDoor(func(nc net.Conn) { g.serve(n, a, nc) })
		if err != nil {
			return fmt.Errorf("a stand-in server's address: %w", err)
		}
		p.doors = append(p.doors, d)
	}
	return nil
}

// settle opens, shuts or silences all doors as the world is now. The lock is held.
func (g *stage) settle() {
	for n, p := range g.places {
		proc := g.world.At(n)
		for a, d := range p.doors {
			state := shut
			if proc != nil {
				if state = open; g.silent(proc, a) {
					state = silent
				}
			}
			d.want(state, &g.running, func(err error) {
				g.mu.Lock()
				defer g.mu.Unlock()
				if g.quit.Err() == nil {
					g.fail(fmt.Errorf("a stand-in server's address: %w", err))
				}
			})
		}
	}
}

// silent reports whether nothing passes between a process and an agent. The lock is held.
func (g *stage) silent(p *model.Proc, agent int) bool {
	return p.Silent || !g.world.Net.Open(g.s.ZoneOf(agent), p.Spec.Zone)
}

// conn is a connection of an agent to a process.
type conn struct {
	g        *stage
	id       int
	agent    int
	proc     *model.Proc
	net      *net.TCPConn
	accepted bool
	answers  chan answer
	lost     bool // something on it vanished on its way: nothing comes on it any more
	gone     bool
	idle     bool // closed by the server, which has had no request on it for long
}

type answer struct {
	result decide.Result
	load   decide.Load
	id     string
}

// reply hands an answer to the connection's goroutine. The lock is held.
func (c *conn) reply(a answer) {
	select {
	case c.answers <- a:
	default: // one request at a time is on a connection
	}
}

// abort ends the connection with a reset. The lock is held.
func (c *conn) abort() {
	c.gone = true
	_ = c.net.SetLinger(0) // a reset, not an end
	_ = c.net.Close()
	select {
	case c.answers <- answer{result: decide.Reset}:
	default:
	}
}

// idleClose ends a connection that has stood idle. The lock is held.
func (c *conn) idleClose() {
	c.idle = true
	_ = c.net.Close()
}

var errEnd = errors.New("the connection has ended")

// serve is the goroutine of one connection.
func (g *stage) serve(n, agent int, nc net.Conn) {
	defer nc.Close()
	tcp, ok := nc.(*net.TCPConn)
	g.mu.Lock()
	proc := g.world.At(n)
	if proc == nil || !ok || g.quit.Err() != nil {
		g.mu.Unlock()
		return
	}
	g.lastID++
	c := &conn{g: g, id: g.lastID, agent: agent, proc: proc, net: tcp, answers: make(chan answer, 1)}
	g.conns[c.id] = c
	if g.silent(proc, agent) { // it was in the kernel's queue when the silence began
		c.lost = true
	} else {
		g.did(proc, proc.Step(g.now(), model.Dial{Conn: c.id, Agent: agent}))
		if !c.accepted {
			_ = tcp.SetLinger(0)
			delete(g.conns, c.id)
			g.mu.Unlock()
			return
		}
	}
	kind := &g.s.Kinds[proc.Spec.Kind]
	trips := time.Duration(kind.HandshakeRTT * 2 * float64(g.way(proc, agent)))
	g.mu.Unlock()
	reader := bufio.NewReader(nc)
	for first := true; ; first = false {
		if err := c.one(reader, first, trips); err != nil {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c.id)
	if !c.proc.Dead && !c.lost {
		g.did(c.proc, c.proc.Step(g.now(), model.Hangup{Conn: c.id}))
	}
}

// way is how long the next message takes. The lock is held.
func (g *stage) way(p *model.Proc, agent int) time.Duration {
	return g.world.Net.Way(g.s.ZoneOf(agent), p.Spec.Zone)
}

// one takes one request on a connection and answers it.
func (c *conn) one(reader *bufio.Reader, first bool, trips time.Duration) error {
	if _, err := reader.Peek(1); err != nil {
		return err
	}
	g := c.g
	began := g.now()
	req, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	g.mu.Lock()
	if g.silent(c.proc, c.agent) || c.lost {
		c.lost = true
		g.mu.Unlock()
		return c.hush(reader)
	}
	way := g.way(c.proc, c.agent)
	if first {
		way += trips
	}
	breaks, before := g.world.Net.Breaks()
	g.mu.Unlock()
	time.Sleep(way)
	g.mu.Lock()
	if breaks && before || c.gone {
		c.abort()
		g.mu.Unlock()
		return errEnd
	}
	if !g.arrive(c, req, began) {
		g.mu.Unlock()
		return errEnd
	}
	if breaks {
		c.abort()
		g.mu.Unlock()
		return errEnd
	}
	c.lost = c.lost || g.world.Net.Loses()
	g.mu.Unlock()
	hungUp := make(chan struct{})
	go func() { // a client that gives up ends its connection: then nobody waits for the answer
		defer close(hungUp)
		_, _ = reader.Peek(1)
	}()
	var a answer
	select {
	case a = <-c.answers:
	case <-hungUp:
		return errEnd
	case <-g.quit.Done():
		_ = c.net.Close()
		<-hungUp
		return errEnd
	}
	if a.result == decide.Reset {
		<-hungUp // abort has closed it
		return errEnd
	}
	g.mu.Lock()
	way = g.way(c.proc, c.agent)
	hushed := g.silent(c.proc, c.agent) || c.lost
	c.lost = hushed
	g.mu.Unlock()
	if hushed {
		<-hungUp
		return errEnd
	}
	time.Sleep(way)
	if err := c.write(a); err != nil {
		<-hungUp
		return err
	}
	<-hungUp // the next request's first byte, or the end
	return nil
}

// hush keeps a connection open and silent until the other side ends it.
func (c *conn) hush(reader *bufio.Reader) error {
	_, _ = io.Copy(io.Discard, reader)
	return errEnd
}

// arrive gives a request to the model. It reports whether there will be an answer. The lock is held.
func (g *stage) arrive(c *conn, req *http.Request, began time.Duration) bool {
	now := g.now()
	id := req.Header.Get("X-Trace-Id")
	t := g.tries[id]
	named, from := g.named(c), c.agent
	if t != nil && g.outside() {
		from = t.task.Agent
	}
	g.judge.Arrived(now, began, from, id, named)
	if named != c.proc.Name {
		g.judge.Moved(id, named, c.proc.Name)
	}
	if t == nil || c.proc.Dead {
		return false
	}
	work, luck := t.task.Attempt(g.s, t.chance, t.try, t.attempts)
	t.attempts++
	g.day.Attempt(now, t.task.Class, named)
	g.did(c.proc, c.proc.Step(now, model.Arrive{Conn: c.id, Job: model.Job{ID: id, Agent: from, Class: t.task.Class,
		Key: req.Header.Get("Idempotency-Key"), Work: work, Luck: luck, Sent: began}}))
	return !c.proc.Dead
}

// named is the server that the agent means by this connection's address: the latest that it was
// told of there. The lock is held.
func (g *stage) named(c *conn) string {
	if w := g.watches[c.agent]; w != nil {
		if name, ok := w.names[c.proc.Spec.Place]; ok {
			return name
		}
	}
	return c.proc.Name
}

// write sends an answer in the protocol's words.
func (c *conn) write(a answer) error {
	status, head := "200 OK", ""
	body := "done " + a.id + "\n"
	switch a.result {
	case decide.Errored:
		status = "500 Internal Server Error"
	case decide.Rejected:
		status, head = "503 Service Unavailable", "X-Never-Ran: 1\r\n"
	}
	if a.load.Valid {
		head += "Endpoint-Load-Metrics: TEXT queue=" + strconv.FormatFloat(a.load.Queue, 'f', 2, 64) +
			", inflight=" + strconv.FormatFloat(a.load.InFlight, 'f', 2, 64) +
			", eps=" + strconv.FormatFloat(a.load.ErrorsPerSec, 'f', 2, 64) + "\r\n"
	}
	_, err := fmt.Fprintf(c.net, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err
}
