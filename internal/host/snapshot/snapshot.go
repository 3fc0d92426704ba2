// Package snapshot is what a daemon leaves for the one that starts after it, and what that one may
// believe of it. It is free of I/O; the file's form is here, the file is not.
//
// What may be restored: the last good list, which holds until the list service is heard, and how
// long things take. What must not: retry tokens, budgets for cold servers, strikes and ejections. They
// allowed or forbade something at that moment; restored, each could break a rule (a cold budget spent
// before would be spent again) or keep a healed server out. The limit on what is in flight goes over in a
// handover, where the same clients are served on at once, and not after a pause of unknown length.
package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc64"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
)

// State is what is saved.
type State struct {
	SavedMS     int64                         `json:"saved_ms"`          // Unix time
	BootID      string                        `json:"boot,omitempty"`    // of the machine: names the start that SinceBoot counts from
	SinceBootMS int64                         `json:"boot_ms,omitempty"` // ms, monotonic
	Sources     map[string]*discovery.Members `json:"sources"`           // by the list's address
	Instances   map[string]*core.Memory       `json:"instances"`         // by name
	// Peers is how the daemon stood in its fleet, for one that takes its place without a gap.
	Peers []byte `json:"peers,omitempty"`
}

// DropTransient leaves out what holds only for a daemon that goes on at once where the last one stopped.
func (s *State) DropTransient() {
	for _, m := range s.Instances {
		if m != nil {
			m.Limit = 0
		}
	}
}

// Why a saved state is not believed.
var (
	ErrNotSnapshot = errors.New("not a state of vetchhaven")
	ErrVersion     = errors.New("of a version that this program does not know")
	ErrCorrupt     = errors.New("torn: its checksum does not fit")
	ErrTooOld      = errors.New("too old")
)

const (
	magic   = "vetchhaven-state"
	version = 1
)

// age is how long ago the state was saved. Within one boot of the machine it is exact. Of another boot, or where that is
// not known, it is what the wall clock says, which may have been stepped by any span, and no less than this boot's.
func (s *State) age(now Moment) time.Duration {
	if now.BootID != "" && now.BootID == s.BootID {
		return now.SinceBoot - time.Duration(s.SinceBootMS)*time.Millisecond
	}
	age := now.Wall.Sub(time.UnixMilli(s.SavedMS))
	if now.BootID != "" && s.BootID != "" {
		age = max(age, now.SinceBoot)
	}
	return age
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// Encode is the file's text: a line with name, version, checksum and length, then JSON.
func Encode(state *State) ([]byte, error) {
	body, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %d %016x %d\n", magic, version, crc64.Checksum(body, crcTable), len(body))
	out.Write(body)
	return out.Bytes(), nil
}

// Moment is a time as a machine has it.
type Moment struct {
	Wall      time.Time     // may be stepped
	BootID    string        // names the machine's start; empty: it is not known
	SinceBoot time.Duration // monotonic, suspended time included
}

// Decode reads what Encode wrote. It believes nothing that was saved more than most ago, or that
// lies in the future by more than that.
func Decode(data []byte, now Moment, maxAge time.Duration) (*State, error) {
	head, body, found := bytes.Cut(data, []byte{'\n'})
	if !bytes.HasPrefix(head, []byte(magic+" ")) {
		if len(data) < len(magic)+1 && bytes.HasPrefix([]byte(magic+" "), data) {
			return nil, ErrCorrupt
		}
		return nil, ErrNotSnapshot
	}
	var fileVersion, length int
	var sum uint64
	n, err := fmt.Sscanf(string(head[len(magic):]), " %d %x %d", &fileVersion, &sum, &length)
	switch {
	case n >= 1 && fileVersion != version && (found || n > 1):
		return nil, fmt.Errorf("%w: %d, known is %d", ErrVersion, fileVersion, version)
	case err != nil || !found || length != len(body) || sum != crc64.Checksum(body, crcTable):
		return nil, ErrCorrupt
	}
	state := &State{}
	if err := json.Unmarshal(body, state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if age := state.age(now); age > maxAge || age < -maxAge {
		return nil, fmt.Errorf("%w: saved %v ago, at most %v are believed", ErrTooOld, age.Round(time.Second), maxAge)
	}
	for addr, m := range state.Sources {
		if m == nil {
			delete(state.Sources, addr)
			continue
		}
		// It holds until the list itself is heard. Its version is another's to count from: the whole
		// list is asked for.
		m.Full, m.Version = true, 0
	}
	return state, nil
}
