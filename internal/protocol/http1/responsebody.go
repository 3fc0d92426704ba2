package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"time"
)

// readBody reads a body to its end if the body is short, arrives soon and fits into the budget. Otherwise the rest is
// streamed if the response's status is 200. With any other status, the error is errTooLong if the body needs a larger
// buffer than its limit and the budget allow. The reservation lasts until Discard.
func (r *response) readBody(body io.Reader) error {
	size := r.firstSize()
	overBudget := size > 0 && !r.reserve(size)
	if overBudget {
		size = min(size, smallPieceSize)
	}
	r.body = make([]byte, 0, size)
	var startedAt time.Time // when the body's first bytes arrived
	for {
		if r.status == http.StatusOK && (overBudget || r.isLong(startedAt)) {
			r.remaining = body
			return nil
		}
		if r.length >= 0 && int64(len(r.body)) == r.length {
			r.finish()
			return nil
		}
		if len(r.body) == cap(r.body) {
			more := max(cap(r.body), 1)
			switch {
			case cap(r.body)+more <= maxBufferedResponse && r.reserve(more):
				r.body = append(make([]byte, 0, cap(r.body)+more), r.body...)
			case r.status != http.StatusOK:
				return errTooLong // a response with another status is not streamed, so it has to fit into the buffer
			default:
				r.remaining = body
				return nil
			}
		}
		n, err := body.Read(r.body[len(r.body):cap(r.body)])
		if n > 0 && len(r.body) == 0 {
			startedAt = time.Now()
		}
		r.body = r.body[:len(r.body)+n]
		if errors.Is(err, io.EOF) {
			r.length = int64(len(r.body))
			r.finish()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reserve acquires n more bytes of the budget, and reports false if there are not enough.
func (r *response) reserve(n int) bool {
	if !r.budget.Acquire(n) {
		return false
	}
	r.reserved.Add(int64(n))
	return true
}

// firstSize returns how many bytes are reserved at first for a body: the whole length if that is known and short.
func (r *response) firstSize() int {
	switch {
	case r.length < 0:
		return firstBufferSize
	case r.length <= maxBufferedResponse:
		return int(r.length)
	}
	return firstBufferSize
}

// isLong reports whether a response is to be streamed once the first bytes of its body have arrived: because of its
// length or, if that is unknown, because of the time since then.
func (r *response) isLong(startedAt time.Time) bool {
	if len(r.body) == 0 {
		return false
	}
	if r.length < 0 {
		return time.Since(startedAt) >= streamAfter
	}
	return r.length > maxBufferedResponse
}

// fixedLengthBody is a body whose Content-Length is known.
type fixedLengthBody struct {
	in        *bufio.Reader
	remaining int64
}

// Read implements io.Reader. If the connection ends before the last byte, the error is io.ErrUnexpectedEOF.
func (b *fixedLengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if n > 0 {
		return n, nil
	}
	return 0, unexpectedEOF(err)
}

// closeDelimitedBody is a body that ends with its connection (RFC 9112, 6.3). A reset is not an end but an error.
type closeDelimitedBody struct {
	in       *bufio.Reader
	src      *serverReader
	received int
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	b.received += n
	if b.received > maxBody {
		return 0, errTooLong
	}
	if errors.Is(err, io.EOF) {
		b.src.connEnded = false // the expected end
	}
	return n, err
}
