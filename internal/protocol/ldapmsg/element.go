package ldapmsg

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by every error about bytes that are not a valid LDAP message.
var ErrMalformed = errors.New("malformed")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// elementHeader is an element's tag and length (X.690, 8.1.2 and 8.1.3).
type elementHeader struct {
	tag    byte
	size   int // the header's own size in bytes
	length int // the content's length in bytes
}

// parseHeader reads a tag of one octet and a definite length, the only forms that LDAP uses (RFC 4511, 5.1). complete
// is false if b ends within the header.
func parseHeader(b []byte) (h elementHeader, complete bool, err error) {
	if len(b) < 2 {
		return h, false, nil
	}
	h.tag = b[0]
	if h.tag&numberMask == numberMask {
		return h, false, malformed("a tag of more than one octet")
	}
	if b[1] < 0x80 { // the short form
		h.size = 2
		h.length = int(b[1])
		return h, true, nil
	}
	n := int(b[1] & 0x7f)
	switch {
	case n == 0:
		return h, false, malformed("an indefinite length") // RFC 4511, 5.1
	case n > maxLengthOctets:
		return h, false, malformed("a length of %d octets", n)
	case len(b) < 2+n:
		return h, false, nil
	}
	for _, o := range b[2 : 2+n] {
		h.length = h.length<<8 | int(o)
	}
	h.size = 2 + n
	return h, true, nil
}

// parseElement reads one complete element. rest is the bytes that follow it.
func parseElement(b []byte) (tag byte, content, rest []byte, err error) {
	h, complete, err := parseHeader(b)
	if err != nil {
		return 0, nil, nil, err
	}
	if !complete || h.length > len(b)-h.size {
		return 0, nil, nil, malformed("an element exceeds the bytes that contain it")
	}
	end := h.size + h.length
	return h.tag, b[h.size:end], b[end:], nil
}

// parseInt reads the content of an INTEGER or ENUMERATED of up to 64 bits.
func parseInt(b []byte) (int64, bool) {
	if len(b) < 1 || len(b) > 8 {
		return 0, false
	}
	n := int64(int8(b[0]))
	for _, o := range b[1:] {
		n = n<<8 | int64(o)
	}
	return n, true
}

// CheckDepth returns an error if nested elements are malformed, or nested deeper than maxDepth. A message must pass
// this check before it is forwarded to a server, since servers may parse recursively.
func CheckDepth(b []byte) error {
	var ends [maxDepth]int
	depth := 0
	at := 0
	for {
		for depth > 0 && at == ends[depth-1] {
			depth--
		}
		if at == len(b) {
			return nil
		}
		h, complete, err := parseHeader(b[at:])
		if err != nil {
			return err
		}
		end := len(b)
		if depth > 0 {
			end = ends[depth-1]
		}
		if !complete || h.length > end-at-h.size {
			return malformed("an element exceeds the bytes that contain it")
		}
		at += h.size
		if h.tag&constructed == 0 {
			at += h.length
			continue
		}
		if depth == maxDepth {
			return malformed("nested more than %d deep", maxDepth)
		}
		ends[depth] = at + h.length
		depth++
	}
}

// appendLength appends a length: a first octet, and as few of 0, 1, 2 or 4 further octets as the length needs.
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

// appendElement appends an element.
func appendElement(b []byte, tag byte, content []byte) []byte {
	b = append(b, tag)
	b = appendLength(b, len(content))
	return append(b, content...)
}

// appendInt appends an INTEGER or ENUMERATED in as few octets as it needs (X.690, 8.3.2).
func appendInt(b []byte, tag byte, n int64) []byte {
	var all [8]byte
	binary.BigEndian.PutUint64(all[:], uint64(n))
	i := 0
	for i < 7 && (all[i] == 0 && all[i+1] < 0x80 || all[i] == 0xff && all[i+1] >= 0x80) {
		i++
	}
	return appendElement(b, tag, all[i:])
}
