// Package check holds a play of the soak test to its invariants. It reads the history that clients, servers, lists and the
// process table recorded, and knows nothing of the program under test; it is free of I/O and of any clock.
package check

import "time"

// Kind says what happened.
type Kind string

// What clients, servers, lists and the process table record.
const (
	RequestSent        Kind = "request_sent"     // by a client: its last byte is written; Left is how long it waits
	RequestResent      Kind = "request_resent"   // on a new connection, the old one ended without a byte of an answer
	AnswerRead         Kind = "answer_read"      // a final answer came, whole or, with Broken, visibly not
	ClientDisconnected Kind = "client_left"      // the client has closed its connection, and waits no longer
	ConnectionEnded    Kind = "connection_ended" // it ended without an answer; Began is when its client last knew that it was alive
	StallBegan         Kind = "stall_began"      // a client has sent a part of a request, and stays
	StallEnded         Kind = "stall_ended"      // it got an error, or its connection was closed

	ConnectionMade Kind = "connection_made" // a client has connected; At is when it began to
	ConnectFailed  Kind = "connect_failed"  // a client could not connect; At is when it began to
	ConnectionLost Kind = "connection_lost" // a new connection took no request: a write to it failed
	NoticeRead     Kind = "notice_read"     // a Notice of Disconnection came (RFC 4511, 4.4.1)
	BehindNotice   Kind = "behind_notice"   // a message came behind it
	CrowdBegan     Kind = "crowd_began"     // idle clients fill the agent's descriptors
	CrowdEnded     Kind = "crowd_ended"     // they have gone

	RequestArrived Kind = "request_arrived" // at a server: its last byte came; Began is its first
	RequestDone    Kind = "request_done"    // the server has answered it, or its connection has ended

	StateNotified Kind = "state_told" // a list has written a server's state to an agent

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
	First   bool          `json:"first,omitempty"`  // the first request of its connection
	Broken  bool          `json:"broken,omitempty"` // an answer that its client can tell is not whole
	Own     bool          `json:"own,omitempty"`    // a served answer is the one that a server made for this request
	State   string        `json:"state,omitempty"`
	Note    string        `json:"note,omitempty"`
}
