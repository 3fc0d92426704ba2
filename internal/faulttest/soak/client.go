package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

// ClientFault is a kind of misbehaviour of clients.
type ClientFault int

// The faults of clients.
const (
	ClientsBehave        ClientFault = iota
	ClientsDisconnect                // close or reset the connection while they wait, at a random time
	ClientsShortDeadline             // have a remaining time of some milliseconds
	ClientsStall                     // stop within a request and keep the connection open
	ClientsMalformed                 // send malformed or oversized requests, or disconnect within a request
	ClientsBurst                     // all send at the same time, repeatedly
	ClientsTrickle                   // write requests in small pieces
)

// class is a request class of the clients, with its share of all requests.
type class struct {
	name   string
	method string
	key    bool
	share  float64
}

var classes = []class{{"get", http.MethodGet, false, 0.5}, {"put", http.MethodPost, true, 0.2}, {"pin", http.MethodPost, true, 0.15}, {"pay", http.MethodPost, false, 0.15}}

// clients are the HTTP clients of one agent. Each has at most one connection, on which it sends one request after
// another.
type clients struct {
	agent int
	addr  string
	rec   *Recorder
	fault atomic.Int32
	pause time.Duration // mean time between a client's requests
	last  atomic.Int64
	// open is false while clients make no new connections: from 0.4 s after the agent received SIGTERM until the
	// next process is ready.
	open       atomic.Bool
	quietUntil atomic.Int64  // run time until which no request is sent
	deadline   time.Duration // longest time that a client waits
	all        sync.WaitGroup
}

// clientConn is a client's connection with its read buffer.
type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool // a request on this connection has been answered
}

// run runs count clients until ctx ends, and returns when none waits for an answer any more.
func (c *clients) run(ctx context.Context, count int, seed uint64) {
	for n := range count {
		c.all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			var conn *clientConn
			for ctx.Err() == nil {
				c.awaitTurn(rng)
				fault := ClientFault(c.fault.Load())
				switch {
				case fault == ClientsStall && rng.Float64() < 0.3:
					c.stall(rng)
				case fault == ClientsMalformed && rng.Float64() < 0.4:
					c.sendMalformed(rng)
				default:
					conn = c.roundTrip(rng, conn, fault)
				}
				if conn != nil && rng.Float64() < 0.05 {
					_ = conn.Close() // between requests
					conn = nil
				}
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	c.all.Wait()
}

func (c *clients) dial() *clientConn {
	nc := c.dialAddr(c.addr)
	if nc == nil {
		return nil
	}
	return &clientConn{Conn: nc, in: bufio.NewReader(nc)}
}

// dialAddr connects to an address of the agent and records the outcome; it returns nil if that fails.
func (c *clients) dialAddr(addr string) net.Conn {
	if !c.open.Load() {
		return nil
	}
	began := c.rec.Now()
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		c.rec.Put(check.Event{Kind: check.ConnectFailed, At: began, Agent: c.agent, Note: err.Error()})
		return nil
	}
	c.rec.Put(check.Event{Kind: check.ConnectionMade, At: began, Agent: c.agent})
	return nc
}

// recordConnectionLost records that a request could not be written to a new connection.
func (c *clients) recordConnectionLost(conn net.Conn) {
	c.rec.Put(check.Event{Kind: check.ConnectionLost, Agent: c.agent, Note: "from " + conn.LocalAddr().String()})
}

// nextName returns the name of a client's next request.
func (c *clients) nextName(kind string) string {
	return fmt.Sprintf("%s%d-%d", kind, c.agent, c.last.Add(1))
}

// awaitTurn waits until the time of a client's next request.
func (c *clients) awaitTurn(rng *rand.Rand) {
	pause := time.Duration(rng.ExpFloat64() * float64(c.pause))
	if ClientFault(c.fault.Load()) == ClientsBurst {
		now := c.rec.Now()
		pause = now.Truncate(300*time.Millisecond) + 300*time.Millisecond - now
	}
	time.Sleep(min(pause, 2*time.Second))
	if rest := time.Duration(c.quietUntil.Load()) - c.rec.Now(); rest > 0 {
		time.Sleep(rest)
	}
}

// request is a request of a client.
type request struct {
	id, class string
	text      string
	left      time.Duration
}

func (c *clients) request(rng *rand.Rand, fault ClientFault) request {
	k, draw := classes[0], rng.Float64()
	for _, x := range classes {
		if draw -= x.share; draw < 0 {
			k = x
			break
		}
	}
	const least = 300 * time.Millisecond
	r := request{id: c.nextName("a"), class: k.name, left: least + time.Duration(rng.Float64()*float64(c.deadline-least))}
	if fault == ClientsShortDeadline {
		r.left = time.Millisecond + time.Duration(rng.ExpFloat64()*float64(40*time.Millisecond))
	}
	body := ""
	if k.method == http.MethodPost {
		body = strings.Repeat("b", rng.IntN(300))
		if rng.Float64() < 0.05 {
			body = strings.Repeat("B", rng.IntN(60<<10))
		}
	}
	head := fmt.Sprintf("%s /%s/%d HTTP/1.1\r\nHost: soak\r\nX-Trace-Id: %s\r\nX-Expires-In: %.3f\r\n", k.method, k.name, rng.IntN(100), r.id, r.left.Seconds())
	if k.key {
		head += "Idempotency-Key: key-" + r.id + "\r\n"
	}
	if k.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	r.text = head + "\r\n" + body
	return r
}

// roundTrip sends one request and waits for its answer. It returns the connection for the next request, or nil if it has
// ended.
func (c *clients) roundTrip(rng *rand.Rand, conn *clientConn, fault ClientFault) *clientConn {
	if conn == nil {
		if conn = c.dial(); conn == nil {
			return nil
		}
	}
	r := c.request(rng, fault)
	sent := false
	for {
		if err := c.send(rng, conn, r, fault); err != nil {
			if conn.used && !sent { // the agent closed the connection while the request was being written
				_ = conn.Close()
				if conn = c.dial(); conn == nil {
					return nil
				}
				continue
			}
			if !sent {
				c.recordConnectionLost(conn)
			}
			_ = conn.Close()
			return nil
		}
		if !sent {
			c.rec.Put(check.Event{Kind: check.RequestSent, Agent: c.agent, Request: r.id, Class: r.class, Left: r.left})
		}
		sent = true
		if fault == ClientsDisconnect && rng.Float64() < 0.5 {
			if c.leave(rng, conn, r) {
				return nil
			}
		}
		again, next := c.await(conn, r)
		if !again {
			return next
		}
		_ = conn.Close()
		if conn = c.dial(); conn == nil {
			// No agent accepts connections any more, and the old connection ended before the request was read, so no
			// answer is due.
			c.rec.Put(check.Event{Kind: check.ClientDisconnected, Agent: c.agent, Request: r.id, Note: "no agent to ask again"})
			return nil
		}
		c.rec.Put(check.Event{Kind: check.RequestResent, Agent: c.agent, Request: r.id})
	}
}

// send writes a request.
func (c *clients) send(rng *rand.Rand, conn *clientConn, r request, fault ClientFault) error {
	_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	text := r.text
	if fault == ClientsTrickle {
		for len(text) > 200 && len(r.text) < 2000 {
			n := 1 + rng.IntN(200)
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return err
			}
			text = text[n:]
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		}
	}
	_, err := io.WriteString(conn, text)
	return err
}

