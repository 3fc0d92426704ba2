// Package check checks the invariants of a soak run. It reads the history that clients, servers, lists and the
// process table recorded, is independent of the program under test, and uses neither I/O nor a clock.
package check

import "time"

// Kind is the kind of an event.
type Kind string

// The events that clients, servers, lists and the process table record.
const (
	RequestSent        Kind = "request_sent"     // a client has written the last byte; Left is how long the client waits
	RequestResent      Kind = "request_resent"   // on a new connection, after the old one ended without a byte of an answer
	AnswerRead         Kind = "answer_read"      // a final answer came, complete or, with Broken, visibly incomplete
	ClientDisconnected Kind = "client_left"      // the client has closed its connection and no longer waits
	ConnectionEnded    Kind = "connection_ended" // ended without an answer; Began is the time of the client's last evidence that the agent was alive
	StallBegan         Kind = "stall_began"      // a client has sent a part of a request and keeps the connection open
	StallEnded         Kind = "stall_ended"      // the stalled client received an error, or its connection was closed

	ConnectionMade Kind = "connection_made" // a client has connected; At is when the attempt began
	ConnectFailed  Kind = "connect_failed"  // a client could not connect; At is when the attempt began
	ConnectionLost Kind = "connection_lost" // a write of a request to a new connection failed
	NoticeRead     Kind = "notice_read"     // a Notice of Disconnection came (RFC 4511, 4.4.1)
	AfterNotice    Kind = "behind_notice"   // a message came after the notice
	CrowdBegan     Kind = "crowd_began"     // idle clients begin to use up the agent's file descriptors
	CrowdEnded     Kind = "crowd_ended"     // the idle clients have disconnected

	RequestArrived Kind = "request_arrived" // a server has read the request's last byte; Began is when its first byte came
	RequestDone    Kind = "request_done"    // the server has answered the request, or the connection has ended

	StateNotified Kind = "state_told" // a list service has written a server's state to an agent

	ProcessStarted    Kind = "process_started"
	ProcessReady      Kind = "process_ready"
	ProcessTerminated Kind = "process_terminated"  // SIGTERM was sent
	ProcessKilled     Kind = "process_killed"      // SIGKILL was sent
	ProcessHandedOver Kind = "process_handed_over" // the process was asked to hand over to a successor and then exit
	ProcessHeld       Kind = "process_held"        // the process was paused for Left, by SIGSTOP or by the machine
	ProcessExited     Kind = "process_exited"      // Status is its exit status
	InvariantLogged   Kind = "invariant_logged"    // the program logged a violated invariant; Note is the line
)

// States of a server in a list.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

// Event is one recorded event. Only the fields of its kind are set.
type Event struct {
	At      time.Duration `json:"at"` // monotonic time since the run began; all recorders share the clock of one process
	Kind    Kind          `json:"kind"`
	Agent   int           `json:"agent"`
	Request string        `json:"request,omitempty"`
	Class   string        `json:"class,omitempty"`
	Server  string        `json:"server,omitempty"`
	Process int           `json:"process,omitempty"` // counts the starts of a server or an agent
	Began   time.Duration `json:"began,omitempty"`
	Left    time.Duration `json:"left,omitempty"`
	Status  int           `json:"status,omitempty"`
	Ran     bool          `json:"ran,omitempty"`    // the server executed the request, or may execute it
	First   bool          `json:"first,omitempty"`  // first request of its connection
	Broken  bool          `json:"broken,omitempty"` // an answer that its client can recognize as incomplete
	Own     bool          `json:"own,omitempty"`    // a served answer is the one that a server produced for this request
	State   string        `json:"state,omitempty"`
	Note    string        `json:"note,omitempty"`
}
