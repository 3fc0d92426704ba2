package wire

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"vetchhaven/decide"
)

// Kinds of the simulator's messages.
const (
	kindFrame           = "Frame" // begins a batch
	kindEnd             = "End"   // ends a batch
	kindDefineList      = "DefineList"
	kindOpenInstance    = "OpenInstance"
	kindRetire          = "Retire"
	kindListUpdate      = "View"
	kindRequest         = "Submit"
	kindOutcome         = "Ended"
	kindProbeResult     = "ProbeDone"
	kindResponseStarted = "Streaming"
	kindCancelled       = "Expired"
	kindTimerFired      = "Reminder"
	kindPeerMessage     = "Peer"
)

// These are the keys of the simulator's messages that errors name.
const (
	keySettings = "Facts"
	keyText     = "Msg"
	keyList     = "Sheet"

	keySemantics  = "Semantics"
	keyDedupScope = "Group"
)

// Bits of message.StateBits.
const (
	bitWorkKnown   = 1 // WorkHintMs is valid
	bitClientRetry = 2 // the client repeats an earlier request
)

// message holds the fields of all messages. A pointer marks a field that is required in some message.
type message struct {
	Kind       string `json:"msg"`
	ClockMs    *float64
	Agent      *int
	RandomSeed *uint64
	Settings   json.RawMessage `json:"Facts"`
	List       *int            `json:"Sheet"`
	Items      *[]listItem
	How        *string  // a key of listKinds
	Request    *string  `json:"Job"`
	Class      *int     `json:"TierClass"`
	GraceMs    *float64 // time until the deadline
	WorkHintMs float64
	StateBits  int
	Outcome    *string // a key of results
	WaitTimeMs *float64
	Backend    *string
	Attempt    *int `json:"SendNo"`
	Ended      bool // the request has been answered
	Usage      map[string]float64
	Token      *int64 `json:"Cookie"`
	From       *int
	Text       *string `json:"Msg"` // hexadecimal
}

// listItem is one server of an endpoint list.
type listItem struct {
	Backend      string
	Availability string  // a key of states
	Weight       float64 `json:"Rating"`
	Cell         int     `json:"Block"`
	LaunchedMs   float64
	Kind         int `json:"Sku"`
	Zone         int `json:"Dc"`
}

var results = map[string]decide.Result{
	"pass":       decide.OK,
	"fault":      decide.Errored,
	"no_room":    decide.Rejected,
	"too_slow":   decide.TimedOut,
	"no_route":   decide.ConnectFailed,
	"cut":        decide.Reset,
	"undone":     decide.Cancelled,
	"stale_send": decide.NotSent,
}

var listKinds = map[string]decide.ListKind{
	"diff":     decide.ListDelta,
	"snapshot": decide.ListFull,
	"disk":     decide.ListCached,
	"error":    decide.ListFailed,
}

var states = map[string]decide.BackendState{
	"on":     decide.Up,
	"fading": decide.Draining,
	"off":    decide.Removed,
}

// open decodes the start of an instance.
func (m *message) open() (*Open, error) {
	if m.RandomSeed == nil || m.Settings == nil {
		return nil, errors.New("missing RandomSeed or Facts")
	}
	settings, _, err := ParseSettings(m.Settings)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", keySettings, err)
	}
	return &Open{Seed: *m.RandomSeed, Settings: settings}, nil
}

// event decodes a message that is an event for decide and does not refer to a list.
func (m *message) event() (decide.Event, error) {
	switch m.Kind {
	case kindRequest:
		return m.request()
	case kindOutcome:
		return m.outcome()
	case kindProbeResult:
		return m.probeResult()
	case kindResponseStarted:
		if m.Request == nil || m.Attempt == nil {
			return nil, errors.New("missing Job or SendNo")
		}
		return decide.ResponseStarted{Request: *m.Request, Attempt: *m.Attempt}, nil
	case kindCancelled:
		if m.Request == nil {
			return nil, errors.New("missing Job")
		}
		return decide.RequestCancelled{Request: *m.Request}, nil
	case kindTimerFired:
		if m.Token == nil {
			return nil, errors.New("missing Cookie")
		}
		return decide.TimerFired{Token: *m.Token}, nil
	case kindPeerMessage:
		return m.peerMessage()
	}
	return nil, errors.New("unknown message")
}

