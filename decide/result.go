package decide

// Result is the way in which an attempt or a probe ended.
type Result uint8

// The results of attempts and probes.
const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Rejected                    // the backend was full and did not look at the request; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // cancelled by the agent; may have run
	NotSent                     // the attempt was not sent; never ran
	Incomplete                  // the connection broke, or the attempt timed out, before all of the request was sent; never ran
)

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, Incomplete:
		return true
	}
	return false
}

// Reason is the limit or rule that gave a request a final answer other than success.
type Reason uint8

// The reasons of final answers other than success. The quoted name is the one that vetchhaven_unserved_total
// and the debug log show.
const (
	// NoCapacity ("no room"): the limit of attempts in flight is reached, or an agent that admits by credit
	// has no credit left. A client's retry that finds no capacity on arrival ends for this reason too, since
	// such a request does not wait.
	NoCapacity Reason = iota
	// NoBackend ("no server"): no backend may get the request. Each one is down, ejected, in slow start
	// without budget, has rejected an attempt because it is full, has as many of this agent's attempts in
	// flight as one backend may have, has just failed the request, or is excluded by the rule on repeating
	// requests.
	NoBackend
	// NoRetryToken ("no token"): the retry bucket is too low.
	NoRetryToken
	// DeadlineTooClose ("no time"): a further attempt would start too late.
	DeadlineTooClose
	// NoAttemptLeft ("no attempt"): all attempts are used up, the part of the request that was sent can't be
	// sent again, or the agent could not send the attempt.
	NoAttemptLeft
	// NoLease ("no right"): this agent has no lease left of a limit that the fleet shares.
	NoLease
	// ReasonCount is the number of reasons.
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

// String returns the reason as it appears in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }
