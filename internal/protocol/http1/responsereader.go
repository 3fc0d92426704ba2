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

// response is a backend's answer: whole, or its head and the beginning of a body that streams.
type response struct {
	status      int
	headerLines []byte // the header lines that are passed on, each with its end
	hasDate     bool   // one of them is a Date
	loadReport  string // Endpoint-Load-Metrics
	neverRan    bool   // X-Never-Ran: 1
	body        []byte
	length      int64     // of the body; -1: only its end tells
	remaining   io.Reader // what is to come of the body; nil: nothing
	finish      func()    // at the end of rest: whether the connection may carry another request
	reusable    bool      // the connection may carry another request
}

const (
	maxResponseHead = 16 << 10 // bytes of the heads of one answer, 1xx ones included
	// What is longer reaches its client as it comes: of such answers the first bytes are waited for.
	maxBufferedResponse = 64 << 10
	// An answer whose length is not told is taken for a long one when it has been coming for so long.
	streamAfter = 50 * time.Millisecond
)

var (
	errTooLong   = errors.New("longer than a body may be")
	errNoFraming = errors.New("an answer whose end can't be told")
)

// serverReader reads from a backend no more than so many bytes at a time: nothing that a backend sends
// is believed to end.
type serverReader struct {
	ctx       context.Context
	conn      net.Conn
	maxGap    time.Duration // the longest gap once the answer has begun
	started   bool
	connEnded bool // the connection has ended
	budget    int
}

func (s *serverReader) Read(p []byte) (int, error) {
	if s.budget <= 0 {
		return 0, errTooLong
	}
	if s.started {
		if err := s.conn.SetReadDeadline(time.Now().Add(s.maxGap)); err != nil {
			return 0, err
		}
		if s.ctx.Err() != nil { // ended meanwhile: its deadline must not be put off
			return 0, s.ctx.Err()
		}
	}
	n, err := s.conn.Read(p[:min(len(p), s.budget)])
	s.started = true
	s.budget -= n
	s.connEnded = err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// readResponse reads one answer whole, or up to where it has to stream: a served one that is long, or for which
// there is no room. The framing is read here, and more strictly than http.ReadResponse does it: an answer that
// tells its end twice, or not at all, can't be told from a part of one.
func readResponse(in *bufio.Reader, src *serverReader, budget *core.ByteBudget) (*response, error) {
	src.budget = maxResponseHead
	a := &response{}
	var h responseFraming
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
	a.finish = func() {
		a.reusable = in.Buffered() == 0 && !h.closes
	}
	var body io.Reader
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		a.finish()
		return a, nil
	case h.transferCodings == 1 && h.chunked && h.contentLengths == 0:
		a.length, body = -1, &chunkedBody{in: in}
		src.budget += maxBody + framePerByte*maxBody
	case h.transferCodings == 0 && h.contentLengths == 1:
		n, err := strconv.ParseUint(h.length, 10, 63)
		switch {
		case err != nil:
			return nil, err
		case n > maxBody:
			return nil, errTooLong
		}
		a.length, body = int64(n), &fixedLengthBody{in: in, remaining: int64(n)}
		src.budget += int(n)
	case h.transferCodings == 0 && h.contentLengths == 0 && h.closes:
		a.length, body = -1, &closeDelimitedBody{in: in, src: src}
		src.budget += maxBody + 1
	default:
		return nil, errNoFraming
	}
	if err := a.readBody(body, budget); err != nil {
		return nil, err
	}
	return a, nil
}

// responseFraming is what an answer's head says of its end and its connection.
type responseFraming struct {
	transferCodings, contentLengths int
	chunked, closes                 bool
	length                          string
}

var errField = errors.New("a header line that is none")

// readHeader reads the header lines, up to the empty one.
func (a *response) readHeader(in *bufio.Reader) (h responseFraming, err error) {
	a.headerLines, a.hasDate, a.loadReport, a.neverRan = a.headerLines[:0], false, "", false
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
			h.transferCodings++
			h.chunked = strings.EqualFold(string(f.value), "chunked")
			continue
		case f.is("Content-Length"):
			h.contentLengths++
			h.length = string(f.value)
			continue
		case f.is("Connection"):
			h.closes = h.closes || strings.Contains(strings.ToLower(string(f.value)), "close")
			continue
		case f.is("Keep-Alive"), f.is("Proxy-Connection"), f.is("Te"), f.is("Trailer"), f.is("Upgrade"), f.is("Expect"), f.is("X-Expires-In"):
			continue // they end here (RFC 9110, 7.6.1)
		case f.is("Endpoint-Load-Metrics"):
			if a.loadReport == "" {
				a.loadReport = string(f.value)
			}
		case f.is("X-Never-Ran"):
			a.neverRan = a.neverRan || string(f.value) == "1"
		case f.is("Date"):
			a.hasDate = true
		}
		a.headerLines = append(append(a.headerLines, line...), "\r\n"...)
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
