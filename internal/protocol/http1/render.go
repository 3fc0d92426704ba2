package http1

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// appendStatus begins a response: the status line, and Connection: close if it is the connection's last.
func (f *frontend) appendStatus(b []byte, status int, last bool) []byte {
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

// date returns the current time as the value of a Date field (RFC 9110, 6.6.1). It is formatted once per second.
func date() string {
	now := time.Now().Unix()
	if d := lastDate.Load(); d != nil && d.second == now {
		return d.text
	}
	d := &dateText{now, time.Unix(now, 0).UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}

// dateText is a formatted time.
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

// appendError appends a response with a text as its body. allow is the value of the Allow field; if it is empty, the
// field is left out.
func (f *frontend) appendError(b []byte, status int, text, allow string, last bool) []byte {
	b = f.appendStatus(b, status, last)
	if allow != "" {
		b = append(b, "Allow: "...)
		b = append(b, allow...)
		b = append(b, "\r\n"...)
	}
	return f.appendText(b, text)
}

// appendText appends the rest of a response's head, and text as the body.
func (f *frontend) appendText(b []byte, text string) []byte {
	b = appendDate(b)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\nContent-Length: "...)
	b = appendInt(b, len(text)+1)
	b = append(b, "\r\n\r\n"...)
	b = append(b, text...)
	return append(b, '\n')
}

// maxJoinedBody is up to how many bytes a body is copied behind its head, to be written with it.
const maxJoinedBody = 4 << 10

// appendAnswer appends the response that carries a request's final answer. The body of a served one is returned apart
// if it is longer than maxJoinedBody. If the response can't be written completely, the
// connection ends before Content-Length bytes of the body, which shows the client that the response is incomplete (RFC
// 9112, 8).
func (f *frontend) appendAnswer(b []byte, a core.Answer, last bool) (text, body []byte) {
	served, _ := a.Response.(*response)
	if served == nil {
		return f.appendOwnAnswer(b, a, last), nil
	}
	b = f.appendStatus(b, http.StatusOK, last)
	if !served.hasDate {
		b = appendDate(b)
	}
	b = append(b, served.fieldLines...)
	b = append(b, "Content-Length: "...)
	b = appendInt(b, len(served.body))
	b = append(b, "\r\n\r\n"...)
	if len(served.body) > maxJoinedBody {
		return b, served.body
	}
	return append(b, served.body...), nil
}

// appendOwnAnswer appends the response for a final answer of the agent's own.
func (f *frontend) appendOwnAnswer(b []byte, a core.Answer, last bool) []byte {
	switch {
	case a.Refused:
		return f.appendRefusal(b, a, last)
	case a.Duplicate:
		return f.appendError(b, http.StatusConflict, "another request with this X-Trace-Id is open, or was until just now", "", last)
	case a.TimedOut:
		return f.appendError(b, http.StatusGatewayTimeout, "no answer in time", "", last)
	}
	if a.Limit != "" {
		return f.appendError(b, http.StatusBadGateway, "failed: no further try, for the fleet's limit "+a.Limit, "", last)
	}
	return f.appendError(b, http.StatusBadGateway, "failed", "", last)
}

// appendRefusal appends the response to a refused request: the response states that a retry is harmless and, if the
// settings allow it, after what time to retry (Retry-After, RFC 9110, 10.2.3; in fractions of a second, as this site's
// clients expect it).
func (f *frontend) appendRefusal(b []byte, a core.Answer, last bool) []byte {
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
