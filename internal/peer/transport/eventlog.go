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

// eventLine is a line of the file of events, one JSON object each: what changed at this member, when by the machine's
// monotonic clock, which all its processes share, and by its wall clock. Fault tests read it. The JSON keys are those of earlier builds.
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
	MissingLines int    `json:"asked,omitempty"` // of a gap
	Server       string `json:"server,omitempty"`
	ID           string `json:"id,omitempty"`     // of a policy change
	Number       uint64 `json:"number,omitempty"` // of a policy
}

// eventLog writes event lines in a goroutine of its own. Where that cannot keep up, lines are dropped, and a line says
// how many. The nil eventLog writes nothing.
type eventLog struct {
	log     *slog.Logger
	member  string
	pid     int
	lines   chan eventLine
	dropped int
	ended   chan struct{}
}

// maxWaitingLines is how many lines may wait to be written. Larger costs memory.
const maxWaitingLines = 4096

// newEventLog returns an event log that writes to w; nil for a nil w.
func newEventLog(w io.Writer, member string, pid int, log *slog.Logger) *eventLog {
	if w == nil {
		return nil
	}
	l := &eventLog{log: log, member: member, pid: pid, lines: make(chan eventLine, maxWaitingLines), ended: make(chan struct{})}
	go l.run(w)
	return l
}

// run writes lines until close. A panic of the writer ends the writing, and nothing else.
func (l *eventLog) run(w io.Writer) {
	defer close(l.ended)
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("fleet: events are no longer written", "error", panicError(p))
			for range l.lines { // nobody waits for room
			}
		}
	}()
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	for line := range l.lines {
		_ = encoder.Encode(line) // a member does not stop for a file that cannot be written
		if len(l.lines) == 0 {
			_ = out.Flush()
		}
	}
	_ = out.Flush()
}

// MonotonicNanos returns CLOCK_MONOTONIC in ns: the same for all processes of a machine.
func MonotonicNanos() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Nano()
}

// write has a line written. It does not wait.
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

// close writes what waits, and ends.
func (l *eventLog) close() {
	if l == nil {
		return
	}
	close(l.lines)
	<-l.ended
}

// hex returns a number as event lines and the admin endpoint show it.
func hex(n uint64) string { return strconv.FormatUint(n, 16) }

// writeAction writes an action of the view that is a change for fault tests to know.
func (l *eventLog) writeAction(a membership.Action) {
	switch a := a.(type) {
	case membership.MemberChanged:
		l.writeMember(a)
	case membership.SizeChanged:
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
	case membership.SelfSuspected:
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
