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

// The reasons of final answers that are not successes.
const (
	NoCapacity       Reason = iota // no more may be in flight, or an agent that admits by credit has none
	NoBackend                      // none may get it: down, ejected, in slow start without budget, or barred by the rule on repeats
	NoRetryToken                   // the retry bucket is too low
	DeadlineTooClose               // a further attempt would come too late
	NoAttemptLeft                  // all attempts are used up, or what was sent can't be sent again
	NoLease                        // a limit that the fleet shares: this agent has no lease of more of it now
	ReasonCount                    // how many there are
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
