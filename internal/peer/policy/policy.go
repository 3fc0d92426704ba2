// Package policy replicates the fleet's policy: the configuration by which every agent routes requests. The policy has
// parts, a global one ("") and one for each service that has its own. Each part is versioned by a number of its own, has
// one active document at a time, and a change of one or several parts takes effect at every member that holds one of them,
// or at none.
//
// # What it decides
//
// A few members, the voters, replicate a log by Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014; implemented by go.etcd.io/raft). The log's state machine (statemachine.go, replicatedstate.go) holds
// the roster, which is the list of the members that may admit requests, the changes being prepared, and the outcome of
// the last changes. Every daemon, voter or not, is a member (member*.go): it renews a lease at the voters, persists the
// changes being prepared that affect it, and reports that it has. The leading voter is the coordinator (coordinator*.go)
// of an atomic commitment (two-phase commit: Gray, "Notes on Data Base Operating Systems", 1978) whose decision is an
// entry of the log: a change is committed once all affected members have persisted it, or certainly admit no requests
// any more because they were fenced, that is removed from the roster after their lease (Gray and Cheriton, "Leases",
// 1989) expired. Otherwise it is aborted.
//
// # State and ownership
//
// Node holds all state of one process: its member and, at a voter, its raftNode. It is a state machine without I/O: no
// clock, socket, file or goroutine, and randomness from a seed. Step takes events (events.go) and returns actions. The
// package internal/peer/transport calls it from the one goroutine that owns the Node, sends the messages and
// stores the batches; internal/host/daemon applies Serving to its instances. The simulations call it in virtual time.
//
// docs/design/policy.md has the guarantees, what they rest on, and the argument for each.
package policy

import "time"

// FormatVersion is the version of messages, log and stored state that this build writes. Format 1 had only the global
// part and one change at a time; what it wrote is still read, and voters or members of format 1 are sent nothing that
// they do not know. Format 1 does not say its version, so a Format field of 0 means format 1.
//
//	structure                      sent or stored as               who goes by its Format
//	LeaseRequest, LeaseResponse    CBOR in datagrams               legacyResponse, for members of format 1
//	HandoffState                   CBOR in the handed-over state   the process that takes over
//	savedMember                    CBOR in policy.db, "member"     New, which refuses a later format
//	replicatedState, rosterEntry   CBOR in snapshots of the log    the coordinator; it rises for good with the first change
//	                                                               of a service's part, once all voters know format 2
//	command                        CBOR in entries of the log      a join's parts are known from format 2 on
//
// Message has no format of its own: a field that a build does not know is skipped. A replicatedState of a later format is not
// refused, and a command of an unknown kind changes nothing: a leader proposes what needs a format only once all voters have
// it (proposeFormat).
const FormatVersion = 2

// Never is a time that is not reached: about 146 years, half of what a Duration can hold, so that adding to it does not
// overflow.
const Never = time.Duration(1<<62 - 1)

// Bounds of a change and of a member. They are agreed on by all builds: a voter that enforced a smaller one would apply
// the log differently.
const (
	// MaxBodyBytes bounds the text of one part. Larger texts would not reach 200 members within DefaultPrepareTimeout.
	MaxBodyBytes = 64 << 10
	// MaxChangeBytes bounds all texts of one change: two such changes fit into one message of the log.
	MaxChangeBytes = 128 << 10
	// maxPartsPerChange bounds the parts of a change.
	maxPartsPerChange = 16
	// MaxPartNameBytes bounds the name of a part.
	MaxPartNameBytes = 64
	// MaxPartsPerMember bounds the parts that a member holds: more than the services of the largest fleet planned for.
	MaxPartsPerMember = 1024
	// maxActiveBytes bounds the texts of all parts. With the previous texts retained for each part, a snapshot stays at
	// half of what one stream message takes.
	maxActiveBytes = 1 << 20
	// MaxReasonBytes bounds the reason for a change, and its author.
	MaxReasonBytes = 500
	// maxChangeIDBytes bounds the ID of a change.
	maxChangeIDBytes = 64
	// maxExcludedMembers bounds the members that the author of a change declares to be down.
	maxExcludedMembers = 1000
	// maxListedMembers bounds the members that a status or a reason names.
	maxListedMembers = 16
)
