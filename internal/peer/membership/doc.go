// Package membership keeps one daemon's view of the other daemons of its fleet: who they are, where they listen, since
// when, and whether they are alive. It detects failures and spreads what it learns by gossip.
//
// The protocol is SWIM (Das, Gupta and Motivala, 2002): randomized probes, indirect probes, suspicion with refutation
// by incarnation numbers, and updates piggybacked on probes. It has the extensions of Lifeguard (Dadgar, Phillips and
// Currey, 2017): a local health multiplier, a suspicion timeout that shortens with each independent reporter, and
// suspects that are the first to receive their suspicion. This implementation adds, for reasons given in
// docs/design/view.md:
//
//   - detection of its own pauses, after which a member doubts itself before it doubts others;
//   - a digest of the view in every datagram, so that a fleet at rest exchanges no records, and push-pull exchanges
//     (anti-entropy) by buckets where digests differ;
//   - boot numbers that grow even where the disk was lost;
//   - names that belong to one process at a time;
//   - regions (failure domains): probes and suspicions stay in a member's own region, and a few watchers of each
//     region probe the other ones.
//
// The package is a state machine: View.Step takes the time and the events since the last step, and returns the actions
// to execute. It has no clock, socket, goroutine or global state, and draws random numbers only from its seed, so the
// same events give the same actions. internal/peer/transport owns the View in production and steps it from its one
// goroutine; internal/faulttest steps it in virtual time. The caller persists Records when it gets a SaveView.
//
// All times are durations on the daemon's own monotonic clock. They never run backwards.
package membership
