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
// says "Departure from the design page": that is the operators' page DESIGN, which this paragraph sums up.
//
// The module guards the four rules of the platform:
//
//  1. One final answer for each request, and nothing sent for it afterwards: finish, in requests.go.
//  2. No duplicate execution of a keyed or non-idempotent request: mayAttempt, in retry.go.
//  3. Nothing new to a backend that drains or is removed: startAttempt, in attempt.go.
//  4. No backend in slow start overloaded by all agents together: slowStartAllows, in slowstart.go.
//
// A backend is what lists and fleet packages call a server and the platform an endpoint; a cell is a pod; a
// balancer is the part of an agent that decides.
package decide
