package ejection

// Message is the one envelope among members: a poll, a response, a notification, or several of these. Fields are
// numbered: a receiver skips numbers that it does not know.
type Message struct {
	// PollNumber makes the message a poll, and identifies it at its sender.
	PollNumber uint64 `cbor:"1,keyasint,omitempty"`
	// ResponseTo makes the message a response to the poll of that number.
	ResponseTo uint64 `cbor:"2,keyasint,omitempty"`
	// Notify announces that the sender has something new. The receiver polls for it, because unsolicited content could be
	// of any age.
	Notify   bool       `cbor:"3,keyasint,omitempty"`
	Evidence []Evidence `cbor:"4,keyasint,omitempty"`
	Drains   []Drain    `cbor:"5,keyasint,omitempty"`
	// More is 1 if the response did not fit one message.
	More int `cbor:"6,keyasint,omitempty"`
	// About restricts a poll or a notification: the responder includes its own evidence about these whatever it says.
	About []Incarnation `cbor:"7,keyasint,omitempty"`
	// FormatVersion is the sender's; 0 stands for 1.
	FormatVersion uint8 `cbor:"8,keyasint,omitempty"`
	// OwnOnly asks for nothing but evidence that originates at the responder.
	OwnOnly bool `cbor:"9,keyasint,omitempty"`
}

// Incarnation is one process of a server.
type Incarnation struct {
	Server    string `cbor:"1,keyasint,omitempty"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
}

// Evidence is what one member, the origin, observed of one process of a server. Other members forward it unchanged.
// Ages are in ms at the time of the response, and upper bounds; 0 stands for never.
type Evidence struct {
	Server    string `cbor:"1,keyasint,omitempty"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
	Origin    string `cbor:"3,keyasint,omitempty"`
	// RunID is the origin's, see Settings.
	RunID uint64 `cbor:"4,keyasint,omitempty"`
	// Number grows with each change at the origin.
	Number uint32 `cbor:"5,keyasint,omitempty"`
	// Succeeded and Failed are counts of outcomes at this server, decayed over decayTime.
	Succeeded float32 `cbor:"6,keyasint,omitempty"`
	Failed    float32 `cbor:"7,keyasint,omitempty"`
	// OtherSucceeded and OtherFailed are the same at all other servers.
	OtherSucceeded float32 `cbor:"8,keyasint,omitempty"`
	OtherFailed    float32 `cbor:"9,keyasint,omitempty"`
	// ConsecutiveSuccesses counts successes since the last failure.
	ConsecutiveSuccesses int `cbor:"10,keyasint,omitempty"`
	// AgeMS is the age of the newest outcome.
	AgeMS            uint32 `cbor:"11,keyasint,omitempty"`
	LastSuccessAgeMS uint32 `cbor:"12,keyasint,omitempty"`
	LastFailureAgeMS uint32 `cbor:"13,keyasint,omitempty"`
	// FirstFailureAgeMS is the age of the first failure since the last success.
	FirstFailureAgeMS uint32 `cbor:"14,keyasint,omitempty"`
	// ConsecutiveFailures counts failures since the last success.
	ConsecutiveFailures int `cbor:"15,keyasint,omitempty"`
	// OtherSuccessAgeMS is the age of the last success at any other server.
	OtherSuccessAgeMS uint32 `cbor:"16,keyasint,omitempty"`
	// OtherFailuresSince counts failures at other servers since that success.
	OtherFailuresSince int `cbor:"17,keyasint,omitempty"`
	// ErrorResponses counts those of Failed that the server answered with an error, decayed too.
	ErrorResponses float32 `cbor:"18,keyasint,omitempty"`
	// BaselineFailureRate is how many failures a second are normal at this server, as its collectors counted them. Unlike
	// the other fields it is the responder's, not the origin's.
	BaselineFailureRate float32 `cbor:"19,keyasint,omitempty"`
}

// Drain says that an endpoint list announced a server as draining or removed, as one member learnt it.
type Drain struct {
	Server    string      `cbor:"1,keyasint,omitempty"`
	StartedMS int64       `cbor:"2,keyasint,omitempty"`
	State     ListedState `cbor:"3,keyasint,omitempty"`
	// AgeMS is how long ago any member learnt it first, in ms, an upper bound.
	AgeMS uint32 `cbor:"4,keyasint,omitempty"`
}
