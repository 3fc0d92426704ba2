package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/core"
)

// answer is a backend's answer: whole, or its head and the beginning of a body that streams.
type answer struct {
	status   int
	lines    []byte // the header lines that are passed on, each with its end
	dated    bool   // one of them is a Date
	load     string // Endpoint-Load-Metrics
	neverRan bool   // X-Never-Ran: 1
	body     []byte
	length   int64     // of the body; -1: only its end tells
	rest     io.Reader // what is to come of the body; nil: nothing
	settle   func()    // at the end of rest: whether the connection may carry another request
	reusable bool      // the connection may carry another request
}

const (
	maxAnswerHead = 16 << 10 // bytes of the heads of one answer, 1xx ones included
	// What is longer reaches its client as it comes: of such answers the first bytes are waited for.
	maxWholeAnswer = 64 << 10
	// An answer whose length is not told is taken for a long one when it has been coming for so long.
	longAnswer = 50 * time.Millisecond
)

var (
	errTooLong   = errors.New("longer than a body may be")
	errNoFraming = errors.New("an answer whose end can't be told")
)

// source reads from a backend no more than so many bytes at a time: nothing that a backend sends
// is believed to end.
type source struct {
	ctx   context.Context
	conn  net.Conn
	stall time.Duration // the longest gap once the answer has begun
	begun bool
	broke bool // the connection has ended
	left  int
}

func (s *source) Read(p []byte) (int, error) {
	if s.left <= 0 {
		return 0, errTooLong
	}
	if s.begun {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.stall)); err != nil {
			return 0, err
		}
		if s.ctx.Err() != nil { // ended meanwhile: its deadline must not be put off
			return 0, s.ctx.Err()
		}
	}
	n, err := s.conn.Read(p[:min(len(p), s.left)])
	s.begun = true
	s.left -= n
	s.broke = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readAnswer reads one answer whole, or up to where it has to stream: a served one that is long, or for which
// there is no room. The framing is read here, and more strictly than http.ReadResponse does it: an answer that
// tells its end twice, or not at all, can't be told from a part of one.
func readAnswer(in *bufio.Reader, src *source, room *core.ByteBudget) (*answer, error) {
	src.left = maxAnswerHead
	a := &answer{}
	var h answerHead
	for a.status < 200 { // 1xx ones come ahead of the answer
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if a.status, err = parseStatus(string(line)); err != nil {
			return nil, err
		}
		if h, err = a.readHeader(in); err != nil {
			return nil, err
		}
	}
	a.settle = func() {
		a.reusable = in.Buffered() == 0 && !h.closes
	}
	var body io.Reader
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		a.settle()
		return a, nil
	case h.codings == 1 && h.chunked && h.lengths == 0:
		a.length, body = -1, &chunks{in: in}
		src.left += maxBody + framePerByte*maxBody
	case h.codings == 0 && h.lengths == 1:
		n, err := strconv.ParseUint(h.length, 10, 63)
		switch {
		case err != nil:
			return nil, err
		case n > maxBody:
			return nil, errTooLong
		}
		a.length, body = int64(n), &measured{in: in, left: int64(n)}
		src.left += int(n)
	case h.codings == 0 && h.lengths == 0 && h.closes:
		a.length, body = -1, &untilEnd{in: in, src: src}
		src.left += maxBody + 1
	default:
		return nil, errNoFraming
	}
	if err := a.readBody(body, room); err != nil {
		return nil, err
	}
	return a, nil
}

