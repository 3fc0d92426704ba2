package sockets

import (
	"net"
	"sync"
	"time"
)

// doorState is how an address behaves.
type doorState uint8

const (
	shut   doorState = iota // connections are refused: nothing listens
	open                    // they come up
	silent                  // they never come up, as with a machine that has vanished
)

// door is one address that can be opened, shut and silenced over and over.
type door struct {
	addr    string
	handle  func(net.Conn)
	release func()

	mu      sync.Mutex
	state   doorState
	ln      *net.TCPListener
	fillers []net.Conn // what fills the queue of a silent one

	wish    sync.Mutex
	wanted  doorState
	working bool
}

// want changes how the address behaves, soon: silencing one takes tens of milliseconds, for which
// nobody waits. failed is told if it can't be done; running counts the goroutine.
func (d *door) want(to doorState, running *sync.WaitGroup, failed func(error)) {
	d.wish.Lock()
	defer d.wish.Unlock()
	if d.wanted = to; d.working {
		return
	}
	d.working = true
	running.Go(func() {
		for {
			d.wish.Lock()
			to := d.wanted
			d.wish.Unlock()
			err := d.set(to)
			d.wish.Lock()
			if done := d.wanted == to; done || err != nil {
				d.working = false
				d.wish.Unlock()
				if err != nil {
					failed(err)
				}
				return
			}
			d.wish.Unlock()
		}
	})
}

// newDoor finds a free address, and holds it shut.
func newDoor(handle func(net.Conn)) (*door, error) {
	addr, release, err := hold()
	if err != nil {
		return nil, err
	}
	return &door{addr: addr, handle: handle, release: release}, nil
}

// free gives the address up for good.
func (d *door) free() { d.release() }

const reopenFor = 2 * time.Second // the port may be taken for a moment by someone's outgoing connection

// set changes how the address behaves now.
func (d *door) set(to doorState) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == to {
		return nil
	}
	if to == shut {
		d.state = shut
		d.drop()
		return d.ln.Close()
	}
	if d.state == shut {
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
		// The accepting goroutine wakes up and waits; a queue of the least length is then filled, and
		// the kernel drops whatever comes to connect.
		_ = d.ln.SetDeadline(time.Now())
		backlog(d.ln, 0)
		// Two in a row that do not come up show that it is full: one alone may be a slow machine's.
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
		// What got into the queue all the same was lost on its way: its sender has given it up, and to
		// take it now would bring a request back from the dead.
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

func (d *door) drop() {
	for _, c := range d.fillers {
		_ = c.Close()
	}
	d.fillers = nil
}

// accept serves connections until the door is shut or silent.
func (d *door) accept(ln *net.TCPListener) {
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