func (m *message) request() (decide.Event, error) {
	if m.Request == nil || m.Class == nil || m.GraceMs == nil {
		return nil, errors.New("missing Job, TierClass or GraceMs")
	}
	request := decide.Request{
		ID:          *m.Request,
		Class:       *m.Class,
		Remaining:   milliseconds(*m.GraceMs),
		ClientRetry: m.StateBits&bitClientRetry != 0,
	}
	if m.StateBits&bitWorkKnown != 0 {
		request.Work = milliseconds(m.WorkHintMs)
	}
	return request, nil
}

func (m *message) outcome() (decide.Event, error) {
	if m.Request == nil || m.Outcome == nil || m.Attempt == nil || m.Backend == nil || m.WaitTimeMs == nil {
		return nil, errors.New("missing Job, Outcome, SendNo, Backend or WaitTimeMs")
	}
	result, err := m.result()
	if err != nil {
		return nil, err
	}
	return decide.Outcome{
		Request:  *m.Request,
		Attempt:  *m.Attempt,
		Backend:  *m.Backend,
		Result:   result,
		Latency:  milliseconds(*m.WaitTimeMs),
		Answered: m.Ended,
		Load:     Load(m.Usage),
	}, nil
}

func (m *message) probeResult() (decide.Event, error) {
	if m.Backend == nil || m.Outcome == nil || m.WaitTimeMs == nil {
		return nil, errors.New("missing Backend, Outcome or WaitTimeMs")
	}
	result, err := m.result()
	if err != nil {
		return nil, err
	}
	return decide.ProbeResult{
		Backend: *m.Backend,
		Result:  result,
		Latency: milliseconds(*m.WaitTimeMs),
		Load:    Load(m.Usage),
	}, nil
}

// result decodes Outcome, which must not be nil.
func (m *message) result() (decide.Result, error) {
	result, ok := results[*m.Outcome]
	if !ok {
		return result, fmt.Errorf("unknown Outcome %q", *m.Outcome)
	}
	return result, nil
}

func (m *message) peerMessage() (decide.Event, error) {
	if m.From == nil || m.Text == nil {
		return nil, errors.New("missing From or Msg")
	}
	data, err := hex.DecodeString(*m.Text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", keyText, err)
	}
	return decide.PeerMessage{From: *m.From, Data: data}, nil
}

// backends decodes the servers of an endpoint list.
func (m *message) backends() ([]decide.Backend, error) {
	list := make([]decide.Backend, 0, len(*m.Items))
	for _, item := range *m.Items {
		state, ok := states[item.Availability]
		if !ok {
			return nil, fmt.Errorf("unknown Availability %q", item.Availability)
		}
		if item.Backend == "" {
			return nil, errors.New("missing Backend")
		}
		list = append(list, decide.Backend{
			ID:      item.Backend,
			State:   state,
			Zone:    item.Zone,
			Cell:    item.Cell,
			Kind:    item.Kind,
			Weight:  item.Weight,
			Started: milliseconds(item.LaunchedMs),
		})
	}
	return list, nil
}

// notReported is the value of a figure that is missing in a load report.
const notReported = -1

// Load translates a load report. If usage is nil, there is no report, and the result is not valid. Figures that are
// missing are -1.
func Load(usage map[string]float64) decide.Load {
	load := decide.Load{
		Valid:        usage != nil,
		Queue:        notReported,
		InFlight:     notReported,
		Service:      notReported,
		ErrorsPerSec: notReported,
	}
	if v, ok := usage["backlog"]; ok {
		load.Queue = v
	}
	if v, ok := usage["outstanding"]; ok {
		load.InFlight = v
	}
	if v, ok := usage["recent_ms"]; ok {
		load.Service = milliseconds(v)
	}
	if v, ok := usage["errors_per_s"]; ok {
		load.ErrorsPerSec = v
	}
	return load
}

// milliseconds converts a number of milliseconds in a message to a duration, rounded to the nanosecond.
func milliseconds(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
