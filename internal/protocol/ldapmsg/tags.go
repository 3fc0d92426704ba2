package ldapmsg

// Tags of protocolOp (RFC 4511, 4.2 to 4.14).
const (
	BindRequest     = 0x60
	BindResponse    = 0x61
	UnbindRequest   = 0x42
	SearchRequest   = 0x63
	SearchEntry     = 0x64
	SearchDone      = 0x65
	ModifyRequest   = 0x66
	ModifyResponse  = 0x67
	AddRequest      = 0x68
	AddResponse     = 0x69
	DelRequest      = 0x4a
	DelResponse     = 0x6b
	ModDNRequest    = 0x6c
	ModDNResponse   = 0x6d
	CompareRequest  = 0x6e
	CompareResponse = 0x6f
	AbandonRequest  = 0x50
	SearchReference = 0x73
	ExtRequest      = 0x77
	ExtResponse     = 0x78
	Intermediate    = 0x79
)

// Universal tags (X.690, 8).
const (
	boolean     = 0x01
	integer     = 0x02
	octetString = 0x04
	enumerated  = 0x0a
	sequence    = 0x30
)

// Tags that depend on their context (RFC 4511, 4.1.1, 4.2 and 4.12).
const (
	simpleAuth   = 0x80 // in a BindRequest
	saslAuth     = 0xa3 // in a BindRequest
	requestName  = 0x80 // in an ExtendedRequest
	requestValue = 0x81 // in an ExtendedRequest
	responseName = 0x8a // in an ExtendedResponse
	controls     = 0xa0 // in an LDAPMessage
)

// Bits of a tag (X.690, 8.1.2).
const (
	classMask        = 0xc0
	classApplication = 0x40
	constructed      = 0x20
	numberMask       = 0x1f // all bits set: the tag continues in the next octet
)

// Result codes that a proxy returns or handles specially (RFC 4511, 4.1.9; RFC 3909).
const (
	Success                 = 0
	OperationsError         = 1
	ProtocolErrorCode       = 2
	TimeLimitExceeded       = 3
	AuthMethodNotSupported  = 7
	StrongerAuthRequired    = 8
	ConfidentialityRequired = 13
	SASLBindInProgress      = 14
	InvalidCredentials      = 49
	Busy                    = 51
	Unavailable             = 52
	UnwillingToPerform      = 53
	Other                   = 80
	Canceled                = 118
	NoSuchOperation         = 119
	TooLate                 = 120
	CannotCancel            = 121
)

// Names of extended operations (OBJECT IDENTIFIERs).
const (
	OIDStartTLS       = "1.3.6.1.4.1.1466.20037"  // RFC 4511, 4.14
	OIDCancel         = "1.3.6.1.1.8"             // RFC 3909
	OIDWhoAmI         = "1.3.6.1.4.1.4203.1.11.3" // RFC 4532
	OIDPasswordModify = "1.3.6.1.4.1.4203.1.11.1" // RFC 3062
	OIDStartTxn       = "1.3.6.1.1.21.1"          // RFC 5805
	OIDEndTxn         = "1.3.6.1.1.21.3"          // RFC 5805
	OIDDisconnection  = "1.3.6.1.4.1.1466.20036"  // RFC 4511, 4.4.1
	OIDPagedResults   = "1.2.840.113556.1.4.319"  // RFC 2696
)

// ResponseTo returns the tag of the last message of the response to a request with tag op. It returns 0 if the
// request has no response, or op is not the tag of a request.
func ResponseTo(op byte) byte {
	switch op {
	case BindRequest, SearchRequest, ModifyRequest, AddRequest, ModDNRequest, CompareRequest, ExtRequest:
		if op == SearchRequest {
			return SearchDone
		}
		return op + 1
	case DelRequest:
		return DelResponse
	}
	return 0
}

const (
	// MaxID is the largest message ID (RFC 4511, 4.1.1).
	MaxID = 1<<31 - 1
	// maxCode is the largest result code that is accepted. The standard sets no upper limit; a larger code is handled
	// as malformed.
	maxCode = 1 << 30
	// maxDepth is how deeply the elements of a message, such as filters and controls, may be nested. It is far more
	// than reasonable clients need. A larger value lets a client make servers recurse more deeply.
	maxDepth = 100
	// maxLengthOctets is how many octets of a length may follow the first one: messages are shorter than 4 GiB.
	maxLengthOctets = 4
	// minHeaderSize is the minimum size of a tag and a length in bytes.
	minHeaderSize = 2
	// maxHeaderSize is the maximum size of a tag and a length in bytes.
	maxHeaderSize = minHeaderSize + maxLengthOctets
)
