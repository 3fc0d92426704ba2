// Package policy replicates the fleet's policy: the configuration by which every agent routes requests. The policy
// consists of parts: a global part, whose name is empty, and one part for each service that has its own. Each part
// has one active document at a time and numbers its documents. A change of one or several parts takes effect at every
// member that holds one of these parts, or at none.
//
// # Protocol
//
// A few members, the voters, replicate a log by Raft (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014; implemented by go.etcd.io/raft). The log's state machine (statemachine.go,
// replicatedstate.go) holds the roster (the list of the members that may admit requests), the changes being prepared,
// and the outcomes of the last changes. Every daemon, whether it is a voter or not, is a member (member*.go): it
// renews a lease at the leading voter, persists the changes being prepared that affect it, and reports which ones it
// has persisted. The leading voter is the coordinator (coordinator*.go) of an atomic commitment (two-phase commit:
// Gray, "Notes on Data Base Operating Systems", 1978) whose decision is an entry of the log. A change is committed
// once every affected member has either persisted it, or been fenced: a fenced member was removed from the roster
// after its lease (Gray and Cheriton, "Leases", 1989) expired, so it certainly admits no requests. Otherwise the
// change is aborted.
//
// # State and ownership
//
// Node holds all state of one process: its member and, at a voter, its raftNode. It is a state machine without I/O:
// it uses no clock, socket, file or goroutine, and takes its randomness from a seed. Step takes events (events.go)
// and returns actions. The package internal/peer/transport calls Step from the one goroutine that owns the Node,
// sends the messages and stores the batches; internal/host/daemon applies Serving to its instances. The simulations
// call Step in virtual time.
//
// docs/design/policy.md lists the guarantees, the assumptions that they rest on, and the argument for each.
package policy

import "time"

// FormatVersion is the version of messages, log and stored state that this build writes. Format 1 had only the global
// part and one change at a time. This build still reads data of format 1, and sends voters and members of format 1
// only what format 1 has. Data of format 1 does not contain its version, so a Format field of 0 means format 1.
//
//	structure                      sent or stored as               use of its Format
//	LeaseRequest, LeaseResponse    CBOR in datagrams               selects legacyResponse for members of format 1
//	HandoffState                   CBOR in the handed-over state   read by the process that takes over
//	savedMember                    CBOR in policy.db, "member"     New refuses a later format
//	replicatedState, rosterEntry   CBOR in snapshots of the log    read by the coordinator; the log's format rises
//	                                                               for good with the first change of a service's
//	                                                               part, once all voters have format 2
//	command                        CBOR in entries of the log      a join contains its parts from format 2 on
//
// Message has no format of its own: a build skips fields that it does not have. A build does not refuse a
// replicatedState of a later format, and applies a command of an unknown kind without effect. This is safe because a
// leader proposes what needs a format only once all voters have that format (proposeFormat).
const FormatVersion = 2

// Never is a time that is not reached: about 146 years, half of the longest Duration, so that adding a duration to it
// does not overflow.
const Never = time.Duration(1<<62 - 1)

// Bounds of a change and of a member. They are the same in all builds: a voter that enforced a smaller bound would
// apply the log differently.
const (
	// MaxBodyBytes bounds the text of one part. A larger text would not reach 200 members within
	// DefaultPrepareTimeout.
	MaxBodyBytes = 64 << 10
	// MaxChangeBytes bounds the sum of the texts of one change: two such changes fit into one message of the log.
	MaxChangeBytes = 128 << 10
	// maxPartsPerChange bounds the number of parts of a change.
	maxPartsPerChange = 16
	// MaxPartNameBytes bounds the name of a part.
	MaxPartNameBytes = 64
	// MaxPartsPerMember bounds the number of parts that a member holds. It is above the number of services of the
	// largest planned fleet.
	MaxPartsPerMember = 1024
	// maxActiveBytes bounds the sum of the texts of all parts. Together with the retained previous text of each part,
	// a snapshot takes up to half of the largest stream message.
	maxActiveBytes = 1 << 20
	// MaxReasonBytes bounds the reason for a change, and the name of its author.
	MaxReasonBytes = 500
	// maxChangeIDBytes bounds the ID of a change.
	maxChangeIDBytes = 64
	// maxExcludedMembers bounds the number of members that the author of a change declares to be down.
	maxExcludedMembers = 1000
	// maxListedMembers bounds the number of members that a status or a reason names.
	maxListedMembers = 16
)
