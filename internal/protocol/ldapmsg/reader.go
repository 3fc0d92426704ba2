package ldapmsg

import (
	"errors"
	"io"
)

const (
	// minBuffer is the initial size of a reader's buffer in bytes.
	minBuffer = 512
	// retainedBuffers limits the buffer that is kept between messages, as a multiple of minBuffer.
	retainedBuffers = 16
)

// Reader splits a connection's bytes into messages. Only one goroutine at a time may use it.
type Reader struct {
	MaxMessage int    // maximum size of a message in bytes; a larger message is malformed
	OnWait     func() // called before a read for the first byte of a message
	OnPartial  func() // called before the first read for the rest of a message that has begun
	// Reserve is called before the buffer grows beyond minBuffer, with the number of bytes more. If it returns false,
	// Next fails with ErrNoMemory. Release is called with the bytes that are not needed any more. Both are nil, or none.
	Reserve func(n int) bool
	Release func(n int)

	reserved   int // bytes that were reserved and not released
	in         io.Reader
	buf        []byte
	start, end int // buf[start:end] was read, and not yet returned
}

// NewReader returns a reader of messages of up to maxMessage bytes.
func NewReader(in io.Reader, maxMessage int) *Reader {
	return &Reader{MaxMessage: maxMessage, in: in, OnWait: func() {}, OnPartial: func() {}}
}

// Next returns the bytes of the next message, which are valid until the next call. An error that wraps ErrMalformed
// means that the bytes are malformed. Any other error comes from reading; it is io.ErrUnexpectedEOF if the input ends
// within a message.
func (r *Reader) Next() ([]byte, error) {
	if r.start == r.end && len(r.buf) > retainedBuffers*minBuffer {
		// The buffer has grown for a large message: it is released, so that idle connections take little memory.
		r.buf = nil
		r.start = 0
		r.end = 0
		r.Close()
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
		if !r.makeSpace(have, need) {
			return nil, ErrNoMemory
		}
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

// needed returns the size in bytes of the message that begins with have. As long as have does not contain the
// message's whole header, needed returns a lower bound greater than len(have).
func (r *Reader) needed(have []byte) (int, error) {
	if len(have) == 0 {
		return minHeaderSize, nil
	}
	if have[0] != sequence {
		return 0, malformed("tag %#x does not begin a message", have[0])
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
		return 0, malformed("a message of %d bytes exceeds the limit of %d bytes", need, r.MaxMessage)
	}
	return need, nil
}

// ErrNoMemory means that Reader.Reserve did not allow the buffer to grow.
var ErrNoMemory = errors.New("no memory for a larger message now")

// Close releases the reserved bytes. The reader must not be used any more, unless its buffer is empty.
func (r *Reader) Close() {
	if r.Release != nil && r.reserved > 0 {
		r.Release(r.reserved)
		r.reserved = 0
	}
}

// reserve reserves the bytes for a buffer of a size, and reports false if they are not available.
func (r *Reader) reserve(size int) bool {
	more := size - minBuffer - r.reserved
	if r.Reserve == nil || more <= 0 {
		return true
	}
	if !r.Reserve(more) {
		return false
	}
	r.reserved += more
	return true
}

// makeSpace moves have to the beginning of the buffer, and grows the buffer if it is full or too small for need bytes. It
// reports false if there is no memory for that.
func (r *Reader) makeSpace(have []byte, need int) bool {
	if r.start > 0 {
		copy(r.buf, have)
		r.start = 0
		r.end = len(have)
	}
	if len(r.buf) < need || len(r.buf) == r.end {
		// The buffer grows with the bytes that were received, not with the announced length: otherwise a sender could
		// make the agent allocate memory by announcing a length, without sending anything.
		size := max(minBuffer, min(need, 2*len(r.buf)))
		if !r.reserve(size) {
			return false
		}
		grown := make([]byte, size)
		copy(grown, r.buf[:r.end])
		r.buf = grown
	}
	return true
}

// Buffered returns how many bytes were read after the end of the last message.
func (r *Reader) Buffered() int { return r.end - r.start }

// Wipe overwrites the bytes of the last message, and all bytes before it in the buffer. It is for messages with a
// password.
func (r *Reader) Wipe() { clear(r.buf[:r.start]) }
