// Package membership keeps one daemon's view of the other daemons of its fleet: their names and addresses, whether they
// are alive, and since when. It detects failures and disseminates membership updates by gossip.
//
// The protocol is SWIM (Das, Gupta and Motivala, 2002): randomized probes, indirect probes, suspicion with refutation
// by incarnation numbers, and updates piggybacked on probes. It has the extensions of Lifeguard (Dadgar, Phillips and
// Currey, 2017): a local health multiplier, a suspicion timeout that shortens with each independent reporter, and
// probes that inform a suspect of its suspicion (the buddy system). This implementation adds the following extensions;
// docs/design/view.md gives the reasons:
//
//   - A member detects pauses of its own process, and raises its local health multiplier before it suspects others.
//   - Every datagram carries a digest of the sender's view, so that an idle fleet exchanges no records. Where digests
//     differ, members compare their views by buckets in push-pull exchanges (anti-entropy).
//   - Boot numbers increase even if a daemon loses its disk.
//   - A name belongs to one process at a time.
//   - The fleet is divided into regions (failure domains): probes and suspicions stay within a member's own region, and
//     a few members of each region, its watchers, probe the other regions.
//
// The package is a state machine: View.Step takes the time and the events since the last step, and returns the actions
// to execute. It has no clock, socket, goroutine or global state, and draws random numbers only from its seed, so the
// same events give the same actions. In production, internal/peer/transport owns the View and steps it from a single
// goroutine; internal/faulttest steps it in virtual time. The caller writes Records to disk when it gets a SaveView.
//
// All times are durations on the daemon's own monotonic clock, and never decrease.
package membership
