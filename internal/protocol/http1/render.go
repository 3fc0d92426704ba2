package http1

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"vetchhaven/internal/core"
)

// appendStatus begins an answer, up to the fields that are its own.
func (f *front) appendStatus(b []byte, status int, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = appendInt(b, status)
	b = append(append(b, ' '), http.StatusText(status)...)
	b = append(b, "\r\n"...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// date is the present time as a Date (RFC 9110, 6.6.1), made anew each second.
func date() string {
	now := time.Now().Unix()
	if d := lastDate.Load(); d != nil && d.second == now {
		return d.text
	}
	d := &dateText{now, time.Unix(now, 0).UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}

type dateText struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[dateText]

// appendError is an answer in words.
func (f *front) appendError(b []byte, status int, text, allow string, last bool) []byte {
	b = f.appendStatus(b, status, last)
	if allow != "" {
		b = append(append(append(b, "Allow: "...), allow...), "\r\n"...)
	}
	return f.appendText(b, text)
}

// appendText ends an answer in words.
func (f *front) appendText(b []byte, text string) []byte {
	b = append(append(append(b, "Date: "...), date()...), "\r\n"...)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\nContent-Length: "...)
	b = appendInt(b, len(text)+1)
	b = append(b, "\r\n\r\n"...)
	return append(append(b, text...), '\n')
}

// appendAnswer is a final answer. If it can't be written whole, its connection ends short of its
// Content-Length, so that the client can tell.
func (f *front) appendAnswer(b []byte, a core.Answer, last bool) []byte {
	served, _ := a.Served.(*response)
	switch {
	case served != nil:
		b = f.appendStatus(b, http.StatusOK, last)
		if !served.hasDate {
			b = append(append(append(b, "Date: "...), date()...), "\r\n"...)
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

// appendRefusal says that trying again is harmless, and when to, where clients are shown that.
func (f *front) appendRefusal(b []byte, a core.Answer, last bool) []byte {
	after := a.RetryAfter
	b = f.appendStatus(b, http.StatusServiceUnavailable, last)
	if after > 0 && f.cfg.Settings.RetryAfter {
		after = min(after, f.cfg.Settings.MaxRetryAfter)
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, after.Seconds(), 'f', 3, 64)
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

func appendInt(b []byte, n int) []byte { return strconv.AppendInt(b, int64(n), 10) }
