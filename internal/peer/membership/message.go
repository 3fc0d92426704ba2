package membership

import "cmp"

// MessageKind is the kind of a datagram.
type MessageKind uint8

// The kinds of datagrams.
const (
	Ping                    MessageKind = iota + 1 // a probe of Target, answered by an Ack
	Ack                                            // Target is alive; sent by Target, or by a helper that received its Ack
	IndirectPing                                   // requests that a helper probe Target at Addr and send the answer to Reply
	Nack                                           // from a helper that runs, but received no answer from Target (Lifeguard)
	Gossip                                         // carries updates only
	IdentityRequest                                // requests the identity of the process at an address
	IdentityResponse                               // identifies a process by SubjectRunID and UptimeMS
	IndirectIdentityRequest                        // requests that a helper send an IdentityRequest to Addr and the answer to Reply
	kindCount
)

// Message is a datagram.
type Message struct {
	From         string      `cbor:"1,keyasint,omitempty"` // name of the sender
	Boot         uint64      `cbor:"2,keyasint,omitempty"` // boot number of the sender, as in its Record
	RunID        uint64      `cbor:"3,keyasint,omitempty"` // run ID of the sender
	Number       uint64      `cbor:"4,keyasint,omitempty"` // each process numbers its datagrams from 1
	Digest       uint64      `cbor:"5,keyasint,omitempty"` // digest of the sender's view
	Kind         MessageKind `cbor:"6,keyasint,omitempty"`
	Seq          uint32      `cbor:"7,keyasint,omitempty"` // sequence number of a request; its response has the same
	Target       string      `cbor:"8,keyasint,omitempty"`
	Addr         string      `cbor:"9,keyasint,omitempty"`  // the target's address in indirect requests, else the sender's
	Reply        string      `cbor:"10,keyasint,omitempty"` // address of the sender in indirect requests
	UptimeMS     uint64      `cbor:"11,keyasint,omitempty"` // IdentityResponse: uptime of the process, in milliseconds
	SubjectRunID uint64      `cbor:"12,keyasint,omitempty"` // IdentityResponse: run ID of the process that answers
	Updates      []Record    `cbor:"13,keyasint,omitempty"`
}

// Exchange is a message of a push-pull exchange (anti-entropy) on a stream. The two views are compared by buckets of
// names, and only records of buckets that differ are sent.
type Exchange struct {
	From          string   `cbor:"1,keyasint,omitempty"`
	Boot          uint64   `cbor:"2,keyasint,omitempty"`
	RunID         uint64   `cbor:"3,keyasint,omitempty"`
	BucketDigests []uint64 `cbor:"4,keyasint,omitempty"` // digests of the opener's buckets, one for each bucket
	WantedBuckets []uint16 `cbor:"5,keyasint,omitempty"` // buckets whose records the sender requests
	Records       []Record `cbor:"6,keyasint,omitempty"`
	RetryAfterMS  uint32   `cbor:"7,keyasint,omitempty"` // if the sender is busy: milliseconds until the next attempt
}

// isValid reports whether the fields of a received message are within their bounds; invalid messages are dropped.
func (m *Message) isValid() bool {
	return m != nil &&
		m.Kind >= Ping && m.Kind < kindCount &&
		m.From != "" && len(m.From) <= MaxNameBytes && printable(m.From) &&
		len(m.Target) <= MaxNameBytes && printable(m.Target) &&
		len(m.Addr) <= maxAddrBytes && len(m.Reply) <= maxAddrBytes
}

// isAboutIdentity reports whether a message serves to resolve a name conflict. Such messages are handled independently
// of the view.
func (m *Message) isAboutIdentity() bool {
	return m.Kind == IdentityRequest || m.Kind == IdentityResponse || m.Kind == IndirectIdentityRequest
}

// replyAddr returns the address for responses to a message whose sender has no record in the view.
func (m *Message) replyAddr() string {
	if m.Kind == IndirectPing {
		return m.Reply
	}
	return m.Addr
}

// Upper bounds of encoded sizes in bytes, for the encoding of package transport: CBOR with small integer keys (RFC
// 8949), 1 to 9 bytes for the head of each item and one byte for each key. The tests of package transport verify them.
const (
	maxHeaderBytes    = 100 // envelope, fleet, kinds and numbers
	maxRecordOverhead = 58  // keys, numbers and heads of a record
	regionHeadBytes   = 3   // key and head of Record.Region or Record.UnreachableRegions
	regionHashBytes   = 5   // entry of Record.UnreachableRegions
	bucketDigestBytes = 9
	bucketIndexBytes  = 3
)

// MaxEncodedSize returns an upper bound of the message's size on the wire, in bytes, for the longest fleet name.
func (m *Message) MaxEncodedSize() int {
	size := maxHeaderBytes + maxFleetNameBytes + len(m.From) + len(m.Target) + len(m.Addr) + len(m.Reply)
	for i := range m.Updates {
		size += m.Updates[i].size()
	}
	return size
}

func (r *Record) size() int {
	size := maxRecordOverhead + len(r.Name) + len(r.Addr) + len(r.Zone) + len(r.Version) + len(r.Reporter) + len(r.Metadata)
	if r.Region != "" {
		size += regionHeadBytes + len(r.Region)
	}
	if len(r.UnreachableRegions) > 0 {
		size += regionHeadBytes + regionHashBytes*len(r.UnreachableRegions)
	}
	return size
}

func (x *Exchange) size() int {
	size := maxHeaderBytes + len(x.From) + bucketDigestBytes*len(x.BucketDigests) + bucketIndexBytes*len(x.WantedBuckets)
	for i := range x.Records {
		size += x.Records[i].size()
	}
	return size
}

// identifiedName returns the name that an identity response is about. A helper that forwards a response sets Target to
// that name.
func (m *Message) identifiedName() string { return cmp.Or(m.Target, m.From) }
