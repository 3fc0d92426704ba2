package lease

// Request reports to a server what a client's agents use, and requests new leases for them.
type Request struct {
	From string `cbor:"1,keyasint,omitempty"`
	// RunID is the client's.
	RunID uint64 `cbor:"2,keyasint,omitempty"`
	// Fingerprint is that of the settings.
	Fingerprint uint64 `cbor:"3,keyasint,omitempty"`
	// Seq grows with each request of a client.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
	// ServerRunID is the server's, as it last responded: LastGrant is a number of that run.
	ServerRunID uint64        `cbor:"5,keyasint,omitempty"`
	Items       []RequestItem `cbor:"6,keyasint,omitempty"`
}

// RequestItem is about one limit, or one part of a partitioned limit, and one agent of the client.
type RequestItem struct {
	Agent uint32 `cbor:"1,keyasint,omitempty"`
	// Fingerprint is that of the limit.
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	// Key is the part of a partitioned limit.
	Key string `cbor:"3,keyasint,omitempty"`
	// Need is what the agent uses, or would use if it had it.
	Need int `cbor:"4,keyasint,omitempty"`
	// Desired is an amount with which it would seldom reject anything.
	Desired int `cbor:"5,keyasint,omitempty"`
	// LastGrant is the number of the last grant that the agent adopted: it goes by no earlier one. releasedGrants for an
	// agent that has ended.
	LastGrant uint64 `cbor:"6,keyasint,omitempty"`
	// Used is what it used when it adopted that: in flight, or begun within the span.
	Used int `cbor:"7,keyasint,omitempty"`
}

// releasedGrants is RequestItem.LastGrant of an agent that has ended: it goes by no grant any more.
const releasedGrants = 1<<64 - 1

// Grant is a server's response to a Request.
type Grant struct {
	From string `cbor:"1,keyasint,omitempty"`
	// RunID is the server's.
	RunID uint64 `cbor:"2,keyasint,omitempty"`
	// Seq is that of the request.
	Seq   uint64      `cbor:"3,keyasint,omitempty"`
	Items []GrantItem `cbor:"4,keyasint,omitempty"`
}

// GrantItem is about one limit, or one part of a partitioned limit, and one agent of the client.
type GrantItem struct {
	Agent       uint32 `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	Key         string `cbor:"3,keyasint,omitempty"`
	// Number grows with each grant of a server's run.
	Number uint64 `cbor:"4,keyasint,omitempty"`
	Amount int    `cbor:"5,keyasint,omitempty"`
}

// MaxItems is how many items a message has at most: with names of 64 bytes it fits a datagram of 1,400.
const MaxItems = 16
