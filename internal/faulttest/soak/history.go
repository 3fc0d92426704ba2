// Package soak plays seconds of trouble with a few dozen real processes, agents of `run` and daemons of `serve`, between
// clients, servers and list services of its own on loopback. What troubles a play has is drawn from a seed: signals, faults in
// the processes (package faultbuild), servers, lists and clients that misbehave, two or three at once. The checker
// (check.go) reads nothing but the history that clients, servers, lists and the process table recorded.
package soak

import (
	"sync"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

// Recorder keeps a history. Its methods may be called by any goroutine.
type Recorder struct {
	base time.Time

	mu     sync.Mutex
	events []check.Event
}

// NewRecorder is one whose time begins now.
func NewRecorder() *Recorder { return &Recorder{base: time.Now()} }

// Now is the play's time.
func (r *Recorder) Now() time.Duration { return time.Since(r.base) }

// Put records an event that has just happened.
func (r *Recorder) Put(e check.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(r.base)
	}
	r.events = append(r.events, e)
}

// History is what was recorded so far.
func (r *Recorder) History() []check.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]check.Event(nil), r.events...)
}
