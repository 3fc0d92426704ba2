package ldapmsg

import (
	"io"
)

// minBuffer is how many bytes the buffer of an idle connection has; retainedBuffers times as many are kept between messages.
const (
	minBuffer   = 512
	retainedBuffers = 16
)

// Reader frames a connection's messages. One goroutine may use it.
type Reader struct {
	MaxMessage int    // bytes of one message; a larger one is malformed
	OnWait     func() // called before a read for the first byte of a message
	OnPartial  func() // called before the first read for more of a message that has begun

	in         io.Reader
	buf        []byte
	start, end int // buf[start:end] was read and not returned
}

// NewReader returns a reader of messages of at most maxMessage bytes.
func NewReader(in io.Reader, maxMessage int) *Reader {
	return &Reader{MaxMessage: maxMessage, in: in, OnWait: func() {}, OnPartial: func() {}}
}

// Next returns the next message's bytes, which are valid until the next call. An error of ErrMalformed is about the bytes;
// any other one comes from reading, and is io.ErrUnexpectedEOF for an end within a message.
func (r *Reader) Next() ([]byte, error) {
	if r.start == r.end && len(r.buf) > retainedBuffers*minBuffer {
		// One large message is no reason to keep a large buffer.
		r.buf = nil
		r.start = 0
		r.end = 0
	}
	partial := false
	for {
		have := r.buf[r.start:r.end]
		need, err := r.needed(have)
		if err != nil {
			return nil, err
		}
		if len(have) >= need {
			r.start += need
			return have[:need], nil
		}
		r.makeSpace(have, need)
		switch {
		case r.end == 0:
			r.OnWait()
		case !partial:
			partial = true
			r.OnPartial()
		}
		n, err := r.in.Read(r.buf[r.end:])
		r.end += n
		if err != nil && n == 0 {
			if err == io.EOF && r.end > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// needed is how many bytes the message that begins with have needs, as far as have shows it: always more than have until the
// message is complete.
func (r *Reader) needed(have []byte) (int, error) {
	if len(have) == 0 {
		return minHeaderSize, nil
	}
	if have[0] != sequence {
		return 0, malformed("tag %#x is no message's", have[0])
	}
	h, complete, err := parseHeader(have)
	if err != nil {
		return 0, err
	}
	if !complete {
		return len(have) + 1, nil
	}
	need := h.size + h.length
	if need > r.MaxMessage {
		return 0, malformed("a message of %d bytes: %d are taken", need, r.MaxMessage)
	}
	return need, nil
}

// makeSpace moves have to the buffer's beginning, and grows the buffer if it is full or too small for need bytes.
func (r *Reader) makeSpace(have []byte, need int) {
	if r.start > 0 {
		copy(r.buf, have)
		r.start = 0
		r.end = len(have)
	}
	if len(r.buf) < need || len(r.buf) == r.end {
		// It grows by what has come, not by what was announced: to announce a length costs the sender nothing.
		grown := make([]byte, max(minBuffer, min(need, 2*len(r.buf))))
		copy(grown, r.buf[:r.end])
		r.buf = grown
	}
}

// Buffered is how many bytes were read behind the last message.
func (r *Reader) Buffered() int { return r.end - r.start }

// Forget overwrites the bytes of the last message, and all before it: they have a password.
func (r *Reader) Forget() { clear(r.buf[:r.start]) }
