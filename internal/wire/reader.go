package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"vetchhaven/decide"
)

// Batch holds the events of one instant.
type Batch struct {
	Now    time.Duration // since the simulator's time zero
	Events []Event
}

// Event is one event of a batch, with the instance to which it belongs. Exactly one of Open, Retire and Event is set.
type Event struct {
	Line   int // line number in the stream, from 1
	Agent  int // the instance's number
	Open   *Open
	Retire bool // the instance ends
	Event  decide.Event
}

// Open starts an instance without state.
type Open struct {
	Seed     uint64
	Settings decide.Settings
}

// readBufferSize is the size of the read buffer in bytes. Longer lines are read in several parts; a larger buffer
// would only save system calls.
const readBufferSize = 1 << 16

// Reader reads batches. It keeps the endpoint lists that earlier messages defined.
type Reader struct {
	in         *bufio.Reader
	line       int                      // number of the last line read
	lists      map[int][]decide.Backend // by number of the list
	classCount map[int]int              // number of request classes of each open instance, by number of the instance
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:         bufio.NewReaderSize(in, readBufferSize),
		lists:      map[int][]decide.Backend{},
		classCount: map[int]int{},
	}
}

// Next reads one batch. It returns io.EOF if the input ends between batches. Every other error names the line, and
// the stream must not be read further.
func (r *Reader) Next() (*Batch, error) {
	var batch *Batch
	for {
		text, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if batch != nil {
				return nil, fmt.Errorf("line %d: the input ends within a batch", r.line)
			}
			return nil, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		if isBlank(text) {
			continue
		}
		var m message
		if err := json.Unmarshal(text, &m); err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		switch {
		case m.Kind == kindFrame && batch == nil && m.ClockMs != nil:
			batch = &Batch{Now: milliseconds(*m.ClockMs)}
		case m.Kind == kindFrame && batch == nil:
			return nil, fmt.Errorf("line %d: Frame: missing ClockMs", r.line)
		case m.Kind == kindFrame:
			return nil, fmt.Errorf("line %d: Frame within a batch", r.line)
		case batch == nil:
			return nil, fmt.Errorf("line %d: %q outside a batch", r.line, m.Kind)
		case m.Kind == kindEnd:
			return batch, nil
		default:
			if err := r.add(batch, &m); err != nil {
				return nil, fmt.Errorf("line %d: %s: %w", r.line, m.Kind, err)
			}
		}
	}
}

// isBlank reports whether a line consists of JSON white space only.
func isBlank(text []byte) bool {
	return len(bytes.Trim(text, " \t\r\n")) == 0
}

// add decodes a message within a batch.
func (r *Reader) add(batch *Batch, m *message) error {
	if m.Kind == kindDefineList {
		return r.defineList(m)
	}
	event := Event{Line: r.line}
	var err error
	switch m.Kind {
	case kindOpenInstance:
		event.Open, err = m.open()
	case kindRetire:
		event.Retire = true
	case kindListUpdate:
		event.Event, err = r.listUpdate(m)
	default:
		event.Event, err = m.event()
	}
	if err != nil {
		return err
	}
	if m.Agent == nil {
		return errors.New("missing Agent")
	}
	event.Agent = *m.Agent
	classes, isOpen := r.classCount[event.Agent]
	switch {
	case event.Open != nil:
		r.classCount[event.Agent] = len(event.Open.Settings.Classes)
	case event.Retire:
		delete(r.classCount, event.Agent)
	case m.Kind == kindRequest && isOpen && (*m.Class < 0 || *m.Class >= classes):
		return fmt.Errorf("TierClass: unknown class %d", *m.Class)
	}
	batch.Events = append(batch.Events, event)
	return nil
}

// defineList stores an endpoint list under its number.
func (r *Reader) defineList(m *message) error {
	if m.List == nil || m.Items == nil {
		return errors.New("missing Sheet or Items")
	}
	list, err := m.backends()
	if err != nil {
		return err
	}
	r.lists[*m.List] = list
	return nil
}

// listUpdate decodes an update of an instance's endpoint list, which refers to a list by its number.
func (r *Reader) listUpdate(m *message) (decide.Event, error) {
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
	if m.List == nil {
		return nil, errors.New("missing Sheet")
	}
	list, ok := r.lists[*m.List]
	if !ok {
		return nil, fmt.Errorf("%s %d was never defined", keyList, *m.List)
	}
	return decide.ListUpdate{Kind: kind, Backends: list}, nil
}
