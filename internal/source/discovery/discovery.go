// Package discovery reads the platform's endpoint list over HTTP/1.1. A watch is one GET that stays open and
// delivers one JSON object for each update: a complete list first, or the changes since a version.
//
// Watch is a single connection. Hub keeps one watch open for all instances of a process, retries it with
// exponential backoff and full jitter ("Exponential Backoff and Jitter", AWS Architecture Blog, 2015), and
// fans the updates out to its subscribers. The hub owns the current list; it starts one goroutine per
// subscriber while updates are pending for it. internal/core subscribes one agent, internal/host/daemon one
// per instance.
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

// Update is one update of the endpoint list, as the list service encodes it: a snapshot if Full is set, else
// a delta.
type Update struct {
	Saved   bool     `json:"-"` // the list was restored from disk, and its age is unknown
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Server is one server of an update.
type Server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"` // IP and port
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    *int    `json:"cell,omitempty"` // nil: unknown
	State   string  `json:"state"`          // "ready", "draining" or "gone"
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix time in ms; 0: unknown, and treated as long ago
}

// Equal reports whether two entries are the same.
func (s Server) Equal(other Server) bool {
	cell, otherCell := s.Cell, other.Cell
	s.Cell, other.Cell = nil, nil
	if cell == nil || otherCell == nil {
		return s == other && cell == otherCell
	}
	return s == other && *cell == *otherCell
}

// States of a server as the list service spells them. "draining" needs no constant here: the hub only checks
// whether a server is ready and whether it is gone.
const (
	stateReady   = "ready"
	stateRemoved = "gone"
)

const (
	// HeartbeatTimeout is how long a watch may go without receiving a byte. The list service sends an empty line
	// every 2 s while the list does not change, so a watch that misses two of these in a row is considered dead: a
	// partitioned list service does not close its connection. Larger values leave too little of
	// NotificationDeadline for the next watch; below 4 s one delayed heartbeat would end a live watch.
	HeartbeatTimeout = 4500 * time.Millisecond
	// heartbeatTimeoutSpread is the largest random amount by which a watch times out earlier, so that a fleet whose
	// watches all stop receiving data at the same time does not reconnect at the same time. A heartbeat may still
	// be 1.5 s late.
	heartbeatTimeoutSpread = time.Second
	// NotificationDeadline is the age at which a change in the list counts as known by the platform's contract,
	// whether or not the agent has received it. If a watch hangs just before the change, that is detected within
	// HeartbeatTimeout, and the next watch starts within MaxReconnectBackoff: 0.7 s remain to connect and to
	// receive the first object.
	NotificationDeadline = 6 * time.Second
	// MinReconnectBackoff is the upper bound of the first wait between two watches; the bound doubles with
	// each failure. A smaller value loads a list service that is failing, a larger one delays recovery.
	MinReconnectBackoff = 100 * time.Millisecond
	// MaxReconnectBackoff is the bound at which the doubling ends. NotificationDeadline explains how much time it
	// has to leave for the next watch.
	MaxReconnectBackoff = 800 * time.Millisecond
	// maxObjectBytes is the maximum size of one JSON object, so that a malformed response can't exhaust memory. A
	// list whose JSON is longer can't be read at all.
	maxObjectBytes = 4 << 20
	// watchPath is the resource of the list service that delivers updates; the version to start from is appended.
	watchPath = "/catalog/members?follow=1&since="
)

// NewClient returns an HTTP client for watches. Each watch has a connection of its own, and redirects are not
// followed.
func NewClient(connectTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:  true, // the transport would resend a request that failed on a reused idle connection
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: connectTimeout, KeepAlive: -1}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Reasons for the end of a watch. The admin endpoint shows their texts.
var (
	errHeartbeatTimeout = errors.New("silent")
	errEnded            = errors.New("ended by the list service")
	errNullObject       = errors.New("null instead of a JSON object")
	errObjectTooLong    = fmt.Errorf("an object of over %d bytes", maxObjectBytes)
)

// Watch requests the updates since a version from the list service at addr, and passes each to onUpdate until
// the connection ends. It blocks. received reports whether any update arrived. err is the reason for the end and
// is never nil. If ctx was cancelled with a cause, err is that cause.
//
// A watch that reads no byte for heartbeatTimeout, less a random part of heartbeatTimeoutSpread, ends. The timer
// starts with the call, and restarts with the response's header and with each read of the body. (A list service
// that handles requests one after the other may write the header late, and the first line 2 s after it: both
// prove that the service is alive.) An object may span any number of lines. An object that the end of the
// connection truncates is dropped.
func Watch(ctx context.Context, client *http.Client, addr string, since int64, heartbeatTimeout time.Duration, onUpdate func(*Update)) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heartbeatTimeout -= rand.N(max(1, min(heartbeatTimeoutSpread, heartbeatTimeout/4))) // 1: rand.N panics at 0
	heartbeatTimer := time.AfterFunc(heartbeatTimeout, func() { cancel(errHeartbeatTimeout) })
	defer heartbeatTimer.Stop()
	url := "http://" + addr + watchPath + strconv.FormatInt(since, 10)
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
	body := &watchBody{
		body:   resp.Body,
		onRead: func() { heartbeatTimer.Reset(heartbeatTimeout) },
	}
	received, err = decodeUpdates(body, onUpdate)
	if cause := context.Cause(ctx); cause != nil {
		return received, cause
	}
	if errors.Is(err, io.EOF) {
		return received, errEnded
	}
	return received, fmt.Errorf("list: %w", err)
}

// decodeUpdates passes each object of a watch's body to onUpdate until an object can't be read. err is never nil.
func decodeUpdates(body *watchBody, onUpdate func(*Update)) (received bool, err error) {
	decoder := json.NewDecoder(body)
	for {
		body.remaining = maxObjectBytes
		var update *Update
		if err := decoder.Decode(&update); err != nil {
			return received, err
		}
		if update == nil {
			return received, errNullObject
		}
		received = true
		onUpdate(update)
	}
}

// watchBody reads a watch's response body, reports each read that returned data, and limits the size of an
// object.
type watchBody struct {
	body      io.Reader
	onRead    func()
	remaining int // number of bytes that may still be read for the current object
}

// Read fails with errObjectTooLong once the current object has used up its limit.
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
