// Package ldapmsg frames LDAPv3 messages (RFC 4511) and reads from them no more than a relay needs: the
// message's id, the operation's tag, and a few fields at fixed places. What a message carries besides is
// passed on as the bytes that came. It is free of I/O but for Reader, and safe on bytes of anybody.
package ldapmsg

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

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

	sequence    = 0x30
	integer     = 0x02
	octetString = 0x04
	enumerated  = 0x0a
	controls    = 0xa0
	boolean     = 0x01
)

// Result codes that a relay gives or minds (RFC 4511, 4.1.9; RFC 3909).
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
	MaxID                   = 1<<31 - 1
	maxDepth                = 100 // of nested filters and controls: far more than any that is meant
	lengthOctets            = 4
	responseName            = 0x8a // of an ExtendedResponse
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

// ErrMalformed is in every error about bytes that are no message.
var ErrMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// header reads a tag and a definite length. short: more bytes are needed to tell.
func header(b []byte) (tag byte, size, length int, short bool, err error) {
	if len(b) < 2 {
		return 0, 0, 0, true, nil
	}
	tag = b[0]
	if tag&0x1f == 0x1f {
		return 0, 0, 0, false, malformed("a tag of more than one octet")
	}
	if b[1] < 0x80 {
		return tag, 2, int(b[1]), false, nil
	}
	n := int(b[1] & 0x7f)
	switch {
	case n == 0:
		return 0, 0, 0, false, malformed("an indefinite length") // RFC 4511, 5.1
	case n > lengthOctets:
		return 0, 0, 0, false, malformed("a length of %d octets", n)
	case len(b) < 2+n:
		return 0, 0, 0, true, nil
	}
	for _, o := range b[2 : 2+n] {
		length = length<<8 | int(o)
	}
	return tag, 2 + n, length, false, nil
}

// element reads one element whole.
func element(b []byte) (tag byte, content, rest []byte, err error) {
	tag, size, length, short, err := header(b)
	if err != nil {
		return 0, nil, nil, err
	}
	if short || length > len(b)-size {
		return 0, nil, nil, malformed("an element goes past its end")
	}
	return tag, b[size : size+length], b[size+length:], nil
}

// Message is one message, in parts of the bytes that came.
type Message struct {
	ID       int32
	Op       byte   // tag of protocolOp
	Content  []byte // of protocolOp
	Controls []byte // content of controls; nil: none
	Rest     []byte // all that follows the id
}

// Parse takes a framed message apart.
func Parse(raw []byte) (m Message, err error) {
	tag, body, rest, err := element(raw)
	if err != nil {
		return m, err
	}
	if tag != sequence || len(rest) > 0 {
		return m, malformed("not one LDAPMessage")
	}
	tag, id, body, err := element(body)
	if err != nil {
		return m, err
	}
	n, ok := number(id)
	if tag != integer || !ok || n < 0 || n > MaxID {
		return m, malformed("no messageID from 0 to %d", MaxID)
	}
	m.ID, m.Rest = int32(n), body
	if m.Op, m.Content, body, err = element(body); err != nil {
		return m, err
	}
	if m.Op&0xc0 != 0x40 {
		return m, malformed("protocolOp has tag %#x", m.Op)
	}
	for len(body) > 0 { // components of unknown tags are to be ignored (RFC 4511, 4)
		var content []byte
		if tag, content, body, err = element(body); err != nil {
			return m, err
		}
		if tag == controls && m.Controls == nil {
			m.Controls = content
		}
	}
	return m, nil
}

// number reads the content of an INTEGER or ENUMERATED.
func number(b []byte) (int64, bool) {
	if len(b) < 1 || len(b) > 8 {
		return 0, false
	}
	n := int64(int8(b[0]))
	for _, o := range b[1:] {
		n = n<<8 | int64(o)
	}
	return n, true
}

// CheckDepth follows nested elements, and reports those that are malformed or nested too deeply. What
// is handed on to servers has been looked at so far.
func CheckDepth(b []byte) error {
	var ends [maxDepth]int
	depth, at := 0, 0
	for {
		for depth > 0 && at == ends[depth-1] {
			depth--
		}
		if at == len(b) {
			return nil
		}
		tag, size, length, short, err := header(b[at:])
		if err != nil {
			return err
		}
		end := len(b)
		if depth > 0 {
			end = ends[depth-1]
		}
		if short || length > end-at-size {
			return malformed("an element goes past its end")
		}
		if at += size; tag&0x20 == 0 {
			at += length
			continue
		}
		if depth == maxDepth {
			return malformed("nested more than %d deep", maxDepth)
		}
		ends[depth] = at + length
		depth++
	}
}

