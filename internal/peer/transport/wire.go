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
		return encode(w.Fleet, m)
	case *membership.Exchange:
		data, err := encode(w.Fleet, m)
		if err != nil {
			return nil, err
		}
		if len(data) > streamMost {
			return nil, ErrTooLarge
		}
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...), nil
	case *ejection.Message:
		return enclose(sharedForm, w.Fleet, &packet{From: from, Verdicts: m})
	case *lease.Request:
		return enclose(sharedForm, w.Fleet, &packet{From: from, Ask: m})
	case *lease.Grant:
		return enclose(sharedForm, w.Fleet, &packet{From: from, Grant: m})
	}
	return nil, fmt.Errorf("marshal: %T is no message of members", message)
}

// Unmarshal reads what Marshal wrote.
func (w Wire) Unmarshal(data []byte) (any, error) {
	if formOf(data) == sharedForm {
		p := &packet{}
		if err := openAs(sharedForm, w.Fleet, data, p); err != nil {
			return nil, err
		}
		switch {
		case p.Ask != nil:
			return p.Ask, nil
		case p.Grant != nil:
			return p.Grant, nil
		case p.Verdicts != nil:
			return p.Verdicts, nil
		}
		return nil, ErrMalformed
	}
	if formOf(data) == format {
		m := &membership.Message{}
		return m, decode(w.Fleet, data, m)
	}
	if len(data) < 4 {
		return nil, ErrNotOurs
	}
	x := &membership.Exchange{}
	return x, decode(w.Fleet, data[4:], x)
}
