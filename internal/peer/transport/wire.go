package transport

import (
	"fmt"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

// sharedPacket is a datagram of leases or ejection: exactly one of Request, Grant and Ejection is set.
type sharedPacket struct {
	From    string         `cbor:"1,keyasint,omitempty"`
	Request *lease.Request `cbor:"2,keyasint,omitempty"`
	Grant   *lease.Grant   `cbor:"3,keyasint,omitempty"`

	Ejection *ejection.Message `cbor:"4,keyasint,omitempty"`
}

// Wire encodes the messages of one fleet's members, for simulations without sockets.
type Wire struct{ Fleet string }

// Marshal encodes a message as members send it: datagrams of membership, exchanges with their length in front, and
// packets of leases and ejection with their sender's name. It returns an error if the message has another type or is
// too large.
func (w Wire) Marshal(from string, message any) ([]byte, error) {
	switch m := message.(type) {
	case *membership.Message:
		return encodeMembership(w.Fleet, m)
	case *membership.Exchange:
		data, err := encodeMembership(w.Fleet, m)
		if err != nil {
			return nil, err
		}
		if len(data) > maxStreamBytes {
			return nil, ErrTooLarge
		}
		return frame(data), nil
	case *ejection.Message:
		return encodeEnvelope(sharedFormat, w.Fleet, &sharedPacket{From: from, Ejection: m})
	case *lease.Request:
		return encodeEnvelope(sharedFormat, w.Fleet, &sharedPacket{From: from, Request: m})
	case *lease.Grant:
		return encodeEnvelope(sharedFormat, w.Fleet, &sharedPacket{From: from, Grant: m})
	}
	return nil, fmt.Errorf("marshal: %T is not a message type of members", message)
}

// Unmarshal decodes a message that Marshal encoded.
func (w Wire) Unmarshal(data []byte) (any, error) {
	switch formatOf(data) {
	case sharedFormat:
		return w.unmarshalShared(data)
	case membershipFormat:
		m := &membership.Message{}
		return m, decodeMembership(w.Fleet, data, m)
	}
	if len(data) < frameLengthBytes {
		return nil, ErrUnknownProtocol
	}
	x := &membership.Exchange{}
	return x, decodeMembership(w.Fleet, data[frameLengthBytes:], x)
}

func (w Wire) unmarshalShared(data []byte) (any, error) {
	p := &sharedPacket{}
	if err := decodeEnvelope(sharedFormat, w.Fleet, data, p); err != nil {
		return nil, err
	}
	switch {
	case p.Request != nil:
		return p.Request, nil
	case p.Grant != nil:
		return p.Grant, nil
	case p.Ejection != nil:
		return p.Ejection, nil
	}
	return nil, ErrMalformed
}
