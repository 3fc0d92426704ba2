package lease

// Request is what a holder tells a keeper, and asks of it.
type Request struct {
	From        string        `cbor:"1,keyasint,omitempty"`
	RunID       uint64        `cbor:"2,keyasint,omitempty"` // the holder's
	Fingerprint uint64        `cbor:"3,keyasint,omitempty"` // of the settings
	Seq         uint64        `cbor:"4,keyasint,omitempty"`
	ServerRunID uint64        `cbor:"5,keyasint,omitempty"` // the keeper's life, as it last answered: Have is of that
	Items       []RequestItem `cbor:"6,keyasint,omitempty"`
}

// RequestItem is of one limit, or part of one, and one agent of the holder's.
type RequestItem struct {
	Agent       uint32 `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"` // of the limit
	Key         string `cbor:"3,keyasint,omitempty"` // of the part, where there is one for each of something
	Need        int    `cbor:"4,keyasint,omitempty"` // it uses so much, or would
	Desired     int    `cbor:"5,keyasint,omitempty"` // with so much it would seldom turn anything away
	LastGrant   uint64 `cbor:"6,keyasint,omitempty"` // the number of the last grant that it took: it goes by none before that
	Used        int    `cbor:"7,keyasint,omitempty"` // as it took that: in flight, or begun within the span
}

// over is Have of an agent that has ended: it goes by no grant any more.
const over = 1<<64 - 1

// Grant is a keeper's answer.
type Grant struct {
	From  string      `cbor:"1,keyasint,omitempty"`
	RunID uint64      `cbor:"2,keyasint,omitempty"` // the keeper's
	Seq   uint64      `cbor:"3,keyasint,omitempty"` // of the Ask
	Items []GrantItem `cbor:"4,keyasint,omitempty"`
}

// GrantItem is of one limit, or part of one, and one agent of the holder's.
type GrantItem struct {
	Agent       uint32 `cbor:"1,keyasint,omitempty"`
	Fingerprint uint64 `cbor:"2,keyasint,omitempty"`
	Key         string `cbor:"3,keyasint,omitempty"`
	Number      uint64 `cbor:"4,keyasint,omitempty"` // grows
	Amount      int    `cbor:"5,keyasint,omitempty"`
}

// MaxItems is how many items a message has at the most: with names of 64 bytes it fits a datagram of 1,400.
const MaxItems = 16
