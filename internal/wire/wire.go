// Package wire translates between the bench's JSON lines and decide's
// events and actions. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"vetchhaven/decide"
)

// Keys of the simulator's messages, as errors name them.
const (
	keyFacts   = "Facts"
	keyMessage = "Msg"
	keySheet   = "Sheet"
)

// Open tells that an instance starts with no state.
type Open struct {
	Seed     uint64
	Settings decide.Settings
}

// Event is one event of a batch, with the instance it belongs to. Exactly one
// of Open, Retire and Event is set.
type Event struct {
	Line   int // line number in the stream, from 1
	Agent  int
	Open   *Open
	Retire bool
	Event  decide.Event
}

// Batch holds what happened at one instant.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]decide.Backend
	open  map[int]int // number of classes of each open instance
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), lists: map[int][]decide.Backend{}, open: map[int]int{}}
}

type entry struct {
	Backend      string
	Availability string
	Rating       float64
	Block        int
	LaunchedMs   float64
	Sku          int
	Dc           int
}

// message holds the fields of every message; pointers mark those that some
// message must carry.
type message struct {
	Kind       string `json:"msg"`
	ClockMs    *float64
	Agent      *int
	RandomSeed *uint64
	Facts      json.RawMessage
	Sheet      *int
	Items      *[]entry
	How        *string
	Job        *string
	TierClass  *int
	GraceMs    *float64
	WorkHintMs float64
	StateBits  int
	Outcome    *string
	WaitTimeMs *float64
	Backend    *string
	SendNo     *int
	Ended      bool
	Usage      map[string]float64
	Cookie     *int64
	From       *int
	Text       *string `json:"Msg"`
}

const (
	bitHintValid = 1
	bitRepeat    = 2
)

var results = map[string]decide.Result{
	"pass": decide.OK, "fault": decide.Errored, "no_room": decide.Rejected,
	"too_slow": decide.TimedOut, "no_route": decide.ConnectFailed, "cut": decide.Reset,
	"undone": decide.Cancelled, "stale_send": decide.NotSent,
}

var listKinds = map[string]decide.ListKind{
	"diff": decide.ListDelta, "snapshot": decide.ListFull,
	"disk": decide.ListCached, "error": decide.ListFailed,
}

var states = map[string]decide.BackendState{
	"on": decide.Up, "fading": decide.Draining, "off": decide.Removed,
}

// Next reads one batch. It returns io.EOF where the input ends between batches.
func (r *Reader) Next() (*Batch, error) {
	var b *Batch
	for {
		text, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if b != nil {
				return nil, fmt.Errorf("line %d: the input ends within a batch", r.line)
			}
			return nil, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		if blank(text) {
			continue
		}
		var m message
		if err := json.Unmarshal(text, &m); err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		switch {
		case m.Kind == "Frame" && b == nil && m.ClockMs != nil:
			b = &Batch{Now: duration(*m.ClockMs)}
		case m.Kind == "Frame" && b == nil:
			return nil, fmt.Errorf("line %d: Frame: missing ClockMs", r.line)
		case m.Kind == "Frame":
			return nil, fmt.Errorf("line %d: Frame within a batch", r.line)
		case b == nil:
			return nil, fmt.Errorf("line %d: %q outside a batch", r.line, m.Kind)
		case m.Kind == "End":
			return b, nil
		default:
			if err := r.add(b, &m); err != nil {
				return nil, fmt.Errorf("line %d: %s: %w", r.line, m.Kind, err)
			}
		}
	}
}

func blank(text []byte) bool {
	for _, c := range text {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return false
		}
	}
	return true
}

