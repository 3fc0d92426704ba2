// Package core implements an agent around the balancer of package decide, independently of the protocol. It turns
// requests, outcomes, list changes and timers into the balancer's events, and executes the balancer's actions in
// order. It makes no decisions about requests that it admits: the balancer chooses servers, retries, queues and
// refuses. The package itself rejects only requests that arrive past the policy's admission bound (they are shed, see
// admission.go), requests with duplicate IDs, and requests whose deadline has passed.
//
// An Agent consists of these parts, which own their state:
//
//   - Loop (loop.go) owns the balancer, the clock, the timers and the request table. One goroutine runs it; all others
//     post events to it (events.go).
//   - ConnLimiter (connlimiter.go) accepts clients' connections up to a number of slots, and evicts idle ones. It has
//     its own lock.
//   - listWatcher (discovery.go), or the daemon's hub, delivers the endpoint list.
//   - Protocol (protocol.go) reads requests, makes attempts and writes answers. Its implementations are
//     internal/protocol/http1 and internal/protocol/ldap. A protocol runs a goroutine for each client connection, and
//     the loop calls it in a goroutine for each attempt.
//
// Two guards apply whatever the balancer decides. sendGuard (sendguard.go) orders each write to a server and the final
// answer of its request. mayStart (invariants.go) refuses retries that violate the rules on repeated execution. An
// Agent's exported methods may be called from any goroutine and do not wait for the loop unless they take a context
// or a time limit.
package core