// leave may make the client disconnect while it waits, and reports whether it did.
func (c *clients) leave(rng *rand.Rand, conn *clientConn, r request) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Duration(rng.Float64() * 0.2 * float64(time.Second))))
	if _, err := conn.in.Peek(1); err == nil {
		return false // the answer arrived first
	}
	left := check.Event{Kind: check.ClientDisconnected, Agent: c.agent, Request: r.id}
	if rng.Float64() < 0.3 {
		abort(conn.Conn)
	} else {
		_ = conn.Close()
	}
	c.rec.Put(left)
	return true
}

// maxAnswerWait is how long a client that does not disconnect waits for the end of an answer.
const maxAnswerWait = 20 * time.Second

// await reads the answer. again is true if a connection on which earlier requests were answered ended without an
// answer: the agent may close a connection between requests, and the client then sends the request again.
func (c *clients) await(conn *clientConn, r request) (again bool, next *clientConn) {
	_ = conn.SetReadDeadline(time.Now().Add(maxAnswerWait))
	if _, err := conn.in.Peek(1); err != nil {
		if conn.used {
			return true, nil
		}
		c.rec.Put(check.Event{Kind: check.ConnectionEnded, Agent: c.agent, Request: r.id, Note: err.Error()})
		_ = conn.Close()
		return false, nil
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		c.rec.Put(check.Event{Kind: check.ConnectionEnded, Agent: c.agent, Request: r.id, Note: err.Error()})
		_ = conn.Close()
		return false, nil
	}
	body, err := io.ReadAll(resp.Body)
	c.rec.Put(check.Event{Kind: check.AnswerRead, Agent: c.agent, Request: r.id, Status: resp.StatusCode, Broken: err != nil,
		Own: strings.HasPrefix(string(body), bodyOf(r.id)), Note: note(err, body)})
	if err != nil || resp.Close {
		_ = conn.Close()
		return false, nil
	}
	conn.used = true
	return false, conn
}

func note(err error, body []byte) string {
	if err != nil {
		return err.Error()
	}
	return string(body[:min(len(body), 60)])
}

// maxStallWait is how long a client that has stalled within a request waits for an error or a close.
const maxStallWait = 6 * time.Second

// stall sends a part of a request and waits until an error comes or the connection ends.
func (c *clients) stall(rng *rand.Rand) {
	conn := c.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	r := c.request(rng, ClientsBehave)
	text := r.text
	if rng.Float64() < 0.5 { // stall within a body
		text = strings.Replace(r.text, "GET", "POST", 1)
	}
	if _, err := io.WriteString(conn, text[:rng.IntN(len(text))]); err != nil {
		return
	}
	mark := fmt.Sprintf("stall a%d-%d", c.agent, c.last.Add(1))
	c.rec.Put(check.Event{Kind: check.StallBegan, Agent: c.agent, Note: mark})
	_ = conn.SetReadDeadline(time.Now().Add(maxStallWait))
	_, _ = conn.in.Peek(1)
	c.rec.Put(check.Event{Kind: check.StallEnded, Agent: c.agent, Note: mark})
}

// sendMalformed opens a connection and sends an invalid or oversized request, sends nothing, or aborts within a
// request.
func (c *clients) sendMalformed(rng *rand.Rand) {
	conn := c.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	switch rng.IntN(5) {
	case 0:
		_, _ = io.WriteString(conn, "GET / HTTP/9\r\nwhat: is\x00 this\r\n\r\n")
	case 1:
		_, _ = io.WriteString(conn, strings.Repeat("GET /get/x HTTP/1.1\r\n", 4000))
	case 2: // send nothing
		time.Sleep(300 * time.Millisecond)
	case 3: // send a head and abort within the body
		_, _ = io.WriteString(conn, "POST /put/x HTTP/1.1\r\nHost: soak\r\nX-Trace-Id: rude\r\nIdempotency-Key: k\r\nContent-Length: 5000\r\n\r\nhalf")
		abort(conn.Conn)
		return
	default:
		_, _ = io.WriteString(conn, "POST /get/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc")
	}
	_, _ = conn.in.Peek(1)
}
