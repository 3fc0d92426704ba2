package ejection

import "time"

// UnknownPod is the pod of a server whose pod is not known. The bound on the share of a pod's servers that are ejected
// applies to all these servers of a source together.
const UnknownPod = -1

// Server is one entry of an endpoint list.
type Server struct {
	ID        string // unique in the fleet
	StartedMS int64  // start of its process as Unix time in ms; 0: long ago
	Zone      string
	Pod       int // or UnknownPod
	State     ListedState
}

// ListedState is a server's state in an endpoint list. Later states have greater values.
type ListedState uint8

const (
	// Up is a server that takes requests.
	Up ListedState = iota
	// Draining is a server that takes no new requests.
	Draining
	// Removed is a server that is no longer listed.
	Removed
)

// OutcomeSample holds the numbers of outcomes that this member's agents observed at one process of a server since the
// last sample.
type OutcomeSample struct {
	Server            string
	StartedMS         int64
	Succeeded, Failed int
	// ErrorResponses counts those of Failed that the server answered with an error. The other failures (timeouts,
	// resets, failed connections) may be caused by the link.
	ErrorResponses int
}

// Event is an input of Member.Step.
type Event interface{ event() }

type (
	// ListUpdated carries the complete current content of one endpoint list.
	ListUpdated struct {
		Source  string
		Servers []Server
	}
	// OutcomesObserved carries outcomes of requests of this member's agents.
	OutcomesObserved struct{ Samples []OutcomeSample }
	// MembersChanged carries the complete current membership.
	MembersChanged struct {
		// Names are the names of the live members, this one included, ascending.
		Names []string
		// Peers describes the members in Names, in the same order. It is empty if there are no descriptions.
		Peers []Peer
		// Unreachable describes members that recently became unreachable. Their localities still count, because the
		// cause may be a partition.
		Unreachable []Peer
	}
	// Received carries a message from another member.
	Received struct {
		From    string
		Message *Message
	}
)

func (ListUpdated) event()      {}
func (OutcomesObserved) event() {}
func (MembersChanged) event()   {}
func (Received) event()         {}

// Action is an output of Member.Step. The caller executes actions in order.
type Action interface{ action() }

type (
	// Send sends a message to another member. The network may lose, delay or duplicate the message.
	Send struct {
		To      string
		Message *Message
	}
	// EjectionsChanged announces the complete set of ejections and drains that this member's agents must respect from
	// now on.
	EjectionsChanged struct{ Ejections []Ejection }
	// Log writes a line to the operators' log.
	Log struct{ Text string }
)

func (Send) action()             {}
func (EjectionsChanged) action() {}
func (Log) action()              {}

// Ejection is an instruction to this member's agents to avoid one process of a server.
type Ejection struct {
	Server    string
	StartedMS int64
	// Draining means that the server drains or was removed, rather than ejected.
	Draining bool
	// Until is the time by this member's clock at which the ejection expires, unless it is announced again.
	Until time.Duration
}

// sameEjection reports whether two ejections are equal up to a small difference of Until, so that the second need not
// be announced.
func sameEjection(a, b Ejection) bool {
	const tolerance = time.Second
	return a.Server == b.Server &&
		a.StartedMS == b.StartedMS &&
		a.Draining == b.Draining &&
		a.Until-b.Until < tolerance &&
		b.Until-a.Until < tolerance
}
