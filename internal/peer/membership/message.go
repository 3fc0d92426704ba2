package membership

import "cmp"

// Kind is the kind of a datagram.
type Kind uint8

// The kinds of datagrams.
const (
	Ping                    Kind = iota + 1 // a probe of Target, answered by an Ack
	Ack                                     // Target is alive: from itself, or from a helper that got its Ack
	IndirectPing                            // a request to a helper to probe Target at Addr and to answer Reply
	Nack                                    // from a helper: Target did not answer it, but the helper is there (Lifeguard)
	Gossip                                  // updates and nothing else
	IdentityRequest                         // asks any process at an address who it is; answered without a view
	IdentityResponse                        // SubjectRunID and UptimeMS are the answer
	IndirectIdentityRequest                 // a request to a helper to send an IdentityRequest to Addr and to answer Reply
	kindCount
)

// Message is a datagram.
type Message struct {
	From         string   `cbor:"1,keyasint,omitempty"` // name of the sender
	Boot         uint64   `cbor:"2,keyasint,omitempty"` // of the sender, as in its Record
	RunID        uint64   `cbor:"3,keyasint,omitempty"` // of the sender
	Number       uint64   `cbor:"4,keyasint,omitempty"` // counts the datagrams of the sender's process, from 1
	Digest       uint64   `cbor:"5,keyasint,omitempty"` // of the sender's view
	Kind         Kind     `cbor:"6,keyasint,omitempty"`
	Seq          uint32   `cbor:"7,keyasint,omitempty"` // of a request; its response has the same
	Target       string   `cbor:"8,keyasint,omitempty"`
	Addr         string   `cbor:"9,keyasint,omitempty"`  // of the target in indirect requests; else of the sender, where answers go
	Reply        string   `cbor:"10,keyasint,omitempty"` // of the sender in indirect requests
	UptimeMS     uint64   `cbor:"11,keyasint,omitempty"` // IdentityResponse: milliseconds that the process has run
	SubjectRunID uint64   `cbor:"12,keyasint,omitempty"` // IdentityResponse: RunID of the process that answers
	Updates      []Record `cbor:"13,keyasint,omitempty"`
}

// Exchange is a message of a push-pull exchange (anti-entropy) on a stream. The two views are compared by buckets of
// names, and only records of buckets that differ are sent.
type Exchange struct {
	From          string   `cbor:"1,keyasint,omitempty"`
	Boot          uint64   `cbor:"2,keyasint,omitempty"`
	RunID         uint64   `cbor:"3,keyasint,omitempty"`
	BucketDigests []uint64 `cbor:"4,keyasint,omitempty"` // the opener's, one for each bucket
	WantedBuckets []uint16 `cbor:"5,keyasint,omitempty"` // buckets of which the sender wants the records in turn
	Records       []Record `cbor:"6,keyasint,omitempty"`
	RetryAfterMS  uint32   `cbor:"7,keyasint,omitempty"` // the sender is busy: milliseconds until another attempt makes sense
}

// isValid reports whether a message from outside makes sense; others are dropped.
func (m *Message) isValid() bool {
	return m != nil &&
		m.Kind >= Ping && m.Kind < kindCount &&
		m.From != "" && len(m.From) <= MaxNameBytes && printable(m.From) &&
		len(m.Target) <= MaxNameBytes && printable(m.Target) &&
		len(m.Addr) <= maxAddrBytes && len(m.Reply) <= maxAddrBytes
}

// isAboutIdentity reports whether a message is exchanged without regard to the view, to settle a name conflict.
func (m *Message) isAboutIdentity() bool {
	return m.Kind == IdentityRequest || m.Kind == IdentityResponse || m.Kind == IndirectIdentityRequest
}

// replyAddr is where a response to a message of an unknown sender goes.
func (m *Message) replyAddr() string {
	if m.Kind == IndirectPing {
		return m.Reply
	}
	return m.Addr
}

// Bounds of what a message takes on the wire, in bytes, in transport's encoding: CBOR with small integer keys (RFC
// 8949), 1 to 9 bytes for the head of each item and one for each key. Transport's tests hold the encoding to them.
const (
	maxHeaderBytes    = 100 // envelope, fleet, kinds and numbers
	maxRecordOverhead = 58  // keys, numbers and heads of a record
	regionHeadBytes   = 3   // key and head of each of the two fields on regions
	regionHashBytes   = 5   // an unreachable region
	bucketDigestBytes = 9
	bucketIndexBytes  = 3
)

// MaxEncodedSize bounds what the message takes on the wire, in bytes, in a fleet with the longest name.
func (m *Message) MaxEncodedSize() int {
	size := maxHeaderBytes + maxFleetNameBytes + len(m.From) + len(m.Target) + len(m.Addr) + len(m.Reply)
	for i := range m.Updates {
		size += m.Updates[i].size()
	}
	return size
}

func (r *Record) size() int {
	size := maxRecordOverhead + len(r.Name) + len(r.Addr) + len(r.Zone) + len(r.Program) + len(r.Reporter) + len(r.Metadata)
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

// identifiedName is the name that an identity response is about: a helper passes it on as Target.
func (m *Message) identifiedName() string { return cmp.Or(m.Target, m.From) }
