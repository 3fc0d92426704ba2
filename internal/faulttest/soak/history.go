// Package soak runs a few dozen real processes, agents of `run` and daemons of `serve`, for some seconds under
// faults, with clients, servers and list services of its own on loopback. The incidents of a run are drawn from a
// seed: signals, faults in the processes (package faultbuild), and servers, lists and clients that misbehave, two or
// three at once. The checker (package check) reads only the history that clients, servers, lists and the process
// table recorded.
package soak

import (
	"sync"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
)

// Recorder keeps the history of a run. It is safe for concurrent use.
type Recorder struct {
	base time.Time

	mu     sync.Mutex
	events []check.Event
}

// NewRecorder returns a recorder whose run time begins now.
func NewRecorder() *Recorder { return &Recorder{base: time.Now()} }

// Now returns the run time.
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

// History returns the events recorded so far.
func (r *Recorder) History() []check.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]check.Event(nil), r.events...)
}
