package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/fxamacker/cbor/v2"

	"vetchhaven/internal/peer/membership"
)

// The envelope of a datagram, and of each message on a stream:
//
//	0  "vh"      magic
//	2  format    1 membership, 2 leases and ejection, 3 policy; a reader rejects others
//	3  length    of the fleet's name
//	4  fleet     name of the sender's fleet
//	   CRC-32C   of the bytes before it and of the body, 4 bytes, big endian
//	   body      CBOR (RFC 8949), maps with small integer keys
//
// A reader skips unknown keys, so that a later version can add keys and two versions can work together. A change that
// an earlier version would misread needs a new format. The checksum detects damage; it does not protect against
// forgery.
const (
	magic            = "vh"
	membershipFormat = 1
	sharedFormat     = 2
	policyFormat     = 3

	formatOffset      = 2
	fleetLengthOffset = 3
	fleetOffset       = 4
	checksumBytes     = 4
	minEnvelopeBytes  = fleetOffset + checksumBytes
)

const (
	// maxDatagramBytes is the largest datagram that is accepted. More networks fragment larger datagrams.
	maxDatagramBytes = 2048
	// maxStreamBytes is the largest message on a stream: membership.DefaultMaxMembers records with each field at its
	// maximum length take 9.5 MB.
	maxStreamBytes = 10 << 20
	// frameLengthBytes is the size of the length field in front of a message on a stream, big endian.
	frameLengthBytes = 4

	// Limits of the decoder against messages that would exhaust memory. No valid message reaches them.
	maxArrayElements = 1 << 17
	maxMapPairs      = 64
	maxNestedLevels  = 16
)

// Reasons for which a message is rejected.
var (
	ErrUnknownProtocol = errors.New("not a vetchhaven message")
	ErrUnknownFormat   = errors.New("unknown message format")
	ErrOtherFleet      = errors.New("of another fleet")
	ErrDamaged         = errors.New("damaged: checksum mismatch")
	ErrTooLarge        = errors.New("message too large")
	ErrMalformed       = errors.New("malformed body")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	encoding = mustMode(cbor.EncOptions{}.EncMode())
	decoding = mustMode(cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		UTF8:             cbor.UTF8RejectInvalid,
	}.DecMode())
)

// mustMode panics if the cbor package rejects the constant options above.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic("transport: " + err.Error())
	}
	return mode
}

// encodeMembership returns a message of the view in an envelope.
func encodeMembership(fleet string, message any) ([]byte, error) {
	return encodeEnvelope(membershipFormat, fleet, message)
}

// encodeEnvelope returns a message in an envelope.
func encodeEnvelope(format byte, fleet string, message any) ([]byte, error) {
	body, err := encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	out := make([]byte, 0, minEnvelopeBytes+len(fleet)+len(body))
	out = append(out, magic...)
	out = append(out, format, byte(len(fleet)))
	out = append(out, fleet...)
	sum := crc32.Update(crc32.Checksum(out, castagnoli), castagnoli, body)
	out = binary.BigEndian.AppendUint32(out, sum)
	return append(out, body...), nil
}

// decodeMembership decodes a message of the view. The error wraps one of the Err variables above.
func decodeMembership(fleet string, data []byte, into any) error {
	return decodeEnvelope(membershipFormat, fleet, data, into)
}

// formatOf returns the format of a message; 0 if data does not begin with an envelope.
func formatOf(data []byte) byte {
	if len(data) < minEnvelopeBytes || string(data[:formatOffset]) != magic {
		return 0
	}
	return data[formatOffset]
}

// decodeEnvelope decodes a message of the given format. The error wraps one of the Err variables above.
func decodeEnvelope(format byte, fleet string, data []byte, into any) error {
	switch {
	case len(data) < minEnvelopeBytes || string(data[:formatOffset]) != magic:
		return ErrUnknownProtocol
	case data[formatOffset] != format:
		return fmt.Errorf("%w: %d, known formats are %d to %d",
			ErrUnknownFormat, data[formatOffset], membershipFormat, policyFormat)
	}
	fleetEnd := fleetOffset + int(data[fleetLengthOffset])
	if len(data) < fleetEnd+checksumBytes {
		return ErrDamaged
	}
	head := data[:fleetEnd]
	body := data[fleetEnd+checksumBytes:]
	sum := crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, body)
	switch {
	case sum != binary.BigEndian.Uint32(data[fleetEnd:]):
		return ErrDamaged
	case string(head[fleetOffset:]) != fleet:
		return fmt.Errorf("%w: %q", ErrOtherFleet, head[fleetOffset:])
	}
	if err := decoding.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// writeExchange writes one exchange message to a stream.
func writeExchange(w io.Writer, fleet string, x *membership.Exchange) error {
	data, err := encodeMembership(fleet, x)
	if err != nil {
		return err
	}
	if len(data) > maxStreamBytes {
		return ErrTooLarge
	}
	return writeFrame(w, data)
}

// writeFrame writes an envelope to a stream, with its length in front.
func writeFrame(w io.Writer, data []byte) error {
	_, err := w.Write(frame(data))
	return err
}

// frame returns an envelope with its length in front.
func frame(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// readExchange reads one exchange message from a stream.
func readExchange(r io.Reader, fleet string) (*membership.Exchange, error) {
	data, err := readFrame(r)
	if err != nil {
		return nil, err
	}
	x := &membership.Exchange{}
	return x, decodeMembership(fleet, data, x)
}

// readFrame reads an envelope from a stream.
func readFrame(r io.Reader) ([]byte, error) {
	var length [frameLengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxStreamBytes {
		return nil, ErrTooLarge
	}
	var data bytes.Buffer // grows with the data that arrives, not with the length that the sender announced
	if _, err := io.CopyN(&data, r, int64(n)); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}
