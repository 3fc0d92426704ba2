package ejection

// Message is the envelope of all communication between members: a poll, a response, a notification, or several of
// these. Fields are numbered; a receiver skips unknown numbers.
type Message struct {
	// PollNumber, if not 0, makes the message a poll, and identifies the poll at its sender.
	PollNumber uint64 `cbor:"1,keyasint,omitempty"`
	// ResponseTo, if not 0, makes the message a response to the poll with that number.
	ResponseTo uint64 `cbor:"2,keyasint,omitempty"`
	// Notify announces that the sender has new evidence. The receiver polls for it, because unsolicited content could
	// be of any age.
	Notify   bool       `cbor:"3,keyasint,omitempty"`
	Evidence []Evidence `cbor:"4,keyasint,omitempty"`
	Drains   []Drain    `cbor:"5,keyasint,omitempty"`
	// More is 1 if the response did not fit in one message.
	More int `cbor:"6,keyasint,omitempty"`
	// About lists the servers that a poll or notification is about. The responder always includes its own evidence
	// about them.
	About []ServerProcess `cbor:"7,keyasint,omitempty"`
	// FormatVersion is the sender's format version; 0 means 1.
	FormatVersion uint8 `cbor:"8,keyasint,omitempty"`
	// OwnOnly requests only evidence that originates at the responder.
	OwnOnly bool `cbor:"9,keyasint,omitempty"`
}

// ServerProcess is one process of a server.
type ServerProcess struct {
	Server    string `cbor:"1,keyasint,omitempty"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
}

// Evidence describes what one member, the origin, observed of one process of a server. Other members forward it
// unchanged. Ages are upper bounds in ms at the time of the response; 0 means never.
type Evidence struct {
	Server    string `cbor:"1,keyasint,omitempty"`
	StartedMS int64  `cbor:"2,keyasint,omitempty"`
	Origin    string `cbor:"3,keyasint,omitempty"`
	// RunID is the origin's run ID, see Settings.
	RunID uint64 `cbor:"4,keyasint,omitempty"`
	// Number increases with each change at the origin.
	Number uint32 `cbor:"5,keyasint,omitempty"`
	// Succeeded and Failed are counts of outcomes at this server, decayed over decayTime.
	Succeeded float32 `cbor:"6,keyasint,omitempty"`
	Failed    float32 `cbor:"7,keyasint,omitempty"`
	// OtherSucceeded and OtherFailed are the corresponding counts at all other servers.
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
	// ErrorResponses counts those of Failed that the server answered with an error, decayed like Failed.
	ErrorResponses float32 `cbor:"18,keyasint,omitempty"`
	// BaselineFailureRate is the normal number of failures a second at this server, as its collectors counted them.
	// Unlike the other fields, it comes from the responder and not from the origin.
	BaselineFailureRate float32 `cbor:"19,keyasint,omitempty"`
}

// Drain reports that an endpoint list announced a server as draining or removed.
type Drain struct {
	Server    string      `cbor:"1,keyasint,omitempty"`
	StartedMS int64       `cbor:"2,keyasint,omitempty"`
	State     ListedState `cbor:"3,keyasint,omitempty"`
	// AgeMS is an upper bound of the time since the drain was first announced by a member's list, in ms.
	AgeMS uint32 `cbor:"4,keyasint,omitempty"`
}
