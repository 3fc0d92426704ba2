// Package decide is the balancing policy of one agent: for one client process it decides where each request
// goes, when it is retried, and when it is refused.
//
// It performs no I/O: the embedding agent (internal/core) owns the clock, the timers and the connections,
// passes on what happened as events (events.go), and executes the actions that Step returns (actions.go), in
// order. A Balancer belongs to one goroutine. All times are durations on the agent's own monotonic clock,
// whose zero is of no matter; they must not run backwards. Its memory is bounded by the requests and attempts
// that are open, the timers that are pending and the backends that were ever listed. All chance comes from
// the seed of New: the same events give the same actions.
//
// The design follows the Smithy retry guidance (AWS standard mode): a private token bucket per balancer,
// charged for each retry and refilled by success, first attempts regardless of it, exponential backoff with
// full jitter; a backend with nothing in flight is picked first. Where the code departs from it the comment
// says "Departure". What it decides against: the four rules of the platform. One final answer for each
// request (finish, in requests.go), no effect twice (mayAttempt, in retry.go), nothing new to a backend that
// drains (startAttempt, in attempt.go) and none in slow start overloaded (slowStartAllows, in slowstart.go).
package decide
