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

// place is a server's address. It has a listener for each agent, so that the network between the server
// and each agent can be simulated separately.
type place struct {
	listeners []*listener // by agent
}

func (p *place) close(running *sync.WaitGroup) {
	for _, d := range p.listeners {
		d.setAsync(closed, running, func(error) {})
	}
}

// openPlace creates the listeners of a place, with their final addresses; they are closed until updateListeners.
func (g *driver) openPlace(n int) error {
	if g.places[n] != nil {
		return nil
	}
	p := &place{}
	g.places[n] = p
	for a := range g.listenersPerPlace() {
		d, err := newListener(func(nc net.Conn) { g.serve(n, a, nc) })
		if err != nil {
			return fmt.Errorf("open a stand-in server's address: %w", err)
		}
		p.listeners = append(p.listeners, d)
	}
	return nil
}

// updateListeners opens, closes or silences all listeners according to the state of the world. The lock is held.
func (g *driver) updateListeners() {
	for n, p := range g.places {
		proc := g.world.At(n)
		for a, d := range p.listeners {
			state := closed
			if proc != nil {
				if state = open; g.silent(proc, a) {
					state = silent
				}
			}
			d.setAsync(state, &g.running, func(err error) {
				g.mu.Lock()
				defer g.mu.Unlock()
				if g.quit.Err() == nil {
					g.fail(fmt.Errorf("change a stand-in server's address: %w", err))
				}
			})
		}
	}
}

// silent reports whether the network between a process and an agent is interrupted. The lock is held.
func (g *driver) silent(p *model.Proc, agent int) bool {
	return p.Silent || !g.world.Net.Connected(g.s.ZoneOf(agent), p.Spec.Zone)
}

// conn is a connection of an agent to a process.
type conn struct {
	g        *driver
	id       int
	agent    int
	proc     *model.Proc
	net      *net.TCPConn
	accepted bool // by the model, which has a backlog of its own
	answers  chan answer
	lost     bool // a message on it was lost: the connection stays silent
	gone     bool
	idle     bool // closed by the server after a long time without a request
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
	default: // a connection has only one request at a time
	}
}

// abort ends the connection with a reset. The lock is held.
func (c *conn) abort() {
	c.gone = true
	_ = c.net.SetLinger(0) // closes with a reset
	_ = c.net.Close()
	select {
	case c.answers <- answer{result: decide.Reset}:
	default:
	}
}

// idleClose ends a connection that was idle for too long. The lock is held.
func (c *conn) idleClose() {
	c.idle = true
	_ = c.net.Close()
}

var errEnd = errors.New("the connection has ended")

// serve handles one connection; it runs in a goroutine of its own.
func (g *driver) serve(n, agent int, nc net.Conn) {
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
	if g.silent(proc, agent) { // it was in the accept queue when the silence began
		c.lost = true
	} else {
		g.applyEffects(proc, proc.Step(g.now(), model.Dial{Conn: c.id, Agent: agent}))
		if !c.accepted {
			_ = tcp.SetLinger(0)
			delete(g.conns, c.id)
			g.mu.Unlock()
			return
		}
	}
	kind := &g.s.Kinds[proc.Spec.Kind]
	trips := time.Duration(kind.HandshakeRTT * 2 * float64(g.delay(proc, agent)))
	g.mu.Unlock()
	reader := bufio.NewReader(nc)
	for first := true; ; first = false {
		if err := c.serveOne(reader, first, trips); err != nil {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c.id)
	if !c.proc.Dead && !c.lost {
		g.applyEffects(c.proc, c.proc.Step(g.now(), model.Hangup{Conn: c.id}))
	}
}

// delay draws how long the next message takes. The lock is held.
func (g *driver) delay(p *model.Proc, agent int) time.Duration {
	return g.world.Net.Delay(g.s.ZoneOf(agent), p.Spec.Zone)
}

// serveOne reads one request from a connection and answers it.
func (c *conn) serveOne(reader *bufio.Reader, first bool, trips time.Duration) error {
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
		return c.discard(reader)
	}
	delay := g.delay(c.proc, c.agent)
	if first {
		delay += trips
	}
	breaks, before := g.world.Net.Breaks()
	g.mu.Unlock()
	time.Sleep(delay)
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
	c.lost = c.lost || g.world.Net.LosesAnswer()
	g.mu.Unlock()
	hungUp := make(chan struct{})
	go func() { // an agent that cancels ends its connection and does not wait for the answer
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
		<-hungUp // abort has closed the connection
		return errEnd
	}
	g.mu.Lock()
	delay = g.delay(c.proc, c.agent)
	lost := g.silent(c.proc, c.agent) || c.lost
	c.lost = lost
	g.mu.Unlock()
	if lost {
		<-hungUp
		return errEnd
	}
	time.Sleep(delay)
	if err := c.write(a); err != nil {
		<-hungUp
		return err
	}
	<-hungUp // closed by the first byte of the next request or by the end of the connection
	return nil
}

// discard keeps a connection open and silent until the agent ends it.
func (c *conn) discard(reader *bufio.Reader) error {
	_, _ = io.Copy(io.Discard, reader)
	return errEnd
}

// arrive passes a request to the model. It reports whether there will be an answer. The lock is held.
func (g *driver) arrive(c *conn, req *http.Request, began time.Duration) bool {
	now := g.now()
	id := req.Header.Get("X-Trace-Id")
	t := g.tries[id]
	named, from := g.namedServer(c), c.agent
	if t != nil && g.external() {
		from = t.task.Agent
	}
	g.checker.Arrived(now, began, from, id, named)
	if named != c.proc.Name {
		g.checker.Moved(id, named, c.proc.Name)
	}
	if t == nil || c.proc.Dead {
		return false
	}
	work, draw := t.task.Attempt(g.s, t.seed, t.try, t.attempts)
	t.attempts++
	g.stats.Attempt(now, t.task.Class, named)
	g.applyEffects(c.proc, c.proc.Step(now, model.Arrive{Conn: c.id, Job: model.Job{ID: id, Agent: from, Class: t.task.Class,
		Key: req.Header.Get("Idempotency-Key"), Work: work, Draw: draw, Sent: began}}))
	return !c.proc.Dead
}

// namedServer returns the server that the agent expects at this connection's address: the latest one
// that the list has sent to it. The lock is held.
func (g *driver) namedServer(c *conn) string {
	if w := g.watches[c.agent]; w != nil {
		if name, ok := w.names[c.proc.Spec.Place]; ok {
			return name
		}
	}
	return c.proc.Name
}

// write sends an answer in the protocol's form.
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
