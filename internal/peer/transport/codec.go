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
//	0  "vh"      what it is
//	2  format    1 of the view's messages, 2 of what members share, 3 about the policy; a reader takes those that it knows
//	3  length    of the fleet's name
//	4  fleet     whose message it is
//	   CRC-32C   of all before it and of the body, 4 bytes, big endian
//	   body      CBOR (RFC 8949), maps with small integer keys
//
// A key that a reader does not know is skipped, so that a later version may add some: two versions live together.
// What a later version must not be misread as changes the format. The checksum finds damage; it keeps nobody out.
const (
	magic            = "vh"
	membershipFormat = 1
	sharedFormat     = 2
	policyFormat     = 3
	minEnvelopeBytes = 8 // without the fleet's name
	maxDatagramBytes = 2048
	maxStreamBytes   = 10 << 20 // bytes of one message on a stream: view.Members records with each field at its longest are 9.5 MB
)

// Why a message was not taken.
var (
	ErrNotOurs       = errors.New("not a message of vetchhaven's")
	ErrUnknownFormat = errors.New("of a format that this version does not know")
	ErrOtherFleet    = errors.New("of another fleet")
	ErrDamaged       = errors.New("damaged: its checksum does not fit")
	ErrTooLarge      = errors.New("too large")
	ErrMalformed     = errors.New("a body that makes no sense")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	encoding = func() cbor.EncMode {
		m, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic("carrier: " + err.Error()) // the options above
		}
		return m
	}()
	decoding = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: 1 << 17, MaxMapPairs: 64, MaxNestedLevels: 16, UTF8: cbor.UTF8RejectInvalid}.DecMode()
		if err != nil {
			panic("carrier: " + err.Error())
		}
		return m
	}()
)

// encodeMembership puts a message into an envelope.
func encodeMembership(fleet string, message any) ([]byte, error) {
	return encodeEnvelope(membershipFormat, fleet, message)
}

func encodeEnvelope(form byte, fleet string, message any) ([]byte, error) {
	body, err := encoding.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	out := make([]byte, 0, minEnvelopeBytes+len(fleet)+len(body))
	out = append(out, magic...)
	out = append(out, form, byte(len(fleet)))
	out = append(out, fleet...)
	sum := crc32.Update(crc32.Checksum(out, castagnoli), castagnoli, body)
	out = binary.BigEndian.AppendUint32(out, sum)
	return append(out, body...), nil
}

// decodeMembership opens an envelope. The error is one of those above.
func decodeMembership(fleet string, data []byte, into any) error {
	return decodeEnvelope(membershipFormat, fleet, data, into)
}

// formatOf is the format of what came, or 0.
func formatOf(data []byte) byte {
	if len(data) < minEnvelopeBytes || string(data[:2]) != magic {
		return 0
	}
	return data[2]
}

func decodeEnvelope(form byte, fleet string, data []byte, into any) error {
	switch {
	case len(data) < minEnvelopeBytes || string(data[:2]) != magic:
		return ErrNotOurs
	case data[2] != form:
		return fmt.Errorf("%w: %d, known are %d to %d", ErrUnknownFormat, data[2], membershipFormat, policyFormat)
	}
	head := 4 + int(data[3])
	if len(data) < head+4 {
		return ErrDamaged
	}
	sum := crc32.Update(crc32.Checksum(data[:head], castagnoli), castagnoli, data[head+4:])
	switch {
	case sum != binary.BigEndian.Uint32(data[head:]):
		return ErrDamaged
	case string(data[4:head]) != fleet:
		return fmt.Errorf("%w: %q", ErrOtherFleet, data[4:head])
	}
	if err := decoding.Unmarshal(data[head+4:], into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// writeExchange puts one message on a stream: its length in 4 bytes, big endian, and its envelope.
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

// writeFrame puts an envelope on a stream.
func writeFrame(w io.Writer, data []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
	return err
}

func readExchange(r io.Reader, fleet string) (*membership.Exchange, error) {
	data, err := readRaw(r)
	if err != nil {
		return nil, err
	}
	x := &membership.Exchange{}
	return x, decodeMembership(fleet, data, x)
}

// readRaw reads an envelope from a stream.
func readRaw(r io.Reader) ([]byte, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxStreamBytes {
		return nil, ErrTooLarge
	}
	var data bytes.Buffer // grows with what comes, not with what is promised
	if _, err := io.CopyN(&data, r, int64(n)); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}
