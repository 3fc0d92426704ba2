// Package ldapmsg reads and writes LDAPv3 messages (RFC 4511), encoded in BER (X.690, restricted by RFC 4511, 5.1).
// It parses only the parts of a message that a proxy needs: the message ID, the operation's tag, and a few fields at
// fixed places. The other bytes of a message are forwarded unchanged. The package keeps no state, does I/O only in
// Reader, and is safe to use on untrusted input.
//
//	tags.go       tags, result codes and names of extended operations
//	element.go    BER elements: tag, length, content
//	ldapmsg.go    messages
//	request.go    the fields of requests that a proxy needs
//	control.go    controls
//	build.go      messages that a proxy creates itself
//	reader.go     framing of a connection's bytes
package ldapmsg

// Message is one parsed message. Its slices point into the bytes that it was parsed from.
type Message struct {
	ID       int32
	Op       byte   // the tag of protocolOp: BindRequest and so on
	Content  []byte // the content of protocolOp
	Controls []byte // the content of controls; nil: none
	Rest     []byte // everything that follows the message ID
}

// Parse parses the bytes of one message (RFC 4511, 4.1.1). Its errors wrap ErrMalformed.
func Parse(raw []byte) (m Message, err error) {
	tag, body, rest, err := parseElement(raw)
	if err != nil {
		return m, err
	}
	if tag != sequence || len(rest) > 0 {
		return m, malformed("not one LDAPMessage")
	}
	tag, id, body, err := parseElement(body)
	if err != nil {
		return m, err
	}
	n, ok := parseInt(id)
	if tag != integer || !ok || n < 0 || n > MaxID {
		return m, malformed("the messageID is not an integer from 0 to %d", MaxID)
	}
	m.ID = int32(n)
	m.Rest = body
	if m.Op, m.Content, body, err = parseElement(body); err != nil {
		return m, err
	}
	if m.Op&classMask != classApplication {
		return m, malformed("protocolOp has tag %#x", m.Op)
	}
	for len(body) > 0 { // components with unknown tags are ignored (RFC 4511, 4)
		var content []byte
		if tag, content, body, err = parseElement(body); err != nil {
			return m, err
		}
		if tag == controls && m.Controls == nil {
			m.Controls = content
		}
	}
	return m, nil
}

// WithID returns a message with the message ID id, followed by rest (see Message.Rest).
func WithID(id int32, rest []byte) []byte {
	var head [8]byte
	number := appendInt(head[:0], integer, int64(id))
	out := make([]byte, 0, len(rest)+len(number)+maxHeaderSize)
	out = appendLength(append(out, sequence), len(number)+len(rest))
	out = append(out, number...)
	return append(out, rest...)
}

// Code returns the resultCode of a response (RFC 4511, 4.1.9). ok is false if the response has no LDAPResult.
func (m *Message) Code() (code int, ok bool) {
	tag, content, rest, err := parseElement(m.Content)
	if err != nil || tag != enumerated {
		return 0, false
	}
	n, ok := parseInt(content)
	if !ok || n < 0 || n > maxCode {
		return 0, false
	}
	for range 2 { // matchedDN, diagnosticMessage
		if tag, _, rest, err = parseElement(rest); err != nil || tag != octetString {
			return 0, false
		}
	}
	return int(n), true
}
