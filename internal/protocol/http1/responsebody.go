package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"time"

	"vetchhaven/internal/core"
)

// readBody reads a body to its end, as long as it is short and there is room for it.
func (a *response) readBody(body io.Reader, budget *core.ByteBudget) error {
	size, reserved := 4<<10, 0 // to begin with
	if a.length >= 0 {
		size = int(min(a.length, 4<<10))
		if a.length <= maxBufferedResponse {
			size = int(a.length)
		}
	}
	if budget.Acquire(size) {
		reserved = size
	}
	defer func() { budget.Release(reserved) }()
	a.body = make([]byte, 0, size)
	var startedAt time.Time
	for {
		if long := a.length > maxBufferedResponse && len(a.body) > 0 || reserved == 0 && size > 0 ||
			a.length < 0 && len(a.body) > 0 && time.Since(startedAt) >= streamAfter; long && a.status == http.StatusOK {
			a.remaining = body
			return nil
		}
		if a.length >= 0 && int64(len(a.body)) == a.length {
			a.finish()
			return nil
		}
		if len(a.body) == cap(a.body) {
			if more := max(cap(a.body), 1); cap(a.body)+more <= maxBufferedResponse && budget.Acquire(more) {
				reserved += more
				a.body = append(make([]byte, 0, cap(a.body)+more), a.body...)
			} else if a.status != http.StatusOK {
				return errTooLong // nobody waits for so long an error
			} else {
				a.remaining = body
				return nil
			}
		}
		n, err := body.Read(a.body[len(a.body):cap(a.body)])
		if n > 0 && len(a.body) == 0 {
			startedAt = time.Now()
		}
		a.body = a.body[:len(a.body)+n]
		if errors.Is(err, io.EOF) {
			a.length = int64(len(a.body))
			a.finish()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fixedLengthBody is a body of a told length.
type fixedLengthBody struct {
	in        *bufio.Reader
	remaining int64
}

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

// closeDelimitedBody is a body that ends with its connection. Only an end without a reset is one.
type closeDelimitedBody struct {
	in       *bufio.Reader
	src      *serverReader
	received int
}

func (u *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := u.in.Read(p)
	if u.received += n; u.received > maxBody {
		return 0, errTooLong
	}
	if errors.Is(err, io.EOF) {
		u.src.connEnded = false // this is how it should end
	}
	return n, err
}
