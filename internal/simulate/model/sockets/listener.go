package sockets

import (
	"net"
	"sync"
	"time"
)

// listenerState is the behaviour of an address.
type listenerState uint8

const (
	closed listenerState = iota // no process listens: connections are refused
	open                        // connections are accepted
	silent                      // connections are never established, as with an unreachable machine
)

// listener is an address that can be opened, closed and made silent repeatedly.
type listener struct {
	addr    string
	handle  func(net.Conn)
	release func()

	mu      sync.Mutex
	state   listenerState
	ln      *net.TCPListener
	fillers []net.Conn // connections that fill the accept queue while silent

	wantedMu sync.Mutex
	wanted   listenerState // the latest state that setAsync was called with
	working  bool          // a goroutine of setAsync is running
}

// setAsync changes the state in a goroutine, since making an address silent takes tens of
// milliseconds. failed is called on an error; running counts the goroutine.
func (d *listener) setAsync(to listenerState, running *sync.WaitGroup, failed func(error)) {
	d.wantedMu.Lock()
	defer d.wantedMu.Unlock()
	if d.wanted = to; d.working {
		return
	}
	d.working = true
	running.Go(func() {
		for {
			d.wantedMu.Lock()
			to := d.wanted
			d.wantedMu.Unlock()
			err := d.set(to)
			d.wantedMu.Lock()
			if done := d.wanted == to; done || err != nil {
				d.working = false
				d.wantedMu.Unlock()
				if err != nil {
					failed(err)
				}
				return
			}
			d.wantedMu.Unlock()
		}
	})
}

// newListener reserves a free address, which is closed at first.
func newListener(handle func(net.Conn)) (*listener, error) {
	addr, release, err := reserveAddr()
	if err != nil {
		return nil, err
	}
	return &listener{addr: addr, handle: handle, release: release}, nil
}

// free releases the address.
func (d *listener) free() { d.release() }

const reopenFor = 2 * time.Second // an outgoing connection may occupy the port for a short time

// set changes the state and returns when it is in effect.
func (d *listener) set(to listenerState) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == to {
		return nil
	}
	if to == closed {
		d.state = closed
		d.drop()
		return d.ln.Close()
	}
	if d.state == closed {
		var err error
		for end := time.Now().Add(reopenFor); ; time.Sleep(10 * time.Millisecond) {
			var ln net.Listener
			if ln, err = net.Listen("tcp", d.addr); err == nil {
				d.ln = ln.(*net.TCPListener)
				break
			}
			if time.Now().After(end) {
				return err
			}
		}
		d.state = open
		ln := d.ln
		go d.accept(ln)
	}
	switch {
	case to == silent && d.state == open:
		d.state = silent
		// The accepting goroutine stops. When the accept queue, shortened to its minimum, is full, the
		// kernel drops further connection attempts.
		_ = d.ln.SetDeadline(time.Now())
		backlog(d.ln, 0)
		// Two failed connections in a row show that the queue is full; a single one may be due to a slow machine.
		for full := 0; full < 2 && len(d.fillers) < 16; {
			c, err := net.DialTimeout("tcp", d.addr, 30*time.Millisecond)
			if err != nil {
				full++
				continue
			}
			full = 0
			d.fillers = append(d.fillers, c)
		}
	case to == open && d.state == silent:
		d.state = open
		d.drop()
		// Connections that reached the queue while the address was silent count as lost: their senders have
		// timed out, so accepting them now would serve requests that have ended.
		_ = d.ln.SetDeadline(time.Now().Add(time.Millisecond))
		for {
			c, err := d.ln.AcceptTCP()
			if err != nil {
				break
			}
			_ = c.SetLinger(0)
			_ = c.Close()
		}
		backlog(d.ln, 1024)
		_ = d.ln.SetDeadline(time.Time{})
		ln := d.ln
		go d.accept(ln)
	}
	return nil
}

func (d *listener) drop() {
	for _, c := range d.fillers {
		_ = c.Close()
	}
	d.fillers = nil
}

// accept serves connections until the listener is closed or silent.
func (d *listener) accept(ln *net.TCPListener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		stopped := d.ln != ln || d.state != open
		d.mu.Unlock()
		if stopped {
			_ = c.Close()
			return
		}
		go d.handle(c)
	}
}
