package decide

import (
	"time"

	"vetchhaven/decide/quota"
)

// BackendState is what the list says of a backend.
type BackendState uint8

// The states of a backend in its list.
const (
	Up       BackendState = iota
	Draining              // finishing its work: it gets nothing new
	Removed               // gone from the list
)

// Backend is one entry of the list.
type Backend struct {
	ID      string
	State   BackendState
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// Event is something that happened by the time of a Step.
type Event interface{ event() }

// ListKind says how a ListUpdate is to be read.
type ListKind uint8

// The kinds of list updates.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a backend that is missing is gone
	ListCached                 // all entries as last stored; may be stale
	ListFailed                 // asking failed or the subscription broke; the old list holds
)

type (
	// ListUpdate carries the list of backends, or the failure to get it.
	ListUpdate struct {
		Kind     ListKind
		Backends []Backend
	}
	// Request is a client's request. The balancer owes it one final answer.
	Request struct {
		ID          string
		Class       int           // index in Settings.Classes
		Remaining   time.Duration // until this client stops waiting
		Work        time.Duration // expected work; 0: unknown
		ClientRetry bool          // the client says that it tries again
		OnlyBackend string        // the one backend that may get it; empty: any
		Upload      bool          // its last byte is still to come, and Remaining counts from then: see UploadCompleted
	}
	// UploadCompleted says that the last byte of an upload has gone out with an attempt. Only now does its
	// time run, and only now has its backend work with it.
	UploadCompleted struct {
		Request   string
		Attempt   int
		Remaining time.Duration
	}
	// Outcome ends one attempt. The agent passes on exactly one for each Send.
	Outcome struct {
		Request       string
		Attempt       int // attempts of a request count from 0 in the order of their Send
		Backend       string
		Result        Result
		Latency       time.Duration // since it was sent; of an upload: since its last byte was
		Answered      bool          // the request has its final answer, by this outcome or before
		Load          Load
		NotReplayable bool // what was sent can't be sent again
		Dialed        bool // it opened a connection
	}
	// ResponseStarted says that the response of an attempt has begun to reach the client.
	ResponseStarted struct {
		Request   string
		Attempt   int
		Completed bool          // the backend is done with it, but for bytes that are on their way
		Latency   time.Duration // of Completed, since it was sent
	}
	// RequestCancelled says that the client disconnected; nothing is owed any longer.
	RequestCancelled struct{ Request string }
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// TimerFired says that a SetTimer has come due.
	TimerFired struct{ Token int64 }
	// BackendDisabled is an operator's word: a backend gets nothing more (Disabled), or may serve again,
	// whatever the list says of it meanwhile. One that is enabled again counts as just started.
	BackendDisabled struct {
		Backend  string
		Disabled bool
	}
	// FleetSize says how many agents share these backends from now on, this one included: no more than Max,
	// as far as anyone can know, and no fewer than Min. It is for agents that know one another by membership,
	// and without effect where Settings.Peers is set: their number is fixed.
	FleetSize struct{ Max, Min int }
	// SharedLimits are the limits that the fleet shares, from now on. Nothing that they count starts without
	// a lease.
	SharedLimits struct{ Limits []quota.Limit }
	// LeasesGranted are this agent's leases of the shared limits, in place of the last ones. They are
	// answered by LeaseUsage; none at all asks for that.
	LeasesGranted struct{ Leases []quota.Lease }
	// Ejections are all that the fleet's agents together hold against backends, in place of the last ones.
	// Each narrows what this agent may do until a time, and no more than its own list or an operator's word
	// does.
	Ejections struct{ Ejections []Ejection }
	// Ejection is of one process of a backend: until a time it gets no ordinary traffic, or, with Draining,
	// nothing, as if the list had said so. Unlike after this agent's own ejection it gets ordinary traffic at
	// once after that.
	Ejection struct {
		Backend  string
		Started  time.Duration // as the list has it: a later process is not meant
		Draining bool
		Until    time.Duration
	}
	// PeerMessage carries bytes from another agent.
	PeerMessage struct {
		From int
		Data []byte
	}
)

// Load is a backend's load report, late and with noise.
type Load struct {
	Valid        bool
	Queue        float64       // requests waiting; negative: not reported
	InFlight     float64       // requests in flight; negative: not reported
	Service      time.Duration // recent service time without waiting; negative: not reported
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