func (r *Reader) add(b *Batch, m *message) error {
	if m.Kind == "DefineList" {
		return r.defineList(m)
	}
	e := Event{Line: r.line}
	var err error
	switch m.Kind {
	case "OpenInstance":
		if m.RandomSeed == nil || m.Facts == nil {
			return errors.New("missing RandomSeed or Facts")
		}
		e.Open = &Open{Seed: *m.RandomSeed}
		if e.Open.Settings, _, err = ParseSettings(m.Facts); err != nil {
			err = fmt.Errorf("%s: %w", keyFacts, err)
		}
	case "Retire":
		e.Retire = true
	case "View":
		e.Event, err = r.view(m)
	case "Submit":
		if m.Job == nil || m.TierClass == nil || m.GraceMs == nil {
			return errors.New("missing Job, TierClass or GraceMs")
		}
		q := decide.Request{ID: *m.Job, Class: *m.TierClass, Remaining: duration(*m.GraceMs),
			ClientRetry: m.StateBits&bitRepeat != 0}
		if m.StateBits&bitHintValid != 0 {
			q.Work = duration(m.WorkHintMs)
		}
		e.Event = q
	case "Ended":
		if m.Job == nil || m.Outcome == nil || m.SendNo == nil || m.Backend == nil || m.WaitTimeMs == nil {
			return errors.New("missing Job, Outcome, SendNo, Backend or WaitTimeMs")
		}
		res, ok := results[*m.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *m.Outcome)
		}
		e.Event = decide.Outcome{Request: *m.Job, Attempt: *m.SendNo, Backend: *m.Backend, Result: res,
			Latency: duration(*m.WaitTimeMs), Answered: m.Ended, Load: Load(m.Usage)}
	case "ProbeDone":
		if m.Backend == nil || m.Outcome == nil || m.WaitTimeMs == nil {
			return errors.New("missing Backend, Outcome or WaitTimeMs")
		}
		res, ok := results[*m.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *m.Outcome)
		}
		e.Event = decide.ProbeResult{Backend: *m.Backend, Result: res,
			Latency: duration(*m.WaitTimeMs), Load: Load(m.Usage)}
	case "Streaming":
		if m.Job == nil || m.SendNo == nil {
			return errors.New("missing Job or SendNo")
		}
		e.Event = decide.ResponseStarted{Request: *m.Job, Attempt: *m.SendNo}
	case "Expired":
		if m.Job == nil {
			return errors.New("missing Job")
		}
		e.Event = decide.RequestCancelled{Request: *m.Job}
	case "Reminder":
		if m.Cookie == nil {
			return errors.New("missing Cookie")
		}
		e.Event = decide.TimerFired{Token: *m.Cookie}
	case "Peer":
		if m.From == nil || m.Text == nil {
			return errors.New("missing From or Msg")
		}
		data, err := hex.DecodeString(*m.Text)
		if err != nil {
			return fmt.Errorf("%s: %w", keyMessage, err)
		}
		e.Event = decide.PeerMessage{From: *m.From, Data: data}
	default:
		return errors.New("unknown message")
	}
	if err != nil {
		return err
	}
	if m.Agent == nil {
		return errors.New("missing Agent")
	}
	e.Agent = *m.Agent
	classes, known := r.open[e.Agent]
	switch {
	case e.Open != nil:
		r.open[e.Agent] = len(e.Open.Settings.Classes)
	case e.Retire:
		delete(r.open, e.Agent)
	case m.Kind == "Submit" && known && (*m.TierClass < 0 || *m.TierClass >= classes):
		return fmt.Errorf("TierClass: unknown class %d", *m.TierClass)
	}
	b.Events = append(b.Events, e)
	return nil
}

func (r *Reader) defineList(m *message) error {
	if m.Sheet == nil || m.Items == nil {
		return errors.New("missing Sheet or Items")
	}
	list := make([]decide.Backend, 0, len(*m.Items))
	for _, it := range *m.Items {
		state, ok := states[it.Availability]
		if !ok {
			return fmt.Errorf("unknown Availability %q", it.Availability)
		}
		if it.Backend == "" {
			return errors.New("missing Backend")
		}
		list = append(list, decide.Backend{ID: it.Backend, State: state, Zone: it.Dc, Cell: it.Block,
			Kind: it.Sku, Weight: it.Rating, Started: duration(it.LaunchedMs)})
	}
	r.lists[*m.Sheet] = list
	return nil
}

