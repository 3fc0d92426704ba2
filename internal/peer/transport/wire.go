package transport

import (
	"encoding/binary"
	"fmt"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

// Wire is the encoding of one fleet's messages, for harnesses that play members without sockets.
type Wire struct{ Fleet string }

// Marshal is what a message takes on the wire, as members send it: datagrams of the view, exchanges with the length
// that goes before them on a stream, and packets of what is shared, which bear their sender's name.
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
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...), nil
	case *ejection.Message:
		return encodeEnvelope(sharedFormat, w.Fleet, &sharedPacket{From: from, Ejection: m})
	case *lease.Request:
		return encodeEnvelope(sharedFormat, w.Fleet, &sharedPacket{From: from, Request: m})
	case *lease.Grant:
		return encodeEnvelope(sharedFormat, w.Fleet, &sharedPacket{From: from, Grant: m})
	}
	return nil, fmt.Errorf("marshal: %T is no message of members", message)
}

// Unmarshal reads what Marshal wrote.
func (w Wire) Unmarshal(data []byte) (any, error) {
	if formatOf(data) == sharedFormat {
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
	if formatOf(data) == membershipFormat {
		m := &membership.Message{}
		return m, decodeMembership(w.Fleet, data, m)
	}
	if len(data) < 4 {
		return nil, ErrNotOurs
	}
	x := &membership.Exchange{}
	return x, decodeMembership(w.Fleet, data[4:], x)
}
