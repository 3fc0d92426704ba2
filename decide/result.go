package decide

// Result says how an attempt or a probe ended.
type Result uint8

// The results of attempts and probes.
const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Rejected                    // turned away as full, unseen; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
	Incomplete                  // the connection broke, or time was up, before the request was sent whole; never ran
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, Incomplete:
		return true
	}
	return false
}

// Reason is the limit or rule by which a request got a final answer that is not a success.
type Reason uint8

// The reasons of final answers that are not successes, with the name that vetchhaven_unserved_total and the
// debug log show.
const (
	// NoCapacity ("no room"): no more may be in flight, or an agent that admits by credit has none. Also a
	// client's retry that found no capacity at once: it does not wait.
	NoCapacity Reason = iota
	// NoBackend ("no server"): none may get it. Each is down, ejected, in slow start without budget, has
	// rejected as full, has this agent's share of attempts in flight, has just failed the request, or is
	// barred by the rule on repeats.
	NoBackend
	// NoRetryToken ("no token"): the retry bucket is too low.
	NoRetryToken
	// DeadlineTooClose ("no time"): a further attempt would come too late.
	DeadlineTooClose
	// NoAttemptLeft ("no attempt"): all attempts are used up, or what was sent can't be sent again.
	NoAttemptLeft
	// NoLease ("no right"): a limit that the fleet shares, of which this agent has no lease of more now.
	NoLease
	// ReasonCount is how many there are.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	NoCapacity:       "no room",
	NoBackend:        "no server",
	NoRetryToken:     "no token",
	DeadlineTooClose: "no time",
	NoAttemptLeft:    "no attempt",
	NoLease:          "no right",
}

// String is the reason as metrics and logs have it.
func (r Reason) String() string { return reasonNames[r] }
