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
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// response is a server's response: a complete one, or the head and the beginning of a body that is streamed.
type response struct {
	status     int
	fieldLines []byte // the field lines that are forwarded, each with its line ending
	hasDate    bool   // fieldLines has a Date field
	loadReport string // Endpoint-Load-Metrics
	neverRan   bool   // X-Never-Ran: 1
	body       []byte
	length     int64     // the body's length; -1: unknown until the body's end
	remaining  io.Reader // the rest of the body; nil: the body is complete
	finish     func()    // sets reusable; called at the body's end
	reusable   bool      // the connection may carry another request

	budget   *core.ByteBudget
	reserved atomic.Int64 // bytes of the budget that body occupies
}

// Discard releases the memory that the response has reserved. It is called once the response was written or is not
// needed; a second call has no effect. It implements core.Discarder.
func (r *response) Discard() {
	if r.budget != nil {
		r.budget.Release(int(r.reserved.Swap(0)))
	}
}

const (
	// maxResponseHead is how many bytes the heads of one response may have, including heads with a status of 1xx.
	maxResponseHead = 16 << 10
	// maxBufferedResponse is how many bytes of a body are read before the response is passed on; a longer one is
	// streamed. A larger value takes more memory; a streamed response can't be replaced by that of another attempt.
	maxBufferedResponse = 64 << 10
	// streamAfter is the time from a body's first bytes after which a response of unknown length is streamed. A larger
	// value delays the bytes of slow servers, a smaller one streams more short responses.
	streamAfter = 50 * time.Millisecond
)

// Errors of a response, or of a body in either direction.
var (
	errTooLong   = errors.New("longer than the limit")
	errNoFraming = errors.New("the head does not say unambiguously where the body ends")
	errField     = errors.New("malformed field line")
)

// serverReader reads at most budget bytes from a server's connection, since a server might send bytes endlessly.
type serverReader struct {
	ctx       context.Context
	conn      net.Conn
	maxGap    time.Duration // the longest pause allowed; 0: only the attempt's end limits it
	connEnded bool          // the last read failed because the connection ended, not because of a deadline
	budget    int           // bytes that may still be read
}

// Read implements io.Reader. Each wait is limited to maxGap.
func (s *serverReader) Read(p []byte) (int, error) {
	if s.budget <= 0 {
		return 0, errTooLong
	}
	if s.maxGap > 0 {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.maxGap)); err != nil {
			return 0, err
		}
		if s.ctx.Err() != nil { // the attempt has ended: the deadline set then must not be extended
			return 0, s.ctx.Err()
		}
	}
	n, err := s.conn.Read(p[:min(len(p), s.budget)])
	s.budget -= n
	s.connEnded = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readResponse reads a response completely, or up to the part of its body that is streamed: a response with status 200
// is streamed if it is long, or if it does not fit into the budget. The framing is checked more strictly than by
// http.ReadResponse: if a head states the body's end twice or not at all, an incomplete body can't be recognized (RFC
// 9112, 6.3 and 8).
func readResponse(in *bufio.Reader, src *serverReader, budget *core.ByteBudget) (*response, error) {
	src.budget = maxResponseHead
	r := &response{budget: budget}
	framing, err := r.readHeads(in)
	if err != nil {
		return nil, err
	}
	r.finish = func() {
		r.reusable = in.Buffered() == 0 && !framing.closes
	}
	if r.status == http.StatusNoContent || r.status == http.StatusNotModified { // no body (RFC 9112, 6.3)
		r.finish()
		return r, nil
	}
	body, err := r.delimitBody(framing, in, src)
	if err != nil {
		return nil, err
	}
	if err := r.readBody(body); err != nil {
		r.Discard()
		return nil, err
	}
	return r, nil
}

