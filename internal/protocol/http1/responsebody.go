package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"time"

	"vetchhaven/internal/core"
)

// readBody reads a body to its end, as long as it is short, comes soon and the budget has room for it. Else the rest of a
// served response streams, and of another one is an error.
func (r *response) readBody(body io.Reader, budget *core.ByteBudget) error {
	size := r.firstSize()
	reserved := 0
	if budget.Acquire(size) {
		reserved = size
	}
	defer func() { budget.Release(reserved) }()
	r.body = make([]byte, 0, size)
	var startedAt time.Time // when the body's first bytes came
	for {
		overBudget := reserved == 0 && size > 0
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
			case cap(r.body)+more <= maxBufferedResponse && budget.Acquire(more):
				reserved += more
				r.body = append(make([]byte, 0, cap(r.body)+more), r.body...)
			case r.status != http.StatusOK:
				return errTooLong // no client gets so long an error response
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

// firstSize is how many bytes are reserved for a body at first: all of a short one of known length.
func (r *response) firstSize() int {
	switch {
	case r.length < 0:
		return firstBufferSize
	case r.length <= maxBufferedResponse:
		return int(r.length)
	}
	return firstBufferSize
}

// isLong reports whether a response whose body's first bytes have come is to be streamed: by its length, or, where that is
// unknown, by its time.
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

// Read implements io.Reader. An end before the last byte is io.ErrUnexpectedEOF.
func (m *fixedLengthBody) Read(p []byte) (int, error) {
	if m.remaining == 0 {
		return 0, io.EOF
	}
	n, err := m.in.Read(p[:min(int64(len(p)), m.remaining)])
	m.remaining -= int64(n)
	if n > 0 {
		return n, nil
	}
	return 0, unexpected(err)
}

// closeDelimitedBody is a body that ends with its connection (RFC 9112, 6.3). A reset is no end but an error.
type closeDelimitedBody struct {
	in       *bufio.Reader
	src      *serverReader
	received int
}

// Read implements io.Reader.
func (u *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := u.in.Read(p)
	u.received += n
	if u.received > maxBody {
		return 0, errTooLong
	}
	if errors.Is(err, io.EOF) {
		u.src.connEnded = false // the expected end
	}
	return n, err
}
