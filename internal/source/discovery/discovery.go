// Package discovery reads the platform's list of servers: HTTP/1.1, the whole list or a watch that
// stays open and brings one JSON object a line.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Members is a list of servers as the list service writes it.
type Members struct {
	Saved   bool     `json:"-"` // read from a disk: how old it is, is not known
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// Member is what the list says of one server.
type Member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // ready, draining or gone
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix time; 0: long ago
}

const (
	// HeartbeatTimeout is how long a watch may bring nothing. The list sends an empty line every 2 s while
	// nothing changes; a watch that misses two of these is dead: a machine that is cut off closes
	// nothing. A change counts as told after 6 s even if it did not arrive, so the next watch must be
	// up well before that.
	HeartbeatTimeout = 4500 * time.Millisecond
	// heartbeatTimeoutSpread is by how much sooner some watches are given up, so that all of a fleet's that fall silent in
	// one moment are not opened anew in one moment. One beat late by 1.5 s is still none missed.
	heartbeatTimeoutSpread = time.Second
	// NotificationDeadline is when a change counts as told that the list has and could have been asked for, whether or not it
	// arrived. A watch that hangs from just before that moment is found within Silence, and the next one begins within
	// ReconnectMost: the 0.7 s that are left are for its connection and its first object.
	NotificationDeadline = 6 * time.Second
	// MinReconnectBackoff is the ceiling of the first wait between two watches; it doubles with each failure.
	MinReconnectBackoff = 100 * time.Millisecond
	// MaxReconnectBackoff is the highest ceiling of the waits between watches.
	MaxReconnectBackoff = 800 * time.Millisecond
	// An object longer than this, in bytes, is no list.
	maxObjectBytes = 4 << 20
)

// NewClient is an HTTP client for watches.
func NewClient(connectTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true, // a watch has its own connection; nothing may be resent on an old one
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// errObjectTooLong is of an object that goes past maxObject.
var errObjectTooLong = fmt.Errorf("an object of over %d bytes", maxObjectBytes)

// Watch follows the changes since a version at addr until the connection ends, and passes each
// message to each. It reports whether any came; the error says why it ended, and is never nil. If
// ctx was cancelled with a cause, that is the error.
//
// A watch that brings no byte for silent, less up to silenceSpread, is over: silence counts from the call, through the
// wait for a connection and for the answer's head, from that head on, and in the midst of an object. (A list service that
// works through calls in turn may write the head late and the first line 2 s after it: both are signs of life.) Objects
// may be written on any number of lines; one that the end of the watch cuts off changes nothing.
func Watch(ctx context.Context, client *http.Client, addr string, since int64, heartbeatTimeout time.Duration, onUpdate func(*Members)) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heartbeatTimeout -= rand.N(max(1, min(heartbeatTimeoutSpread, heartbeatTimeout/4))) // 1: a quarter of a silence under 4 ns is none
	heartbeatTimer := time.AfterFunc(heartbeatTimeout, func() { cancel(errors.New("silent")) })
	defer heartbeatTimer.Stop()
	url := "http://" + addr + "/catalog/members?follow=1&since=" + strconv.FormatInt(since, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return false, err
	}
	defer resp.Body.Close()
	heartbeatTimer.Reset(heartbeatTimeout)
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", resp.StatusCode)
	}
	body := &watchBody{body: resp.Body, onRead: func() { heartbeatTimer.Reset(heartbeatTimeout) }}
	decoder := json.NewDecoder(body)
	for {
		body.remaining = maxObjectBytes
		var update *Members
		if err = decoder.Decode(&update); err == nil && update == nil {
			err = errors.New("null is no object")
		}
		if err != nil {
			break
		}
		received = true
		onUpdate(update)
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	} else if errors.Is(err, io.EOF) {
		err = errors.New("ended by the list")
	} else {
		err = fmt.Errorf("list: %w", err)
	}
	return received, err
}

// watchBody reads a watch, tells of each read that brought something, and ends an object that does not end.
type watchBody struct {
	body      io.Reader
	onRead    func()
	remaining int // bytes of the present object
}

func (b *watchBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errObjectTooLong
	}
	n, err := b.body.Read(p[:min(len(p), b.remaining)])
	if n > 0 {
		b.remaining -= n
		b.onRead()
	}
	return n, err
}
