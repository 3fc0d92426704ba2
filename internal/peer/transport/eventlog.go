package transport

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"vetchhaven/internal/peer/membership"
)

// eventLine is one line of the event file, a JSON object: a change at this member, with the time of the change by the
// monotonic clock, which all processes of a machine share, and by the wall clock. Fault tests read the file. The JSON
// keys are those of earlier builds.
type eventLine struct {
	MonotonicNanos int64  `json:"t"`    // CLOCK_MONOTONIC
	WallMS         int64  `json:"wall"` // Unix time
	Member         string `json:"by"`
	PID            int    `json:"pid"`
	Kind           string `json:"what"`

	Subject     string `json:"of,omitempty"` // another member
	Addr        string `json:"addr,omitempty"`
	RunID       string `json:"life,omitempty"`
	Boot        uint64 `json:"boot,omitempty"`
	Incarnation uint32 `json:"inc,omitempty"`

	State    string `json:"state,omitempty"`
	Previous string `json:"was,omitempty"`
	Reason   string `json:"why,omitempty"`

	MaxBalancers int  `json:"most,omitempty"`
	MinBalancers int  `json:"least,omitempty"`
	Members      int  `json:"members,omitempty"`
	Live         int  `json:"live,omitempty"`
	FromFile     bool `json:"file,omitempty"`

	Yielded      bool   `json:"stand_back,omitempty"`
	PauseMS      int64  `json:"pause_ms,omitempty"`
	Health       int    `json:"health,omitempty"`
	MissingLines int    `json:"asked,omitempty"` // lines dropped, in a line of kind "gap"
	Server       string `json:"server,omitempty"`
	ID           string `json:"id,omitempty"`     // ID of a policy change
	Number       uint64 `json:"number,omitempty"` // number of a policy
}

// eventLog writes event lines in a separate goroutine. If that goroutine cannot keep up, lines are dropped, and a
// later line of kind "gap" reports their number. A nil eventLog writes no lines.
type eventLog struct {
	log     *slog.Logger
	member  string
	pid     int
	lines   chan eventLine
	dropped int
	ended   chan struct{}
}

// maxWaitingLines is the maximum number of lines that wait to be written. A larger value costs memory.
const maxWaitingLines = 4096

// newEventLog returns an event log that writes to w; nil if w is nil.
func newEventLog(w io.Writer, member string, pid int, log *slog.Logger) *eventLog {
	if w == nil {
		return nil
	}
	l := &eventLog{log: log, member: member, pid: pid, lines: make(chan eventLine, maxWaitingLines), ended: make(chan struct{})}
	go l.run(w)
	return l
}

// run writes lines until close is called. A panic of the writer ends only the writing of events.
func (l *eventLog) run(w io.Writer) {
	defer close(l.ended)
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("fleet: events are no longer written", "error", panicError(p))
			for range l.lines { // discard lines until close
			}
		}
	}()
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	for line := range l.lines {
		_ = encoder.Encode(line) // a failed write must not stop the member
		if len(l.lines) == 0 {
			_ = out.Flush()
		}
	}
	_ = out.Flush()
}

// MonotonicNanos returns the time of CLOCK_MONOTONIC in ns, which all processes of a machine share.
func MonotonicNanos() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano()
}

// write queues a line to be written. It does not wait.
func (l *eventLog) write(line eventLine) {
	if l == nil {
		return
	}
	line.MonotonicNanos = MonotonicNanos()
	line.WallMS = time.Now().UnixMilli()
	line.Member = l.member
	line.PID = l.pid
	if l.dropped > 0 {
		gap := eventLine{Kind: "gap", MissingLines: l.dropped}
		gap.MonotonicNanos = line.MonotonicNanos
		gap.WallMS = line.WallMS
		gap.Member = l.member
		gap.PID = l.pid
		select {
		case l.lines <- gap:
			l.dropped = 0
		default:
		}
	}
	select {
	case l.lines <- line:
	default:
		l.dropped++
	}
}

// close writes the queued lines and ends the writer goroutine.
func (l *eventLog) close() {
	if l == nil {
		return
	}
	close(l.lines)
	<-l.ended
}

// hex formats a number for event lines and the admin endpoint.
func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// writeAction writes an event line for an action of the view that fault tests evaluate; others are ignored.
func (l *eventLog) writeAction(a membership.Action) {
	switch a := a.(type) {
	case membership.MemberChanged:
		l.writeMember(a)
	case membership.BalancerCountChanged:
		l.write(eventLine{
			Kind:         "count",
			MaxBalancers: a.Size.MaxBalancers,
			MinBalancers: a.Size.MinBalancers,
			Members:      a.Size.Members,
			Live:         a.Size.Live,
			FromFile:     a.Size.FromFile,
		})
	case membership.NameConflict:
		l.write(eventLine{Kind: "contested", Addr: a.Other.Addr, RunID: hex(a.Other.RunID), Yielded: a.Yield, Reason: a.Reason})
	case membership.PauseDetected:
		l.write(eventLine{Kind: "doubt", PauseMS: a.Pause.Milliseconds(), Health: a.Health})
	}
}

func (l *eventLog) writeMember(a membership.MemberChanged) {
	r := &a.Record
	line := eventLine{
		Kind:        "member",
		Subject:     r.Name,
		Addr:        r.Addr,
		RunID:       hex(r.RunID),
		Boot:        r.Boot,
		Incarnation: r.Incarnation,
		State:       r.State.String(),
		Reason:      a.Reason,
	}
	if !a.FirstSeen {
		line.Previous = a.Previous.String()
	}
	l.write(line)
}