// readBody reads a body to its end, as long as it is short and there is room for it.
func (a *answer) readBody(body io.Reader, room *core.ByteBudget) error {
	size, booked := 4<<10, 0 // to begin with
	if a.length >= 0 {
		size = int(min(a.length, 4<<10))
		if a.length <= maxWholeAnswer {
			size = int(a.length)
		}
	}
	if room.Acquire(size) {
		booked = size
	}
	defer func() { room.Release(booked) }()
	a.body = make([]byte, 0, size)
	var began time.Time
	for {
		if long := a.length > maxWholeAnswer && len(a.body) > 0 || booked == 0 && size > 0 ||
			a.length < 0 && len(a.body) > 0 && time.Since(began) >= longAnswer; long && a.status == http.StatusOK {
			a.rest = body
			return nil
		}
		if a.length >= 0 && int64(len(a.body)) == a.length {
			a.settle()
			return nil
		}
		if len(a.body) == cap(a.body) {
			if more := max(cap(a.body), 1); cap(a.body)+more <= maxWholeAnswer && room.Acquire(more) {
				booked += more
				a.body = append(make([]byte, 0, cap(a.body)+more), a.body...)
			} else if a.status != http.StatusOK {
				return errTooLong // nobody waits for so long an error
			} else {
				a.rest = body
				return nil
			}
		}
		n, err := body.Read(a.body[len(a.body):cap(a.body)])
		if n > 0 && len(a.body) == 0 {
			began = time.Now()
		}
		a.body = a.body[:len(a.body)+n]
		if errors.Is(err, io.EOF) {
			a.length = int64(len(a.body))
			a.settle()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// measured is a body of a told length.
type measured struct {
	in   *bufio.Reader
	left int64
}

func (m *measured) Read(p []byte) (int, error) {
	if m.left == 0 {
		return 0, io.EOF
	}
	n, err := m.in.Read(p[:min(int64(len(p)), m.left)])
	m.left -= int64(n)
	if n > 0 {
		return n, nil
	}
	return 0, unexpected(err)
}

// untilEnd is a body that ends with its connection. Only an end without a reset is one.
type untilEnd struct {
	in  *bufio.Reader
	src *source
	got int
}

func (u *untilEnd) Read(p []byte) (int, error) {
	n, err := u.in.Read(p)
	if u.got += n; u.got > maxBody {
		return 0, errTooLong
	}
	if errors.Is(err, io.EOF) {
		u.src.broke = false // this is how it should end
	}
	return n, err
}

// answerHead is what an answer's head says of its end and its connection.
type answerHead struct {
	codings, lengths int
	chunked, closes  bool
	length           string
}

var errField = errors.New("a header line that is none")

// readHeader reads the header lines, up to the empty one.
func (a *answer) readHeader(in *bufio.Reader) (h answerHead, err error) {
	a.lines, a.dated, a.load, a.neverRan = a.lines[:0], false, "", false
	for {
		line, err := readLine(in)
		if err != nil {
			return h, err
		}
		if len(line) == 0 {
			return h, nil
		}
		f, ok := parseField(line)
		if !ok {
			return h, fmt.Errorf("%w: %.40q", errField, line)
		}
		switch {
		case f.is("Transfer-Encoding"):
			h.codings++
			h.chunked = strings.EqualFold(string(f.value), "chunked")
			continue
		case f.is("Content-Length"):
			h.lengths++
			h.length = string(f.value)
			continue
		case f.is("Connection"):
			h.closes = h.closes || strings.Contains(strings.ToLower(string(f.value)), "close")
			continue
		case f.is("Keep-Alive"), f.is("Proxy-Connection"), f.is("Te"), f.is("Trailer"), f.is("Upgrade"), f.is("Expect"), f.is("X-Expires-In"):
			continue // they end here (RFC 9110, 7.6.1)
		case f.is("Endpoint-Load-Metrics"):
			if a.load == "" {
				a.load = string(f.value)
			}
		case f.is("X-Never-Ran"):
			a.neverRan = a.neverRan || string(f.value) == "1"
		case f.is("Date"):
			a.dated = true
		}
		a.lines = append(append(a.lines, line...), "\r\n"...)
	}
}

// readLine reads one line, without its end. It is good until the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	one, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) { // a long one: what a source may send bounds it
		long := append([]byte(nil), one...)
		for errors.Is(err, bufio.ErrBufferFull) {
			one, err = in.ReadSlice('\n')
			long = append(long, one...)
		}
		one = long
	}
	if err != nil {
		return nil, err
	}
	one = one[:len(one)-1]
	if n := len(one); n > 0 && one[n-1] == '\r' {
		one = one[:n-1]
	}
	return one, nil
}

// parseStatus reads a status line of HTTP/1.1.
func parseStatus(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if version != "HTTP/1.1" || err != nil || len(code) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
		return 0, fmt.Errorf("no status line: %.40q", line)
	}
	return int(status), nil
}
