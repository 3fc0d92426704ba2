// Package soak plays seconds of trouble with a few dozen real processes, agents of `run` and daemons of `serve`, between
// clients, servers and list services of its own on loopback. What troubles a play has is drawn from a seed: signals, faults in
// the processes (package faultbuild), servers, lists and clients that misbehave, two or three at once. The checker
// (check.go) reads nothing but the history that clients, servers, lists and the process table recorded.
package soak

import (
	"sync"
	"time"
)

// Kind says what happened.
type Kind string

// What clients, servers, lists and the process table record.
const (
	RequestSent     Kind = "request_sent"     // by a client: its last byte is written; Left is how long it waits
	RequestResent   Kind = "request_resent"   // on a new connection, the old one ended without a byte of an answer
	AnswerRead      Kind = "answer_read"      // a final answer came, whole or, with Broken, visibly not
	ClientLeft      Kind = "client_left"      // the client has closed its connection, and waits no longer
	ConnectionEnded Kind = "connection_ended" // a new connection ended without an answer
	StallBegan      Kind = "stall_began"      // a client has sent a part of a request, and stays
	StallEnded      Kind = "stall_ended"      // it got an error, or its connection was closed

	RequestArrived Kind = "request_arrived" // at a server: its last byte came; Began is its first
	RequestDone    Kind = "request_done"    // the server has answered it, or its connection has ended

	StateTold Kind = "state_told" // a list has written a server's state to an agent

	ProcessStarted    Kind = "process_started"
	ProcessReady      Kind = "process_ready"
	ProcessTerminated Kind = "process_terminated"  // SIGTERM was sent
	ProcessKilled     Kind = "process_killed"      // SIGKILL was sent
	ProcessHandedOver Kind = "process_handed_over" // it was told to hand over to a successor, and is to end
	ProcessHeld       Kind = "process_held"        // SIGSTOP, for Left
	ProcessExited     Kind = "process_exited"      // Status is its exit status
	InvariantLogged   Kind = "invariant_logged"    // its own guard counted a violation; Note is the line
)

// States of a server that a list tells.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Event is one thing that happened. Only the fields of its kind are set.
type Event struct {
	At      time.Duration `json:"at"` // since the play began, monotonic; of one process for all recorders
	Kind    Kind          `json:"kind"`
	Agent   int           `json:"agent"`
	Request string        `json:"request,omitempty"`
	Class   string        `json:"class,omitempty"`
	Server  string        `json:"server,omitempty"`
	Process int           `json:"process,omitempty"` // of a server, or an agent's: counts its starts
	Began   time.Duration `json:"began,omitempty"`
	Left    time.Duration `json:"left,omitempty"`
	Status  int           `json:"status,omitempty"`
	Ran     bool          `json:"ran,omitempty"`    // the server did, or may do, what was asked
	Broken  bool          `json:"broken,omitempty"` // an answer that its client can tell is not whole
	Own     bool          `json:"own,omitempty"`    // a served answer is the one that a server made for this request
	State   string        `json:"state,omitempty"`
	Note    string        `json:"note,omitempty"`
}

// Recorder keeps a history. Its methods may be called by any goroutine.
type Recorder struct {
	base time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecorder is one whose time begins now.
func NewRecorder() *Recorder { return &Recorder{base: time.Now()} }

// Now is the play's time.
func (r *Recorder) Now() time.Duration { return time.Since(r.base) }

// Put records an event that has just happened.
func (r *Recorder) Put(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(r.base)
	}
	r.events = append(r.events, e)
}

// History is what was recorded so far.
func (r *Recorder) History() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
