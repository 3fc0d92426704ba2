// Package decide decides, for one client process, where each
// request goes, when it is tried again, and when it is
// refused. It performs no I/O: the embedding agent owns the clock, the timers
// and the connections, passes on what happened as events, and carries out the
// actions it gets back, in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's
// own monotonic clock, whose zero is of no matter; they must not run backwards.
// Its memory is bounded by the requests and attempts that are open, the timers
// that are pending and the backends that were ever listed.
package decide

import (
	"time"

	"vetchhaven/decide/quota"
)

// Effect says what repeating a request does.
type Effect uint8

// The effects of repeating a request.
const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // backends of one group drop a repeat within a window
	Unsafe               // may be repeated only when no attempt can have run
)

// Group says which backends drop repeats of a keyed request.
type Group uint8

// The deduplication scopes of a keyed request.
const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // an answer within this time earns the full worth
	Deadline  time.Duration // the time a client waits, over all its tries
	Worth     float64       // worth of a request (or of a unit of work, see Settings.ByWork)
	LateWorth float64       // share of the worth earned between aim and deadline
	Effect    Effect
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: how long a repeat is dropped after the first send
}

// Settings are fixed for the life of a Balancer. The zero value of a field that
// may be absent means what its comment says; the zero value of a price, a goal or
// a span switches off what rests on it. What agents may do at a site (MayProbe,
// MayCancel, RetryAfter and their bounds) is part of the interface though the
// present module asks for none of it.
type Settings struct {
	Balancers int // agents that share these backends, this one included; at least 1
	Self      int // this agent's number, from 0
	Zone      int // this agent's zone
	Classes   []Class
	ByWork    bool          // worth counts per unit of work, not per request
	Subscribe bool          // the list must be asked for; else it is told unasked
	Tick      time.Duration // shortest gap between two steps; 0: none

	MaxAttempts    int           // attempts one request may get; 0: 1
	SecondCopies   bool          // two attempts of one request may be out together
	MayProbe       bool          // Probe actions are allowed
	MayCancel      bool          // Cancel actions are allowed
	Peers          bool          // TellPeer actions are allowed
	RetryAfter     bool          // clients are shown Refuse.RetryAfter
	MaxRetryAfter  time.Duration // the longest wait that a client heeds
	ConnectTimeout time.Duration // a connection not made in this time fails

	DrainGrace   time.Duration // how long sends to a draining backend are still tolerated
	AnswerGrace  time.Duration // how long after its deadline a final answer still counts
	AskWithin    time.Duration // Subscribe: ask at least this often while not subscribed
	ColdShare    float64       // a backend starts at this share of its capacity or more; 0: 1
	RampTime     time.Duration // and is warm no later than this after its start
	FallMultiple float64       // a cold backend sent more than this multiple of its capacity ...
	FallWindow   time.Duration // ... over this span falls over

	GoalWhole, GoalWindow, GoalClass float64 // what the operator weighs: all, worst span, worst class
	CrossZonePrice                   float64 // what crossing zones costs, as a share of the result
}

// BackendState is what the list says of a backend.
type BackendState uint8

// The states of an endpoint in its list.
const (
	Up       BackendState = iota
	Draining              // finishing its work
	Gone                  // removed
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

// Event is something that happened at the time of a Step.
type Event interface{ event() }

// ListKind says how a List is to be read.
type ListKind uint8

// The kinds of list updates.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a backend that is missing is gone
	ListCached                 // all entries as last stored; may be stale
	ListFailed                 // asking failed or the subscription broke; the old list holds
)