func appendLength(b []byte, n int) []byte {
	switch {
	case n < 0x80:
		return append(b, byte(n))
	case n < 1<<8:
		return append(b, 0x81, byte(n))
	case n < 1<<16:
		return append(b, 0x82, byte(n>>8), byte(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0x84), uint32(n))
}

func appendElement(b []byte, tag byte, content []byte) []byte {
	return append(appendLength(append(b, tag), len(content)), content...)
}

func appendInt(b []byte, tag byte, n int64) []byte {
	var all [8]byte
	binary.BigEndian.PutUint64(all[:], uint64(n))
	i := 0
	for i < 7 && (all[i] == 0 && all[i+1] < 0x80 || all[i] == 0xff && all[i+1] >= 0x80) {
		i++
	}
	return appendElement(b, tag, all[i:])
}

// WithID is a message anew, under another id: what follows the id is as it was.
func WithID(id int32, rest []byte) []byte {
	var head [8]byte
	number := appendInt(head[:0], integer, int64(id))
	out := make([]byte, 0, len(rest)+len(number)+6)
	out = appendLength(append(out, sequence), len(number)+len(rest))
	return append(append(out, number...), rest...)
}

// Code is the resultCode of a response (RFC 4511, 4.1.9).
func (m *Message) Code() (int, bool) {
	tag, content, rest, err := element(m.Content)
	if err != nil || tag != enumerated {
		return 0, false
	}
	n, ok := number(content)
	if !ok || n < 0 || n > 1<<30 {
		return 0, false
	}
	for range 2 { // matchedDN, diagnosticMessage
		if tag, _, rest, err = element(rest); err != nil || tag != octetString {
			return 0, false
		}
	}
	return int(n), true
}

// Response is a message with an LDAPResult of a tag.
func Response(id int32, op byte, code int, text string) []byte {
	result := appendInt(nil, enumerated, int64(code))
	result = appendElement(result, octetString, nil)
	result = appendElement(result, octetString, []byte(text))
	return WithID(id, appendElement(nil, op, result))
}

// Disconnection is the Notice of Disconnection (RFC 4511, 4.4.1).
func Disconnection(code int, text string) []byte {
	result := appendInt(nil, enumerated, int64(code))
	result = appendElement(result, octetString, nil)
	result = appendElement(result, octetString, []byte(text))
	result = appendElement(result, responseName, []byte(OIDDisconnection))
	return WithID(0, appendElement(nil, ExtResponse, result))
}

// Abandon asks for an operation to be abandoned.
func Abandon(id, what int32) []byte {
	var n []byte
	n = appendInt(n, AbandonRequest, int64(what))
	return WithID(id, n)
}

// Unbind ends a connection.
func Unbind(id int32) []byte { return WithID(id, []byte{UnbindRequest, 0}) }

// Cancel asks for an operation to be cancelled (RFC 3909).
func Cancel(id, what int32) []byte {
	value := appendElement(nil, sequence, appendInt(nil, integer, int64(what)))
	return Extended(id, OIDCancel, value)
}

// Extended is a request of an extended operation; a nil value is left out.
func Extended(id int32, name string, value []byte) []byte {
	body := appendElement(nil, 0x80, []byte(name))
	if value != nil {
		body = appendElement(body, 0x81, value)
	}
	return WithID(id, appendElement(nil, ExtRequest, body))
}

// SimpleBind is a bind by name and password.
func SimpleBind(id int32, name, password []byte) []byte {
	body := appendInt(nil, integer, 3)
	body = appendElement(body, octetString, name)
	body = appendElement(body, 0x80, password)
	return WithID(id, appendElement(nil, BindRequest, body))
}

// Bind is what a BindRequest says.
type Bind struct {
	Version   int
	Name      []byte
	Simple    bool
	Password  []byte // of a simple one
	Mechanism string // of a SASL one
}

// ParseBind reads a BindRequest's content.
func ParseBind(content []byte) (b Bind, err error) {
	tag, v, rest, err := element(content)
	if err != nil {
		return b, err
	}
	n, ok := number(v)
	if tag != integer || !ok {
		return b, malformed("a bind without a version")
	}
	b.Version = int(n)
	if tag, b.Name, rest, err = element(rest); err != nil || tag != octetString {
		return b, malformed("a bind without a name")
	}
	tag, auth, _, err := element(rest)
	switch {
	case err != nil:
		return b, err
	case tag == 0x80:
		b.Simple, b.Password = true, auth
	case tag == 0xa3:
		t, mech, _, err := element(auth)
		if err != nil || t != octetString {
			return b, malformed("a SASL bind without a mechanism")
		}
		b.Mechanism = string(mech)
	default:
		b.Mechanism = "?" // a choice of a later day
	}
	return b, nil
}

// ExtendedName is the name of an extended request, and its value, nil where it has none.
func ExtendedName(content []byte) (name string, value []byte, err error) {
	tag, v, rest, err := element(content)
	if err != nil || tag != 0x80 {
		return "", nil, malformed("an extended request without a name")
	}
	if len(rest) > 0 {
		if tag, value, _, err = element(rest); err != nil || tag != 0x81 {
			return "", nil, malformed("an extended request's value")
		}
	}
	return string(v), value, nil
}

// ParseAbandon is the id that an AbandonRequest names.
func ParseAbandon(content []byte) (int32, error) {
	n, ok := number(content)
	if !ok || n < 0 || n > MaxID {
		return 0, malformed("an abandon without an id")
	}
	return int32(n), nil
}

// ParseCancel is the id that a Cancel's value names.
func ParseCancel(value []byte) (int32, error) {
	tag, body, _, err := element(value)
	if err != nil || tag != sequence {
		return 0, malformed("a cancel without an id")
	}
	tag, id, _, err := element(body)
	n, ok := number(id)
	if err != nil || tag != integer || !ok || n < 0 || n > MaxID {
		return 0, malformed("a cancel without an id")
	}
	return int32(n), nil
}

// Search is what a relay minds of a SearchRequest.
type Search struct {
	Base      bool // its scope is the one entry
	TimeLimit int  // seconds; 0: none
}

// ParseSearch reads a SearchRequest's first fields.
func ParseSearch(content []byte) (s Search, err error) {
	tag, _, rest, err := element(content)
	if err != nil || tag != octetString {
		return s, malformed("a search without a base")
	}
	var fields [4]int64
	for i, want := range []byte{enumerated, enumerated, integer, integer} {
		var v []byte
		if tag, v, rest, err = element(rest); err != nil || tag != want {
			return s, malformed("a search's field %d", i+2)
		}
		var ok bool
		if fields[i], ok = number(v); !ok || fields[i] < 0 || fields[i] > MaxID {
			return s, malformed("a search's field %d", i+2)
		}
	}
	if tag, _, rest, err = element(rest); err != nil || tag != boolean || len(rest) == 0 {
		return s, malformed("a search without typesOnly and a filter")
	}
	return Search{Base: fields[0] == 0, TimeLimit: int(fields[3])}, nil
}

// Control finds a control's value by its name.
func Control(list []byte, name string) (value []byte, found bool) {
	for len(list) > 0 {
		tag, c, rest, err := element(list)
		if err != nil || tag != sequence {
			return nil, false
		}
		list = rest
		tag, oid, c, err := element(c)
		if err != nil || tag != octetString || string(oid) != name {
			continue
		}
		for len(c) > 0 {
			var v []byte
			if tag, v, c, err = element(c); err != nil {
				return nil, false
			}
			if tag == octetString {
				return v, true
			}
		}
		return nil, true
	}
	return nil, false
}

// PagedCookie is the cookie of a paged results control (RFC 2696), empty at the first page and after
// the last. found is false where there is no such control.
func PagedCookie(list []byte) (cookie []byte, found bool) {
	value, found := Control(list, OIDPagedResults)
	if !found {
		return nil, false
	}
	tag, body, _, err := element(value)
	if err != nil || tag != sequence {
		return nil, false
	}
	if tag, _, body, err = element(body); err != nil || tag != integer {
		return nil, false
	}
	if tag, cookie, _, err = element(body); err != nil || tag != octetString {
		return nil, false
	}
	return cookie, true
}

// ResponseTo is the tag that answers a request's; 0: it has no answer, or is none.
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

// Reader frames messages.
type Reader struct {
	MaxMessage int    // bytes of one message
	OnWait     func() // called before it waits for the first byte of a message
	OnPartial  func() // called before it waits for more of one that has begun

	in         io.Reader
	buf        []byte
	start, end int
}

const minBuffer = 512 // an idle connection keeps no more

// NewReader reads messages of at most so many bytes.
func NewReader(in io.Reader, maxMessage int) *Reader {
	return &Reader{MaxMessage: maxMessage, in: in, OnWait: func() {}, OnPartial: func() {}}
}

// Next is the next message's bytes, which are good until the one after it. An error of ErrMalformed tells
// of the bytes; any other comes from reading.
func (r *Reader) Next() ([]byte, error) {
	if r.start == r.end && len(r.buf) > 16*minBuffer {
		r.buf, r.start, r.end = nil, 0, 0 // one large message is no reason to keep so much
	}
	partial := false
	for {
		have := r.buf[r.start:r.end]
		need := 2
		if len(have) > 0 {
			if have[0] != sequence {
				return nil, malformed("tag %#x is no message's", have[0])
			}
			_, size, length, short, err := header(have)
			if err != nil {
				return nil, err
			}
			if !short {
				if need = size + length; need > r.MaxMessage {
					return nil, malformed("a message of %d bytes: %d are taken", need, r.MaxMessage)
				}
				if len(have) >= need {
					r.start += need
					return have[:need], nil
				}
			} else {
				need = len(have) + 1
			}
		}
		if r.start > 0 {
			copy(r.buf, have)
			r.start, r.end = 0, len(have)
		}
		if len(r.buf) < need || len(r.buf) == r.end {
			// By what has come, not by what is told: a length costs its sender nothing.
			grown := make([]byte, max(minBuffer, min(need, 2*len(r.buf))))
			copy(grown, r.buf[:r.end])
			r.buf = grown
		}
		switch {
		case r.end == 0:
			r.OnWait()
		case !partial:
			partial = true
			r.OnPartial()
		}
		n, err := r.in.Read(r.buf[r.end:])
		if r.end += n; err != nil && n == 0 {
			if err == io.EOF && r.end > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// Buffered is how many bytes have come behind the last message.
func (r *Reader) Buffered() int { return r.end - r.start }

// Forget wipes the bytes of the last message, and all before it.
func (r *Reader) Forget() { clear(r.buf[:r.start]) }
