// Package core is an agent around the balancer of package decide, whatever protocol it speaks. It turns what happens
// into the balancer's events and executes its actions, in order. It decides nothing about requests that it admits: it
// neither picks servers nor retries, queues or refuses them. By itself it rejects only requests past the policy's admission
// bound (they are shed, admission.go), duplicate IDs, and requests whose deadline has passed.
//
// The parts of an Agent, and who owns their state:
//
//   - Loop (loop.go) owns the balancer, the clock, the timers and the request table. One goroutine runs it; all others
//     post events to it (events.go).
//   - ConnLimiter (connlimiter.go) accepts clients' connections up to a number of slots, and evicts idle ones. It has a
//     lock of its own.
//   - listWatcher (discovery.go), or the daemon's hub, brings the endpoint list.
//   - Protocol (protocol.go) reads requests, makes attempts and writes answers: internal/protocol/http1 and
//     internal/protocol/ldap. It runs a goroutine for each connection and is called from one for each attempt.
//
// Two guards hold whatever the balancer decides: sendGuard (sendguard.go) is the one place through which each write to a
// server and the final answer of its request go, and mayStart (invariants.go) holds retries to the rules on repeated
// execution. An Agent's exported methods may be called from any goroutine and do not wait for the loop unless they
// take a context or a time limit.
package core
