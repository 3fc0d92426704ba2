package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/core"
)

// answer is a backend's whole answer.
type answer struct {
	status   int
	lines    []byte // the header lines that are passed on, each with its end
	dated    bool   // one of them is a Date
	load     string // Endpoint-Load-Metrics
	neverRan bool   // X-Never-Ran: 1
	body     []byte
	reusable bool // the connection may carry another request
}

const (
	maxAnswerHead = 16 << 10 // bytes of the heads of one answer, 1xx ones included
	// Chunked bodies are longer on the wire than what they hold; one in chunks of few bytes is
	// no answer of a backend.
	maxFraming = 2 * maxBody
)

var (
	errTooLong   = errors.New("longer than an answer may be")
	errNoRoom    = errors.New("too many bytes of answers at once")
	aLongTimeAgo = time.Unix(1, 0)
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

// readAnswer reads one answer whole. The framing is read here, and more strictly than
// http.ReadResponse does it: an answer that tells its end twice, or not at all, can't be told
// from a part of one.
func readAnswer(in *bufio.Reader, src *source, room *core.Budget) (*answer, error) {
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
	src.left += maxBody
	var err error
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
	case h.codings == 1 && h.chunked && h.lengths == 0:
		src.left += maxFraming
		a.body, err = readChunked(in, room)
	case h.codings == 0 && h.lengths == 1:
		a.body, err = readLength(in, h.length, room)
	default:
		err = errNoFraming
	}
	if err != nil {
		return nil, err
	}
	a.reusable = in.Buffered() == 0 && !h.closes
	return a, nil
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

func readLength(in *bufio.Reader, length string, room *core.Budget) ([]byte, error) {
	n, err := strconv.ParseUint(length, 10, 63)
	switch {
	case err != nil:
		return nil, err
	case n > maxBody:
		return nil, errTooLong
	case !room.Take(int(n)):
		return nil, errNoRoom
	}
	defer room.Put(int(n))
	body := make([]byte, n)
	_, err = io.ReadFull(in, body)
	return body, err
}

func readChunked(in *bufio.Reader, room *core.Budget) ([]byte, error) {
	if !room.Take(maxBody) {
		return nil, errNoRoom
	}
	defer room.Put(maxBody)
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(in), maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	if err == nil { // the trailers: of no use, but they belong to the answer
		_, err = (&answer{}).readHeader(in)
	}
	return body, err
}