// readHeads reads the head of the final response, and those of interim responses (1xx) before it (RFC 9110, 15.2).
func (r *response) readHeads(in *bufio.Reader) (framing responseFraming, err error) {
	for r.status < http.StatusOK {
		line, err := readLine(in)
		if err != nil {
			return framing, err
		}
		if r.status, err = parseStatus(string(line)); err != nil {
			return framing, err
		}
		if framing, err = r.readFieldLines(in); err != nil {
			return framing, err
		}
	}
	return framing, nil
}

// delimitBody returns the body's reader, chosen by the framing in the head (RFC 9112, 6.3), and sets the length.
func (r *response) delimitBody(framing responseFraming, in *bufio.Reader, src *serverReader) (io.Reader, error) {
	switch {
	case framing.transferCodings == 1 && framing.chunked && framing.contentLengths == 0:
		r.length = -1
		src.budget += maxBody + framingPerByte*maxBody
		return &chunkedBody{in: in}, nil
	case framing.transferCodings == 0 && framing.contentLengths == 1:
		n, err := strconv.ParseUint(framing.length, 10, 63)
		switch {
		case err != nil:
			return nil, err
		case n > maxBody:
			return nil, errTooLong
		}
		r.length = int64(n)
		src.budget += int(n)
		return &fixedLengthBody{in: in, remaining: int64(n)}, nil
	case framing.transferCodings == 0 && framing.contentLengths == 0 && framing.closes:
		r.length = -1
		src.budget += maxBody + 1
		return &closeDelimitedBody{in: in, src: src}, nil
	}
	return nil, errNoFraming
}

// responseFraming contains the fields of a response's head that determine where the body ends and whether the
// connection is closed.
type responseFraming struct {
	transferCodings int // how many Transfer-Encoding fields it has
	contentLengths  int // how many Content-Length fields it has
	chunked         bool
	closes          bool   // Connection: close
	length          string // the last Content-Length
}

// readFieldLines reads the field lines, up to the empty line.
func (r *response) readFieldLines(in *bufio.Reader) (framing responseFraming, err error) {
	r.fieldLines = r.fieldLines[:0]
	r.hasDate = false
	r.loadReport = ""
	r.neverRan = false
	for {
		line, err := readLine(in)
		if err != nil {
			return framing, err
		}
		if len(line) == 0 {
			return framing, nil
		}
		f, ok := parseField(line)
		if !ok {
			return framing, fmt.Errorf("%w: %.40q", errField, line)
		}
		switch {
		case f.is("Transfer-Encoding"):
			framing.transferCodings++
			framing.chunked = strings.EqualFold(string(f.value), "chunked")
			continue
		case f.is("Content-Length"):
			framing.contentLengths++
			framing.length = string(f.value)
			continue
		case f.is("Connection"):
			framing.closes = framing.closes || strings.Contains(strings.ToLower(string(f.value)), "close")
			continue
		case f.is("Keep-Alive"), f.is("Proxy-Connection"), f.is("Te"), f.is("Trailer"), f.is("Upgrade"), f.is("Expect"), f.is("X-Expires-In"):
			continue // not forwarded (RFC 9110, 7.6.1)
		case f.is("Endpoint-Load-Metrics"):
			if r.loadReport == "" {
				r.loadReport = string(f.value)
			}
		case f.is("X-Never-Ran"):
			r.neverRan = r.neverRan || string(f.value) == "1"
		case f.is("Date"):
			r.hasDate = true
		}
		r.fieldLines = append(append(r.fieldLines, line...), "\r\n"...)
	}
}

// readLine reads one line, without its CRLF or LF. The line is valid until the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) { // longer than the buffer: the serverReader's budget bounds it
		long := append([]byte(nil), line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = in.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line, nil
}

// parseStatus parses a status line of HTTP/1.1 (RFC 9112, 4). Status 101 is an error, since no upgrade is forwarded.
func parseStatus(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(code, 10, 16)
	if version != "HTTP/1.1" || err != nil || len(code) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
		return 0, fmt.Errorf("invalid status line: %.40q", line)
	}
	return int(status), nil
}
