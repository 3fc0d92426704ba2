package lease

// Request reports to a server what a client's agents use, and requests new leases for them.
type Request struct {
	From string `cbor:"1,keyasint,omitempty"`
	// RunID is the run ID of the client.
	RunID uint64 `cbor:"2,keyasint,omitempty"`
	// Fingerprint is the fingerprint of the settings.
	Fingerprint uint64 `cbor:"3,keyasint,omitempty"`
	// Seq increases with each request of a client.
	Seq uint64 `cbor:"4,keyasint,omitempty"`
	// ServerRunID is the server's run ID in its last response. LastGrant of each item is a number of that run.
	ServerRunID uint64        `cbor:"5,keyasint,omitempty"`
	Items       []RequestItem `cbor:"6,keyasint,omitempty"`
}

// RequestItem requests one limit, or one part of a partitioned limit, for one agent of the client.
type RequestItem struct {
	Agent uint32 `cbor:"1,keyasint,omitempty"`
	// Fingerprint is the fingerprint of the limit.
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	// Key is the part of a partitioned limit.
	Key string `cbor:"3,keyasint,omitempty"`
	// Need is the amount that the agent uses, or would use if it had a lease for it.
	Need int `cbor:"4,keyasint,omitempty"`
	// Desired is an amount with which the agent would seldom reject an attempt.
	Desired int `cbor:"5,keyasint,omitempty"`
	// LastGrant is the number of the last grant that the agent adopted: it no longer uses any earlier grant. It is
	// releasedGrants for an agent that has ended.
	LastGrant uint64 `cbor:"6,keyasint,omitempty"`
	// Used is the amount that the agent used when it adopted that grant: in flight, or begun within the span.
	Used int `cbor:"7,keyasint,omitempty"`
}

// releasedGrants is the RequestItem.LastGrant of an agent that has ended, and so uses no grant any more.
const releasedGrants = 1<<64 - 1

// Grant is a server's response to a Request.
type Grant struct {
	From string `cbor:"1,keyasint,omitempty"`
	// RunID is the run ID of the server.
	RunID uint64 `cbor:"2,keyasint,omitempty"`
	// Seq is the Seq of the request.
	Seq   uint64      `cbor:"3,keyasint,omitempty"`
	Items []GrantItem `cbor:"4,keyasint,omitempty"`
}

// GrantItem grants an amount of one limit, or of one part of a partitioned limit, to one agent of the client.
type GrantItem struct {
	Agent       uint32 `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	Key         string `cbor:"3,keyasint,omitempty"`
	// Number increases with each grant of a server's run.
	Number uint64 `cbor:"4,keyasint,omitempty"`
	Amount int    `cbor:"5,keyasint,omitempty"`
}

// MaxItems is the largest number of items in a message. With names of 64 bytes, such a message fits a datagram of
// 1,400 bytes.
const MaxItems = 16
