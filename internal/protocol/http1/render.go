package http1

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// appendStatus begins a response: the status line, and Connection: close if it is the connection's last.
func (f *front) appendStatus(b []byte, status int, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = appendInt(b, status)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// date is the present time as a Date field has it (RFC 9110, 6.6.1). It is formatted once a second.
func date() string {
	now := time.Now().Unix()
	if d := lastDate.Load(); d != nil && d.second == now {
		return d.text
	}
	d := &dateText{now, time.Unix(now, 0).UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}

// dateText is a formatted second.
type dateText struct {
	second int64 // since 1970
	text   string
}

var lastDate atomic.Pointer[dateText]

// appendDate appends a Date field.
func appendDate(b []byte) []byte {
	b = append(b, "Date: "...)
	b = append(b, date()...)
	return append(b, "\r\n"...)
}

// appendError is a response with a text. allow is the Allow field; empty: none.
func (f *front) appendError(b []byte, status int, text, allow string, last bool) []byte {
	b = f.appendStatus(b, status, last)
	if allow != "" {
		b = append(b, "Allow: "...)
		b = append(b, allow...)
		b = append(b, "\r\n"...)
	}
	return f.appendText(b, text)
}

// appendText ends a response with a text.
func (f *front) appendText(b []byte, text string) []byte {
	b = appendDate(b)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\nContent-Length: "...)
	b = appendInt(b, len(text)+1)
	b = append(b, "\r\n\r\n"...)
	b = append(b, text...)
	return append(b, '\n')
}

// appendAnswer is the response to a request's final answer. If it can't be written completely, its connection ends short of
// its Content-Length, which shows the client that it is incomplete (RFC 9112, 8).
func (f *front) appendAnswer(b []byte, a core.Answer, last bool) []byte {
	served, _ := a.Served.(*response)
	switch {
	case served != nil:
		b = f.appendStatus(b, http.StatusOK, last)
		if !served.hasDate {
			b = appendDate(b)
		}
		b = append(b, served.headerLines...)
		b = append(b, "Content-Length: "...)
		b = appendInt(b, len(served.body))
		b = append(b, "\r\n\r\n"...)
		return append(b, served.body...)
	case a.Refused:
		return f.appendRefusal(b, a, last)
	case a.Duplicate:
		return f.appendError(b, http.StatusConflict, "there is, or just was, another request with this X-Trace-Id", "", last)
	case a.TimedOut:
		return f.appendError(b, http.StatusGatewayTimeout, "no answer in time", "", last)
	}
	if a.Limit != "" {
		return f.appendError(b, http.StatusBadGateway, "failed: no further try, for the fleet's limit "+a.Limit, "", last)
	}
	return f.appendError(b, http.StatusBadGateway, "failed", "", last)
}

// appendRefusal is the response to a rejected request: that a retry is harmless, and, where the settings allow it, after
// what time (Retry-After, RFC 9110, 10.2.3; in fractions of a second, as this site's clients read it).
func (f *front) appendRefusal(b []byte, a core.Answer, last bool) []byte {
	retryAfter := a.RetryAfter
	b = f.appendStatus(b, http.StatusServiceUnavailable, last)
	if retryAfter > 0 && f.cfg.Settings.RetryAfter {
		retryAfter = min(retryAfter, f.cfg.Settings.MaxRetryAfter)
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	if a.Limit != "" {
		return f.appendText(b, "refused, try again: the fleet's limit "+a.Limit)
	}
	if a.Policy != "" {
		return f.appendText(b, "refused, try again: "+a.Policy)
	}
	if a.Ejected != "" {
		return f.appendText(b, "refused, try again: the fleet's verdicts keep from it "+a.Ejected)
	}
	return f.appendText(b, "refused, try again")
}

// appendInt appends a decimal number.
func appendInt(b []byte, n int) []byte { return strconv.AppendInt(b, int64(n), 10) }
