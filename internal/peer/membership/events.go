package membership

import "time"

// Event is an input of View.Step.
type Event interface{ event() }

type (
	// DatagramReceived is a datagram from another member. Size is its size on the wire, in bytes.
	DatagramReceived struct {
		Message *Message
		Size    int
	}
	// ExchangeRequest is the first message of an exchange that another member opened. The View answers with an
	// ExchangeReply that has the same Stream.
	ExchangeRequest struct {
		Stream  uint64
		Message *Exchange
	}
	// ExchangeResponse is the response to this member's OpenExchange with the same ID.
	ExchangeResponse struct {
		ID      uint64
		Message *Exchange
	}
	// ExchangeFinished is the last message of an exchange that another member opened: the records that this member
	// requested.
	ExchangeFinished struct{ Message *Exchange }
	// ExchangeFailed reports that the OpenExchange with this ID failed.
	ExchangeFailed struct{ ID uint64 }
	// LocalInfo changes the fields of the local member's record that the daemon sets.
	LocalInfo struct {
		Instances, Balancers int
		Metadata             []byte
	}
	// Leave starts an orderly leave (Serf's term). See View.HasLeft.
	Leave struct{}
	// ForgetMember reports that an operator declared a dead member permanently removed.
	ForgetMember struct{ Name string }
	// TakeoverFailed reports that the successor of this process failed: this process continues.
	TakeoverFailed struct{}
)

func (DatagramReceived) event() {}
func (ExchangeRequest) event()  {}
func (ExchangeResponse) event() {}
func (ExchangeFinished) event() {}
func (ExchangeFailed) event()   {}
func (LocalInfo) event()        {}
func (Leave) event()            {}
func (ForgetMember) event()     {}
func (TakeoverFailed) event()   {}

// Action is an output of View.Step. The caller executes actions in the order given.
type Action interface{ action() }

type (
	// Send sends a datagram to an address. Size is an upper bound of its size on the wire, in bytes.
	Send struct {
		To      string
		Message *Message
		Size    int
	}
	// OpenExchange opens a stream to an address and sends this message. The caller reports the result by an
	// ExchangeResponse or ExchangeFailed with the same ID.
	OpenExchange struct {
		ID      uint64
		To      string
		Message *Exchange
	}
	// ExchangeReply responds to an ExchangeRequest; a nil Message closes the stream without a response.
	ExchangeReply struct {
		Stream  uint64
		Message *Exchange
	}
	// FinishExchange ends an exchange that this member opened, with the records that the other member requested; a nil
	// Message means that no records are to be sent.
	FinishExchange struct {
		ID      uint64
		Message *Exchange
	}
	// MemberChanged reports that a member's state, process or address has changed in this view.
	MemberChanged struct {
		Record    Record
		Previous  State
		FirstSeen bool   // the member was not in the view before
		Reason    string // for logs
	}
	// BalancerCountChanged reports the number of balancers that share the servers from now on.
	BalancerCountChanged struct{ Size BalancerCount }
	// NameConflict reports that another process uses this member's name, and which of the two yields.
	NameConflict struct {
		Other  Record
		Yield  bool   // this member yields
		Reason string // for logs
	}
	// PauseDetected reports that this process was paused or starved of CPU time, and has raised its local health
	// multiplier.
	PauseDetected struct {
		Pause  time.Duration
		Health int // see View.Health
	}
	// RegionReachability reports that a region has become unreachable, or reachable again.
	RegionReachability struct {
		Region      string
		Unreachable bool
		Members     int // members of the region that are alive or suspect by their records
	}
	// Isolated reports that this member no longer receives datagrams from any other member, or, if Ended, that it
	// receives them again.
	Isolated struct {
		Ended   bool
		Members int // other members that are alive or suspect by their records
	}
	// SaveView requests that Records be written to disk. With KeepKnownMembers, if Records has no other members,
	// Settings.KnownMembers are written too.
	SaveView struct{ KeepKnownMembers bool }
)

func (Send) action()                 {}
func (OpenExchange) action()         {}
func (ExchangeReply) action()        {}
func (FinishExchange) action()       {}
func (MemberChanged) action()        {}
func (BalancerCountChanged) action() {}
func (NameConflict) action()         {}
func (PauseDetected) action()        {}
func (SaveView) action()             {}
func (RegionReachability) action()   {}
func (Isolated) action()             {}

// Reasons of MemberChanged and NameConflict.
const (
	// ReasonRegionUnreachable, ReasonRegionReachable, ReasonIsolated and ReasonIsolationEnded are used when the state
	// that is shown for a member changes although its record does not.
	ReasonRegionUnreachable = "its region is unreachable"
	ReasonRegionReachable   = "its region is reachable again"
	ReasonIsolated          = "this member is isolated"
	ReasonIsolationEnded    = "this member is no longer isolated"

	reasonGossip        = "gossip"
	reasonExchange      = "exchange"
	reasonHandoff       = "taken over from the previous process"
	reasonProbeFailed   = "a probe failed"
	reasonNotRefuted    = "the suspicion was not refuted in time"
	reasonForgotten     = "an operator declared it gone"
	reasonHolderSilent  = "the other process no longer answers"
	reasonNoAnswer      = "the other process does not answer"
	reasonAddressReused = "the other process's address has another owner"
	reasonShorterUptime = "the other process has run for less time and yields"
	reasonLongerUptime  = "the other process has run longer and keeps the name"
)