type (
	// List carries the backends or the failure to get them.
	List struct {
		Kind     ListKind
		Backends []Backend
	}
	// Request is a client's request. The balancer owes it one final answer.
	Request struct {
		ID     string
		Class  int
		Left   time.Duration // until this client stops waiting
		Work   time.Duration // expected work; 0: unknown
		Repeat bool          // the client says that it tries again
		Only   string        // the one backend that may get it; empty: any
		Upload bool          // its last byte is still to come, and Left counts from then: see Uploaded
	}
	// Uploaded says that the last byte of an upload has gone out with an attempt. Only now does its time
	// run, and only now has its backend work with it.
	Uploaded struct {
		Request string
		Attempt int
		Left    time.Duration
	}
	// Outcome ends one attempt. The agent passes on exactly one for each Send.
	Outcome struct {
		Request string
		Attempt int // attempts of a request count from 0 in the order of their Send
		Backend string
		Result  Result
		Latency time.Duration // since it was sent; of an upload: since its last byte was
		Done    bool          // the request has its final answer, by this outcome or before
		Load    Load
		Spent   bool // what was sent can't be sent again
		Dialed  bool // it opened a connection
	}
	// StreamStarted says that the answer of an attempt has begun to reach the client.
	StreamStarted struct {
		Request string
		Attempt int
		Worked  bool          // the backend is done with it, but for bytes that are on their way
		Latency time.Duration // of Worked, since it was sent
	}
	// Abandoned says that the client left; nothing is owed any longer.
	Abandoned struct{ Request string }
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// TimerFired says that a SetTimer has come due.
	TimerFired struct{ Token int64 }
	// Ban is an operator's word: a backend gets nothing more (Out), or may serve again, whatever the
	// list says of it meanwhile. One that comes back counts as just started.
	Ban struct {
		Backend string
		Out     bool
	}
	// Fleet says how many agents share these backends from now on, this one included: no more than Most, as far as
	// anyone can know, and no fewer than Least. It is for agents that keep a view of one another, and without effect
	// where Peers is set: those are told once.
	Fleet struct{ Most, Least int }
	// Limits are those that the fleet shares, from now on. Nothing that they count is sent without a right.
	Limits struct{ All []quota.Limit }
	// Rights are what this agent may use of them. They are answered by Held; none at all asks for that.
	Rights struct{ All []quota.Lease }
	// Verdicts are all that the fleet's agents together hold against backends. Each narrows what this agent may do
	// until a time, and no more than its own list or an operator's word does. They take the place of the last ones.
	Verdicts struct{ All []Verdict }
	// Verdict is about one process of a backend: it is out as if this agent had ejected it, or, with Drain, gets
	// nothing, as if the list had said so.
	Verdict struct {
		Backend string
		Started time.Duration // as the list has it: a later process is not meant
		Drain   bool
		Until   time.Duration
	}
	// PeerMessage carries bytes from another agent.
	PeerMessage struct {
		From int
		Data []byte
	}
)

// Load is what a backend reported of itself, late and with noise.
type Load struct {
	Valid        bool
	Queue        float64       // requests waiting; negative: not reported
	InFlight     float64       // requests in hand; negative: not reported
	Service      time.Duration // recent service time without waiting; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

// Result says how an attempt or a probe ended.
type Result uint8

// The results of attempts and probes.
const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Full                        // turned away unseen; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
	Broke                       // a connection broke, or the attempt's time was up, before the request was whole; never ran
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == NotSent || r == Broke }

// Reason is the limit or rule by which a request got a final answer that is not a success.
type Reason uint8

// The reasons of final answers that are not successes.
const (
	NoRoom    Reason = iota // no more may be in flight, or a thin agent has no credit
	NoServer                // none may get it: down, ejected, cold and spent, or outside what the repeat rule allows
	NoToken                 // the retry bucket is too low
	NoTime                  // a further attempt would come too late
	NoAttempt               // all attempts are used up, or what was sent can't be sent again
	NoRight                 // a limit that the fleet shares: this agent has no right to more of it now
	Reasons                 // how many there are
)

func (r Reason) String() string {
	return [...]string{"no room", "no server", "no token", "no time", "no attempt", "no right"}[r]
}

// Action is something the agent must do now, in the order given. The present module
// sends no Cancel and no Probe; agents should carry them out all the same.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Timeout 0 means until the client stops waiting.
	Send struct {
		Request, Backend string
		Timeout          time.Duration
		Until            time.Duration // it must not begin later, and ends as NotSent then; 0: any time
		NoDial           bool          // only on a connection that is open; without one it ends as NotSent
	}
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: not done, a new try does no harm.
	Refuse struct {
		Request    string
		RetryAfter time.Duration // 0: no advice
		Why        Reason
		Limit      string // of NoRight
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		Request string
		Why     Reason
		Limit   string // of NoRight
	}
	// Held tells whoever lends rights how they stand, and what was turned away for want of one.
	Held struct{ All []quota.Usage }
	// SetTimer asks for a TimerFired after a while. Timers are never revoked.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe examines a backend outside any request.
	Probe struct{ Backend string }
	// TellPeer sends a few bytes to another agent. They may come late or not at all.
	TellPeer struct {
		To   int // that agent's number
		Data []byte
	}
	// Subscribe asks that list changes be delivered from now on.
	Subscribe struct{}
)

func (List) event()          {}
func (Request) event()       {}
func (Outcome) event()       {}
func (Uploaded) event()      {}
func (StreamStarted) event() {}
func (Abandoned) event()     {}
func (ProbeResult) event()   {}
func (TimerFired) event()    {}
func (PeerMessage) event()   {}
func (Ban) event()           {}
func (Fleet) event()         {}
func (Limits) event()        {}
func (Rights) event()        {}
func (Verdicts) event()      {}

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Probe) action()     {}
func (TellPeer) action()  {}
func (Subscribe) action() {}
func (Held) action()      {}
