package decide

import (
	"time"

	"vetchhaven/decide/quota"
)

// BackendState is the state of a backend in the list.
type BackendState uint8

// The states of a backend in its list.
const (
	Up       BackendState = iota
	Draining              // finishing its work: it gets no new attempts
	Removed               // no longer in the list
)

// Unknown is the Zone or Cell of a backend whose zone or cell is not known. It may be any.
const Unknown = -1

// Backend is one entry of the list.
type Backend struct {
	ID      string
	Addr    string // where its process is reached; only compared with the address in earlier lists
	State   BackendState
	Zone    int // its index in the settings, or Unknown; another negative number is a zone that the settings do not have
	Cell    int // or Unknown
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// Event is an input of Step: it reports something that has happened before the step.
type Event interface{ event() }

// ListKind specifies how the entries of a ListUpdate are to be applied.
type ListKind uint8

// The kinds of list updates.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a backend that is missing is removed
	ListCached                 // all entries as last stored; may be stale
	ListFailed                 // the request failed or the subscription broke; the old list stays valid
)

type (
	// ListUpdate carries the list of backends, or reports that it could not be fetched.
	ListUpdate struct {
		Kind     ListKind
		Backends []Backend
	}
	// Request is a request from a client. The balancer gives it exactly one final answer.
	Request struct {
		ID          string
		Class       int           // index in Settings.Classes
		Remaining   time.Duration // how long this client still waits
		Work        time.Duration // expected work; 0: unknown
		ClientRetry bool          // the client marks it as a retry
		OnlyBackend string        // the only backend that may get it; empty: any
		Client      uint64        // the client that sent it, of several requests at once; 0: sends one at a time
		Upload      bool          // its last byte is still to come; Remaining counts from then, see UploadCompleted
	}
	// UploadCompleted reports that the last byte of an upload has been sent with an attempt. The time limits
	// of the request and the work of its backend begin only now.
	UploadCompleted struct {
		Request   string
		Attempt   int
		Remaining time.Duration
	}
	// Outcome ends one attempt. The agent reports exactly one Outcome for each Send.
	Outcome struct {
		Request       string
		Attempt       int // attempts of a request are numbered from 0 in the order of their Send
		Backend       string
		Result        Result
		Latency       time.Duration // since the attempt was sent; of an upload: since its last byte was sent
		Answered      bool          // the request has its final answer, by this outcome or an earlier one
		Load          Load
		NotReplayable bool // the part of the request that was sent can't be sent again
		Dialed        bool // the attempt opened a new connection
	}
	// ResponseStarted reports that the response of an attempt has begun to reach the client.
	ResponseStarted struct {
		Request   string
		Attempt   int
		Completed bool          // the backend has finished its work; only response bytes are still in transit
		Latency   time.Duration // if Completed: since the attempt was sent
	}
	// RequestCancelled reports that the client has disconnected, so that the request needs no final answer.
	RequestCancelled struct{ Request string }
	// ProbeResult is the result of a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// TimerFired reports that a timer set by SetTimer is due.
	TimerFired struct{ Token int64 }
	// BackendDisabled reports that an operator has disabled a backend, or has enabled it again (Disabled is
	// false). A disabled backend gets no new attempts, whatever its state in the list. A backend that is
	// enabled again counts as just started.
	BackendDisabled struct {
		Backend  string
		Disabled bool
	}
	// FleetSize sets the bounds of the number of agents that share these backends from now on, this one
	// included: at most Max and at least Min, according to the membership protocol. It has no effect if
	// Settings.Peers is set, because the number of agents is fixed in that case.
	FleetSize struct{ Max, Min int }
	// SharedLimits replaces the limits that the fleet shares. An attempt to which a limit applies does not
	// start without a lease of that limit.
	SharedLimits struct{ Limits []quota.Limit }
	// LeasesGranted carries leases that were granted to this agent; each replaces the earlier lease of the
	// same grantor. The balancer replies with LeaseUsage even if the event carries no lease.
	LeasesGranted struct{ Leases []quota.Lease }
	// Ejections are all ejections on which the fleet's agents have agreed; they replace the previous ones. An
	// ejection restricts which backends this agent may use, until a given time. It never permits a backend
	// that the agent's own list or an operator excludes.
	Ejections struct{ Ejections []Ejection }
	// Ejection excludes one process of a backend until a given time. Until then the backend gets no ordinary
	// traffic; with Draining it gets no attempts at all, as if the list reported it as draining. Afterwards
	// it gets ordinary traffic again at once, unlike after an ejection by this agent.
	Ejection struct {
		Backend  string
		Started  time.Duration // as listed: the ejection does not apply to a later process
		Draining bool
		Until    time.Duration
	}
	// PeerMessage carries a message from another agent.
	PeerMessage struct {
		From int
		Data []byte
	}
)

// Load is a backend's load report. It is delayed and noisy.
type Load struct {
	Valid        bool
	Queue        float64       // waiting requests; negative: not reported
	InFlight     float64       // requests in flight; negative: not reported
	Service      time.Duration // recent service time without queueing; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

func (ListUpdate) event()       {}
func (Request) event()          {}
func (Outcome) event()          {}
func (UploadCompleted) event()  {}
func (ResponseStarted) event()  {}
func (RequestCancelled) event() {}
func (ProbeResult) event()      {}
func (TimerFired) event()       {}
func (PeerMessage) event()      {}
func (BackendDisabled) event()  {}
func (FleetSize) event()        {}
func (SharedLimits) event()     {}
func (LeasesGranted) event()    {}
func (Ejections) event()        {}
