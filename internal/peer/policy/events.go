package policy

// Event is something that happened before or at the time of a Step.
type Event interface{ event() }

type (
	// Received is a message that another member, or this member itself, has sent to this member.
	Received struct {
		From    string
		Message *Message
	}
	// Persisted reports that all batches up to Seq are on the disk. With an error, it reports that batch Seq is not
	// on the disk and never will be.
	Persisted struct {
		Seq uint64
		Err error
	}
	// MembersChanged reports the members of the fleet, as failure detection currently lists them.
	MembersChanged struct{ Members []MemberInfo }
	// Propose sends a change, or the abort of a change, to the voters.
	Propose struct{ Proposal Proposal }
	// WatchChange makes the member request the status of a change for the next 10 minutes (watchDuration).
	WatchChange struct{ ID string }
	// ReplaceVoter adds the voter Add and removes the voter Remove in one step. If one of the names is empty, the
	// event only removes or only adds a voter.
	ReplaceVoter struct {
		Add    string `cbor:"Add"`
		Remove string `cbor:"Remove"`
	}
	// Rescue makes this voter the only one, by an operator's decision (unsafe recovery, like etcd's --force-new-cluster).
	// Entries that only the other voters had are lost. Node.epoch counts the rescues.
	Rescue struct{}
	// TrustDisk lets a voter take part although it can't prove that its disk is current, by an operator's decision.
	TrustDisk struct{}
	// RenewNow makes the member send a lease request at once.
	RenewNow struct{}
	// SetParts sets the parts that this member holds from now on, besides the global one. A new part must not be
	// served until Serving lists it. A part that Parts no longer lists must not be served any more when this event is
	// passed.
	SetParts struct{ Parts []string }
	// History requests the last changes and one document of a part from a voter. If IsResponse is set, it is the
	// response.
	History struct {
		IsResponse bool          `cbor:"1,keyasint,omitempty" json:"Told"`
		Number     uint64        `cbor:"2,keyasint,omitempty" json:"Number"`
		Changes    []EndedChange `cbor:"3,keyasint,omitempty" json:"All"`  // oldest first
		Document   *Document     `cbor:"4,keyasint,omitempty" json:"Doc"`  // nil: it is no longer retained
		Part       string        `cbor:"5,keyasint,omitempty" json:"Part"` // the part whose documents Number counts
	}
	// NameOwnership reports whether this process is the only one that uses its member's name.
	NameOwnership struct{ Exclusive bool }
)

func (Received) event()       {}
func (Persisted) event()      {}
func (MembersChanged) event() {}
func (Propose) event()        {}
func (WatchChange) event()    {}
func (ReplaceVoter) event()   {}
func (Rescue) event()         {}
func (TrustDisk) event()      {}
func (NameOwnership) event()  {}
func (RenewNow) event()       {}
func (SetParts) event()       {}
func (History) event()        {}

// MemberInfo is what failure detection reports about a member.
type MemberInfo struct {
	Name     string
	RunID    uint64
	Departed bool // the member left in order, or an operator removed it
}

// Action is something that the caller of Step has to do. Actions are performed in the order in which Step returns
// them.
type Action interface{ action() }

type (
	// Send sends a message to a member. The message may be lost.
	Send struct {
		To      string
		Message *Message
	}
	// Persist stores a batch. Batches are stored in order, each one atomically, and each before its Persisted is
	// passed.
	Persist struct {
		Seq   uint64
		Batch Batch
	}
	// ServingChanged reports the documents and terms by which this member serves from now on.
	ServingChanged struct{ Serving Serving }
	// Log writes a log line for the operators.
	Log struct {
		Text  string
		Error bool
	}
)

func (Send) action()           {}
func (Persist) action()        {}
func (ServingChanged) action() {}
func (Log) action()            {}

// Batch is stored atomically. An item that is nil stays as it is on the disk.
type Batch struct {
	Wipe          bool     // all data that the voter stored is removed before the rest of the batch is stored
	HardState     []byte   // Raft's hard state (protobuf)
	Snapshot      []byte   // Raft's snapshot (protobuf); at a start, stored entries up to its index are ignored
	Entries       [][]byte // Raft's entries (protobuf), in order; they replace the stored ones from FirstIndex on
	FirstIndex    uint64   // index of the first of Entries
	CompactBefore uint64   // entries before this index may be removed
	Member        []byte   // the member's data: an encoded savedMember
	Epoch         uint64   // epoch of the voter's data, if the batch contains any
}

// StoredState is the data on the disk at the start: the last value of each item.
type StoredState struct {
	HardState []byte
	Snapshot  []byte
	Member    []byte
	Entries   [][]byte
	Epoch     uint64
	// ProvenCurrent reports that the data is certainly as this member's last process left it. Otherwise the disk may
	// have been restored from an earlier copy.
	ProvenCurrent bool
}
