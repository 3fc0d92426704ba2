package ejection

import "time"

// Server is one entry of an endpoint list.
type Server struct {
	ID        string // unique in the fleet
	StartedMS int64  // start of its process, Unix time in ms; 0: long ago
	Zone      string
	Pod       int
	State     ListedState
}

// ListedState is a server's state by an endpoint list. Later states are greater.
type ListedState uint8

const (
	// Up is a server that takes requests.
	Up ListedState = iota
	// Draining is a server that takes no new requests.
	Draining
	// Removed is a server that is no longer listed.
	Removed
)

// OutcomeSample counts the outcomes that this member's agents observed at one process of a server since the last sample.
type OutcomeSample struct {
	Server            string
	StartedMS         int64
	Succeeded, Failed int
	// ErrorResponses counts those of Failed that the server answered with an error. The others (timeouts, resets,
	// connections that failed) may be the fault of the link.
	ErrorResponses int
}

// Event is an input of Member.Step.
type Event interface{ event() }

type (
	// ListUpdated is the complete current content of one endpoint list.
	ListUpdated struct {
		Source  string
		Servers []Server
	}
	// OutcomesObserved are outcomes of requests of this member's agents.
	OutcomesObserved struct{ Samples []OutcomeSample }
	// MembersChanged is the complete current membership.
	MembersChanged struct {
		// Names are the live members, this one included, ascending.
		Names []string
		// Peers describes each of Names, in the same order; empty where nothing is known of any.
		Peers []Peer
		// Unreachable are members that failed lately. Their localities still count, because a partition may be what
		// made them unreachable.
		Unreachable []Peer
	}
	// Received is a message of another member.
	Received struct {
		From    string
		Message *Message
	}
)

func (ListUpdated) event()      {}
func (OutcomesObserved) event() {}
func (MembersChanged) event()   {}
func (Received) event()         {}

// Action is an output of Member.Step, which the caller carries out in order.
type Action interface{ action() }

type (
	// Send is a message to another member. The network may lose, delay or duplicate it.
	Send struct {
		To      string
		Message *Message
	}
	// EjectionsChanged is the complete set of ejections and drains that this member's agents have to respect from now on.
	EjectionsChanged struct{ Ejections []Ejection }
	// Log is a line for the operators' log.
	Log struct{ Text string }
)

func (Send) action()             {}
func (EjectionsChanged) action() {}
func (Log) action()              {}

// Ejection keeps this member's agents from one process of a server.
type Ejection struct {
	Server    string
	StartedMS int64
	// Draining distinguishes a server that drains or was removed from one that was ejected.
	Draining bool
	// Until is when it lapses by this member's clock, unless it is announced again.
	Until time.Duration
}

// sameEjection reports whether two ejections differ too little to be announced again.
func sameEjection(a, b Ejection) bool {
	const tolerance = time.Second
	return a.Server == b.Server &&
		a.StartedMS == b.StartedMS &&
		a.Draining == b.Draining &&
		a.Until-b.Until < tolerance &&
		b.Until-a.Until < tolerance
}
