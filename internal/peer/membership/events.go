package membership

import "time"

// Event is something that happened before a Step.
type Event interface{ event() }

type (
	// DatagramReceived is a datagram from another member. Size is what it took on the wire, in bytes.
	DatagramReceived struct {
		Message *Message
		Size    int
	}
	// ExchangeRequest is the first message of an exchange that another member opened. It is answered by an
	// ExchangeReply with the same Stream.
	ExchangeRequest struct {
		Stream  uint64
		Message *Exchange
	}
	// ExchangeResponse is the answer to this member's OpenExchange with the same ID.
	ExchangeResponse struct {
		ID      uint64
		Message *Exchange
	}
	// ExchangeClosed is the last message of an exchange that another member opened: the records that this member
	// wanted.
	ExchangeClosed struct{ Message *Exchange }
	// ExchangeFailed says that the OpenExchange with this ID failed.
	ExchangeFailed struct{ ID uint64 }
	// LocalInfo changes what this member reports about itself.
	LocalInfo struct {
		Instances, Balancers int
		Metadata             []byte
	}
	// Leave begins an orderly leave (Serf's term). See View.HasLeft.
	Leave struct{}
	// ForgetMember is an operator's statement that a dead member will not come back.
	ForgetMember struct{ Name string }
	// TakeoverFailed says that the process that was to replace this one failed: this one continues.
	TakeoverFailed struct{}
)

func (DatagramReceived) event() {}
func (ExchangeRequest) event()  {}
func (ExchangeResponse) event() {}
func (ExchangeClosed) event()   {}
func (ExchangeFailed) event()   {}
func (LocalInfo) event()        {}
func (Leave) event()            {}
func (ForgetMember) event()     {}
func (TakeoverFailed) event()   {}

// Action is something that the caller of Step executes, in the order given.
type Action interface{ action() }

type (
	// Send sends a datagram to an address. Size bounds what it takes on the wire, in bytes.
	Send struct {
		To      string
		Message *Message
		Size    int
	}
	// OpenExchange opens a stream to an address and sends this message. Its outcome comes back as an ExchangeResponse
	// or ExchangeFailed with the same ID.
	OpenExchange struct {
		ID      uint64
		To      string
		Message *Exchange
	}
	// ExchangeReply answers an ExchangeRequest; a nil Message closes its stream without an answer.
	ExchangeReply struct {
		Stream  uint64
		Message *Exchange
	}
	// FinishExchange ends an exchange that this member opened, with the records that the other wanted; a nil Message
	// says that there are none.
	FinishExchange struct {
		ID      uint64
		Message *Exchange
	}
	// MemberChanged says that a member's state, process or address has changed in this view.
	MemberChanged struct {
		Record    Record
		Previous  State
		FirstSeen bool   // it was not known before
		Reason    string // for logs
	}
	// SizeChanged gives the number of balancers that share the servers from now on.
	SizeChanged struct{ Size Size }
	// NameConflict says that another process has this member's name, and which of the two yields.
	NameConflict struct {
		Other  Record
		Yield  bool   // this member yields
		Reason string // for logs
	}
	// SelfSuspected says that this process was paused or starved, and doubts itself.
	SelfSuspected struct {
		Pause  time.Duration
		Health int // as View.Health
	}
	// RegionReachability says that a region has become unreachable, or reachable again.
	RegionReachability struct {
		Region      string
		Unreachable bool
		Members     int // alive by their records
	}
	// Isolated says that no member is heard from any more, or, if Ended, that one is again.
	Isolated struct {
		Ended   bool
		Members int // alive by their records
	}
	// SaveView says that Records should be written to disk. With KeepKnownMembers, while there are no others, the members that
	// were known at the start go with them.
	SaveView struct{ KeepKnownMembers bool }
)

func (Send) action()               {}
func (OpenExchange) action()       {}
func (ExchangeReply) action()      {}
func (FinishExchange) action()     {}
func (MemberChanged) action()      {}
func (SizeChanged) action()        {}
func (NameConflict) action()       {}
func (SelfSuspected) action()      {}
func (SaveView) action()           {}
func (RegionReachability) action() {}
func (Isolated) action()           {}

// Reasons of MemberChanged and NameConflict.
const (
	// ReasonRegionUnreachable and those up to ReasonIsolationEnded are given where a member is shown in another state although its
	// record is unchanged.
	ReasonRegionUnreachable = "it is not reached, and nobody near it either"
	ReasonRegionReachable   = "it may be reached again"
	ReasonIsolated          = "this member is cut off"
	ReasonIsolationEnded    = "this member is no longer cut off"

	reasonGossip        = "gossip"
	reasonExchange      = "exchange"
	reasonHandoff       = "taken over"
	reasonProbeFailed   = "a probe failed"
	reasonNotRefuted    = "did not refute"
	reasonForgotten     = "an operator said that it is gone"
	reasonHolderSilent  = "its holder no longer answers"
	reasonNoAnswer      = "it does not answer"
	reasonAddressReused = "its address has another owner"
	reasonShorterUptime = "it has run for less time and stands back"
	reasonLongerUptime  = "it has run longer and keeps the name"
)
