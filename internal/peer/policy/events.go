package policy

// Event is something that happened by the time of a Step.
type Event interface{ event() }

type (
	// Received is a message of another member, or of this one to itself.
	Received struct {
		From    string
		Message *Message
	}
	// Persisted reports that the batches up to Seq are on the disk or, with an error, that the batch Seq is not and
	// never will be.
	Persisted struct {
		Seq uint64
		Err error
	}
	// MembersChanged is what failure detection knows of the fleet's members now.
	MembersChanged struct{ Members []MemberInfo }
	// Propose offers a change, or the abort of one, to the voters.
	Propose struct{ Proposal Proposal }
	// WatchChange has the member request the status of a change for the next 10 minutes (watchDuration).
	WatchChange struct{ ID string }
	// ReplaceVoter requests one voter in place of another. Either name may be empty: one voter more, or one fewer.
	ReplaceVoter struct {
		Add    string `cbor:"Add"`
		Remove string `cbor:"Remove"`
	}
	// Rescue makes this voter the only one, by an operator's decision (unsafe recovery, as etcd's --force-new-cluster). What
	// only the other voters knew is lost. Node.epoch counts these.
	Rescue struct{}
	// TrustDisk lets a voter take part although it can't prove that its disk is current: an operator's decision.
	TrustDisk struct{}
	// RenewNow has the member send a lease request at once.
	RenewNow struct{}
	// SetParts says which parts this member holds from now on, besides the global one. A new one is not served until
	// Serving lists it; one that is no longer listed must not be served any more when this event is passed.
	SetParts struct{ Parts []string }
	// History requests the last changes and one document of a part from a voter. With IsResponse it is the response.
	History struct {
		IsResponse bool          `cbor:"1,keyasint,omitempty" json:"Told"`
		Number     uint64        `cbor:"2,keyasint,omitempty" json:"Number"`
		Changes    []EndedChange `cbor:"3,keyasint,omitempty" json:"All"`  // oldest first
		Document   *Document     `cbor:"4,keyasint,omitempty" json:"Doc"`  // nil: it is no longer retained
		Part       string        `cbor:"5,keyasint,omitempty" json:"Part"` // to which Number belongs
	}
	// NameOwnership says whether this process is the only one that uses its member's name.
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

// MemberInfo is what failure detection knows of a member.
type MemberInfo struct {
	Name     string
	RunID    uint64
	Departed bool // it left in order, or an operator removed it
}

// Action is something to be done, in the order given.
type Action interface{ action() }

type (
	// Send is a message to a member. It may be lost.
	Send struct {
		To      string
		Message *Message
	}
	// Persist is to be stored, in order, each batch atomically, before Persisted is passed.
	Persist struct {
		Seq   uint64
		Batch Batch
	}
	// ServingChanged is what this member serves by from now on.
	ServingChanged struct{ Serving Serving }
	// Log is a line for the operators.
	Log struct {
		Text  string
		Error bool
	}
)

func (Send) action()           {}
func (Persist) action()        {}
func (ServingChanged) action() {}
func (Log) action()            {}

// Batch is stored atomically. What is nil stays as it is on the disk.
type Batch struct {
	Wipe          bool     // first: all that the voter stored is removed
	HardState     []byte   // Raft's hard state (protobuf)
	Snapshot      []byte   // Raft's snapshot (protobuf); it replaces the entries up to it
	Entries       [][]byte // Raft's entries (protobuf), in order; they replace those from FirstIndex on
	FirstIndex    uint64   // the index of the first
	CompactBefore uint64   // entries before this index may be removed
	Member        []byte   // what the member stores
	Epoch         uint64   // of the voter's data, where there is any in the batch
}

// StoredState is what was on the disk at the start: the last of each item.
type StoredState struct {
	HardState []byte
	Snapshot  []byte
	Member    []byte
	Entries   [][]byte
	Epoch     uint64
	// ProvenCurrent: it is for certain as this member's last process left it. Otherwise it may have been restored from
	// an earlier copy.
	ProvenCurrent bool
}
