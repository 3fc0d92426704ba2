package membership

import (
	"strings"
	"time"
)

// Kind is what a datagram is for.
type Kind uint8

const (
	Ping                    Kind = iota + 1 // are you Target? Answered by Ack
	Ack                                     // Target is alive: this is its own word, or a helper's of its word
	IndirectPing                            // probe Target at Addr for the sender
	Nack                                    // a helper's word: Target did not answer it, but the helper is there
	Gossip                                  // nothing but updates
	IdentityRequest                         // whichever process you are: answered by IAm. Does not need a view
	IdentityResponse                        // Life and Up are the answer
	IndirectIdentityRequest                 // ask WhoIs at Addr for the sender
	kindCount
)

// Message is a datagram.
type Message struct {
	From         string   `cbor:"1,keyasint,omitempty"` // the sender's name
	Boot         uint64   `cbor:"2,keyasint,omitempty"` // and its life, as in its Record
	RunID        uint64   `cbor:"3,keyasint,omitempty"`
	Number       uint64   `cbor:"4,keyasint,omitempty"` // of all datagrams of this life, from 1
	Digest       uint64   `cbor:"5,keyasint,omitempty"` // of the sender's view
	Kind         Kind     `cbor:"6,keyasint,omitempty"`
	Seq          uint32   `cbor:"7,keyasint,omitempty"` // an answer bears that of the question
	Target       string   `cbor:"8,keyasint,omitempty"`
	Addr         string   `cbor:"9,keyasint,omitempty"`  // PingFor, WhoIsFor: the target's; else the sender's own, where answers go
	Reply        string   `cbor:"10,keyasint,omitempty"` // PingFor, WhoIsFor: the sender's own
	UptimeMS     uint64   `cbor:"11,keyasint,omitempty"` // IAm: milliseconds that the process has run
	SubjectRunID uint64   `cbor:"12,keyasint,omitempty"` // IAm: whose Life answers
	Updates      []Record `cbor:"13,keyasint,omitempty"`
}

// Exchange is a message on a stream: what one member knows, by parts (buckets of names by their hash).
type Exchange struct {
	From          string   `cbor:"1,keyasint,omitempty"`
	Boot          uint64   `cbor:"2,keyasint,omitempty"`
	RunID         uint64   `cbor:"3,keyasint,omitempty"`
	BucketDigests []uint64 `cbor:"4,keyasint,omitempty"` // the opener's digest of each part
	WantedBuckets []uint16 `cbor:"5,keyasint,omitempty"` // parts that the sender would have in turn
	Records       []Record `cbor:"6,keyasint,omitempty"`
	RetryAfterMS  uint32   `cbor:"7,keyasint,omitempty"` // ask again in so many milliseconds
}

// check says whether a message that came from elsewhere makes sense; what doesn't is not taken.
func (m *Message) ok() bool {
	return m != nil && m.Kind >= Ping && m.Kind < kindCount && m.From != "" && len(m.From) <= MaxNameBytes && len(m.Target) <= MaxNameBytes &&
		len(m.Addr) <= maxAddrBytes && len(m.Reply) <= maxAddrBytes && printable(m.From) && printable(m.Target)
}

const maxAddrBytes = 64

// Sizes bound what a message takes on the wire in the carrier's encoding (CBOR with small integer keys, RFC 8949:
// a head of 1 to 9 bytes for each item, and one byte for each key); the carrier's tests hold it to that.
const (
	maxHeaderBytes    = 100 // envelope, fleet, kinds and numbers
	maxRecordOverhead = 58  // keys, numbers and heads of a record
)

func (m *Message) size(fleet int) int {
	n := maxHeaderBytes + fleet + len(m.From) + len(m.Target) + len(m.Addr) + len(m.Reply)
	for i := range m.Updates {
		n += m.Updates[i].size()
	}
	return n
}

// MaxEncodedSize bounds what it takes on the wire in a fleet with the longest name.
func (m *Message) MaxEncodedSize() int { return m.size(maxFleetNameBytes) }

