// Package ldapmsg frames LDAPv3 messages (RFC 4511), encoded in BER (X.690, restricted by RFC 4511, 5.1), and reads from them
// no more than a proxy needs: the message ID, the operation's tag, and a few fields at fixed places. The rest of a message is
// forwarded as the bytes that came. The package has no state and does no I/O but in Reader, and is safe on bytes from anybody.
//
//	tags.go       tags, result codes and names of extended operations
//	element.go    BER elements: tag, length, content
//	ldapmsg.go    messages
//	request.go    the fields of requests that a proxy needs
//	control.go    controls
//	build.go      messages that a proxy writes itself
//	reader.go     framing of a connection's bytes
package ldapmsg

// Message is one message. Its slices are parts of the bytes that it was parsed from.
type Message struct {
	ID       int32
	Op       byte   // the tag of protocolOp: BindRequest and so on
	Content  []byte // the content of protocolOp
	Controls []byte // the content of controls; nil: none
	Rest     []byte // all that follows the message ID
}

// Parse parses a framed message (RFC 4511, 4.1.1). Its errors are of ErrMalformed.
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
	m.ID = int32(n)
	m.Rest = body
	if m.Op, m.Content, body, err = element(body); err != nil {
		return m, err
	}
	if m.Op&classMask != classApplication {
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

// WithID returns a message with another message ID: rest, which follows the ID, is unchanged.
func WithID(id int32, rest []byte) []byte {
	var head [8]byte
	number := appendInt(head[:0], integer, int64(id))
	out := make([]byte, 0, len(rest)+len(number)+maxHeaderSize)
	out = appendLength(append(out, sequence), len(number)+len(rest))
	out = append(out, number...)
	return append(out, rest...)
}

// Code is the resultCode of a response (RFC 4511, 4.1.9). ok is false if the response has no LDAPResult.
func (m *Message) Code() (code int, ok bool) {
	tag, content, rest, err := element(m.Content)
	if err != nil || tag != enumerated {
		return 0, false
	}
	n, ok := number(content)
	if !ok || n < 0 || n > maxCode {
		return 0, false
	}
	for range 2 { // matchedDN, diagnosticMessage
		if tag, _, rest, err = element(rest); err != nil || tag != octetString {
			return 0, false
		}
	}
	return int(n), true
}