func (r *Reader) view(m *message) (decide.Event, error) {
	if m.How == nil {
		return nil, errors.New("missing How")
	}
	kind, ok := listKinds[*m.How]
	if !ok {
		return nil, fmt.Errorf("unknown How %q", *m.How)
	}
	if kind == decide.ListFailed {
		return decide.ListUpdate{Kind: kind}, nil
	}
	if m.Sheet == nil {
		return nil, errors.New("missing Sheet")
	}
	list, ok := r.lists[*m.Sheet]
	if !ok {
		return nil, fmt.Errorf("%s %d was never defined", keySheet, *m.Sheet)
	}
	return decide.ListUpdate{Kind: kind, Backends: list}, nil
}

// Load translates a load report. What it does not hold is marked as not reported.
func Load(usage map[string]float64) decide.Load {
	l := decide.Load{Valid: usage != nil, Queue: -1, InFlight: -1, Service: -1, ErrorsPerSec: -1}
	if v, ok := usage["backlog"]; ok {
		l.Queue = v
	}
	if v, ok := usage["outstanding"]; ok {
		l.InFlight = v
	}
	if v, ok := usage["recent_ms"]; ok {
		l.Service = duration(v)
	}
	if v, ok := usage["errors_per_s"]; ok {
		l.ErrorsPerSec = v
	}
	return l
}

func duration(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// Writer writes replies, each whole: of one that is not ended nothing is seen.
type Writer struct {
	out   io.Writer
	reply bytes.Buffer
	buf   []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Actions writes the actions of one instance.
func (w *Writer) Actions(agent int, actions []decide.Action) error {
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Send:
			w.begin("Try", agent).str("Job", a.Request).str("Backend", a.Backend)
			if a.Timeout > 0 {
				w.ms("PatienceMs", a.Timeout)
			}
		case decide.Cancel:
			w.begin("Cancel", agent).str("Job", a.Request).num("SendNo", int64(a.Attempt))
		case decide.Refuse:
			w.begin("SayNo", agent).str("Job", a.Request)
			if a.RetryAfter > 0 {
				w.ms("WaitMs", a.RetryAfter)
			}
		case decide.Fail:
			w.begin("DropRequest", agent).str("Job", a.Request)
		case decide.SetTimer:
			w.begin("SetTimer", agent).ms("SpanMs", a.After).num("Cookie", a.Token)
		case decide.Probe:
			w.begin("Test", agent).str("Backend", a.Backend)
		case decide.SendToPeer:
			w.begin("WritePeer", agent).num("Whom", int64(a.To)).str("Msg", hex.EncodeToString(a.Data))
		case decide.Subscribe:
			w.begin("KeepInformed", agent)
			w.buf = append(w.buf, `,"Enable":true`...)
		default:
			return fmt.Errorf("no wire form for action %T", a)
		}
		w.buf = append(w.buf, "}\n"...)
		w.reply.Write(w.buf)
	}
	return nil
}

// Broken reports that the decision code of an instance has failed.
func (w *Writer) Broken(agent int, text string) {
	w.begin("Broken", agent).str("Msg", text)
	w.buf = append(w.buf, "}\n"...)
	w.reply.Write(w.buf)
}

// End closes a reply and writes it.
func (w *Writer) End() error {
	w.reply.WriteString("{\"msg\":\"Eor\"}\n")
	_, err := w.reply.WriteTo(w.out)
	return err
}

func (w *Writer) begin(msg string, agent int) *Writer {
	w.buf = append(w.buf[:0], `{"msg":"`...)
	w.buf = append(w.buf, msg...)
	w.buf = append(w.buf, '"')
	return w.num("Agent", int64(agent))
}

func (w *Writer) key(name string) {
	w.buf = append(w.buf, `,"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, `":`...)
}

func (w *Writer) num(name string, v int64) *Writer {
	w.key(name)
	w.buf = strconv.AppendInt(w.buf, v, 10)
	return w
}

func (w *Writer) ms(name string, d time.Duration) *Writer {
	w.key(name)
	w.buf = strconv.AppendFloat(w.buf, float64(d)/1e6, 'f', -1, 64)
	return w
}

func (w *Writer) str(name, v string) *Writer {
	w.key(name)
	for i := range len(v) {
		if c := v[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(v) // a string always marshals
			w.buf = append(w.buf, quoted...)
			return w
		}
	}
	w.buf = append(w.buf, '"')
	w.buf = append(w.buf, v...)
	w.buf = append(w.buf, '"')
	return w
}
