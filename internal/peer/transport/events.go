package transport

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/peer/membership"
)

// event is a line of the file of events, one JSON object each: what changed in this member's view, when by the
// machine's monotonic clock, which all its processes share, and by its wall clock.
type event struct {
	T    int64  `json:"t"`    // ns, CLOCK_MONOTONIC
	Wall int64  `json:"wall"` // ms, Unix
	By   string `json:"by"`
	PID  int    `json:"pid"`
	What string `json:"what"`

	Of   string `json:"of,omitempty"`
	Addr string `json:"addr,omitempty"`
	Life string `json:"life,omitempty"`
	Boot uint64 `json:"boot,omitempty"`
	Inc  uint32 `json:"inc,omitempty"`

	State string `json:"state,omitempty"`
	Was   string `json:"was,omitempty"`
	Why   string `json:"why,omitempty"`

	Most    int  `json:"most,omitempty"`
	Least   int  `json:"least,omitempty"`
	Members int  `json:"members,omitempty"`
	Live    int  `json:"live,omitempty"`
	File    bool `json:"file,omitempty"`

	StandBack bool   `json:"stand_back,omitempty"`
	PauseMS   int64  `json:"pause_ms,omitempty"`
	Health    int    `json:"health,omitempty"`
	Asked     int    `json:"asked,omitempty"` // of a gap: lines that are missing
	Server    string `json:"server,omitempty"`
	ID        string `json:"id,omitempty"`     // of a change of policy
	Number    uint64 `json:"number,omitempty"` // of a policy
}

// events writes lines in a goroutine of its own. Where it can't keep up, lines are left out, and that is written.
type events struct {
	by    string
	pid   int
	lines chan event
	lost  int
	end   chan struct{}
}

const eventsWaiting = 4096

func newEvents(w io.Writer, by string, pid int) *events {
	if w == nil {
		return nil
	}
	e := &events{by: by, pid: pid, lines: make(chan event, eventsWaiting), end: make(chan struct{})}
	go func() {
		defer close(e.end)
		out := bufio.NewWriter(w)
		encoder := json.NewEncoder(out)
		for l := range e.lines {
			_ = encoder.Encode(l) // a file that can't be written is no reason to stop
			if len(e.lines) == 0 {
				_ = out.Flush()
			}
		}
		_ = out.Flush()
	}()
	return e
}

// MonotonicNanos is CLOCK_MONOTONIC, in ns: the same for all processes of a machine.
func MonotonicNanos() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano()
}

func (e *events) put(l event) {
	if e == nil {
		return
	}
	l.T, l.Wall, l.By, l.PID = MonotonicNanos(), time.Now().UnixMilli(), e.by, e.pid
	if e.lost > 0 {
		gap := event{T: l.T, Wall: l.Wall, By: l.By, PID: l.PID, What: "gap", Asked: e.lost}
		select {
		case e.lines <- gap:
			e.lost = 0
		default:
		}
	}
	select {
	case e.lines <- l:
	default:
		e.lost++
	}
}

func (e *events) close() {
	if e != nil {
		close(e.lines)
		<-e.end
	}
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// did writes what a view did, if it is for others to know.
func (e *events) did(a membership.Action) {
	switch a := a.(type) {
	case membership.MemberChanged:
		r := &a.Record
		l := event{What: "member", Of: r.Name, Addr: r.Addr, Life: hex(r.RunID), Boot: r.Boot, Inc: r.Incarnation, State: r.State.String(), Why: a.Reason}
		if !a.FirstSeen {
			l.Was = a.Previous.String()
		}
		e.put(l)
	case membership.SizeChanged:
		c := a.Size
		e.put(event{What: "count", Most: c.MaxBalancers, Least: c.MinBalancers, Members: c.Members, Live: c.Live, File: c.FromFile})
	case membership.NameConflict:
		e.put(event{What: "contested", Addr: a.Other.Addr, Life: hex(a.Other.RunID), StandBack: a.Yield, Why: a.Reason})
	case membership.SelfSuspected:
		e.put(event{What: "doubt", PauseMS: a.Pause.Milliseconds(), Health: a.Health})
	}
}
