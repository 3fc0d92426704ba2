// Package decide is the balancing policy of one agent. For one client process it decides which backend each
// request goes to, when a request is retried, and when it is refused.
//
// The package performs no I/O. The embedding agent (internal/core) owns the clock, the timers and the
// connections. It passes events (events.go) to Step and executes the actions that Step returns (actions.go)
// in order. A Balancer must be used by one goroutine only. All times are durations on the agent's own
// monotonic clock, whose zero point does not matter; they must not go backwards. The memory of a Balancer is
// bounded by the number of open requests and attempts, of pending timers, and of backends that are listed,
// have attempts in flight, are disabled by an operator, or were in the restored state. All randomness comes
// from the seed that is given to New: the same events give the same actions.
//
// The design follows the Smithy retry guidance (AWS standard mode): each balancer has its own token bucket,
// which is charged for each retry and refilled by each success; first attempts are sent whatever the bucket
// holds; retries back off exponentially with full jitter. A backend at which this balancer has no attempt in
// flight is preferred to all others. A comment that begins with "Departure from the design page" explains
// where the code differs from the design that this paragraph summarises (the operators' page DESIGN).
//
// The package enforces the four rules of the platform:
//
//  1. A request gets one final answer, and no attempt is sent for it afterwards: finish, in requests.go.
//  2. A keyed or non-idempotent request is not executed twice: mayAttempt, in retry.go.
//  3. A draining or removed backend gets no new attempts: startAttempt, in attempt.go.
//  4. All agents together do not overload a backend in slow start: slowStartAllows, in slowstart.go.
//
// A backend is called a server in lists and in the fleet packages, and an endpoint by the platform. A cell is
// a pod. A balancer is the part of an agent that makes the decisions.
package decide