func (r *Record) size() int {
	n := maxRecordOverhead + len(r.Name) + len(r.Addr) + len(r.Zone) + len(r.Program) + len(r.Reporter) + len(r.Metadata)
	if r.Region != "" {
		n += 3 + len(r.Region)
	}
	if len(r.UnreachableRegions) > 0 {
		n += 3 + 5*len(r.UnreachableRegions)
	}
	return n
}

func (x *Exchange) size() int {
	n := maxHeaderBytes + len(x.From) + 9*len(x.BucketDigests) + 3*len(x.WantedBuckets)
	for i := range x.Records {
		n += x.Records[i].size()
	}
	return n
}

// tokenBucket bounds what is sent: a token bucket of bytes that holds one second's worth. What answers others goes
// first, then probes, then news: each kind leaves a part for those before it.
type tokenBucket struct {
	rate, capacity, level float64
	filledAt              time.Duration
}

func (b *tokenBucket) start(now time.Duration) { b.level, b.filledAt = b.capacity, now }

func (b *tokenBucket) fill(now time.Duration) {
	b.level = min(b.capacity, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// Parts of the budget that must be left over by what may wait.
const (
	reserveNone         = 0.0
	reserveForResponses = 0.1
	reserveForProbes    = 0.35
)

func (b *tokenBucket) allows(size int, leave float64) bool {
	return b.level-float64(size) >= leave*b.capacity
}

// send hands out a datagram, filled with as much news as fits, if the budget has it.
func (v *View) send(to string, m *Message, leave float64, about ...*member) bool {
	return v.sendDatagram(to, m, leave, true, about)
}

// sendToMember is the same for a member. What it is told does not count as told where it does not seem to hear.
func (v *View) sendToMember(to *member, m *Message, leave float64, about ...*member) bool {
	return v.sendDatagram(to.Addr, m, leave, !to.unresponsive, about)
}

func (v *View) sendDatagram(to string, m *Message, leave float64, counts bool, about []*member) bool {
	if to == "" || to == v.settings.Addr {
		return false
	}
	m.From, m.Boot, m.RunID, m.Digest = v.settings.Name, v.self.Boot, v.self.RunID, v.digest
	if m.Kind == Ping && m.Addr == "" {
		m.Addr = v.settings.Addr
	}
	size := m.size(maxFleetNameBytes)
	far := v.remoteAddrs[to]
	may := func(leave float64) bool {
		return v.budget.allows(size, leave) && (far == nil || v.remoteBudget.allows(size, leave))
	}
	if !may(leave) {
		v.traffic.Withheld++
		return false
	}
	for _, a := range about { // what the other must know before all: that it is held for dead, say
		if a != nil {
			m.Updates = append(m.Updates, v.outgoingRecord(a))
			size += m.Updates[len(m.Updates)-1].size()
		}
	}
	if !v.yielding && !v.withoutUpdates && m.Kind != IdentityRequest && m.Kind != IdentityResponse && m.Kind != IndirectIdentityRequest && may(reserveForResponses) {
		switch {
		case far == nil:
			size = v.updates.fill(v, m, size, counts, v.maxTransmissions())
		case far.watched:
			size = far.updates.fill(v, m, size, counts, remoteTransmissions)
		}
	}
	if far != nil {
		v.remoteBudget.level -= float64(size)
		v.traffic.RemoteBytes += uint64(size)
	}
	v.datagramNumber++
	m.Number = v.datagramNumber
	v.budget.level -= float64(size)
	v.traffic.Datagrams++
	v.traffic.Bytes += uint64(size)
	v.emit(Send{To: to, Message: m, Size: size})
	return true
}

const maxFleetNameBytes = 32 // bytes of the fleet's name

// ValidName reports whether a member may have this name.
func ValidName(name string) bool {
	r := Record{Name: name, Addr: "127.0.0.1:1", Boot: 1, RunID: 1}
	return r.check() == nil
}

// ValidFleet reports whether a fleet may have this name.
func ValidFleet(name string) bool {
	return name != "" && len(name) <= maxFleetNameBytes && printable(name) && !strings.ContainsAny(name, " \t\"")
}
