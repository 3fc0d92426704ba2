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
	Saved     int64                         `json:"saved_ms"`          // Unix time
	Boot      string                        `json:"boot,omitempty"`    // of the machine: names the start that SinceBoot counts from
	SinceBoot int64                         `json:"boot_ms,omitempty"` // ms, monotonic
	Sources   map[string]*discovery.Members `json:"sources"`           // by the list's address
	Instances map[string]*core.Memory       `json:"instances"`         // by name
	// Peers is how the daemon stood in its fleet, for one that takes its place without a gap.
	Peers []byte `json:"peers,omitempty"`
}

// AfterPause leaves out what holds only for a daemon that goes on at once where the last one stopped.
func (s *State) AfterPause() {
	for _, m := range s.Instances {
		if m != nil {
			m.Limit = 0
		}
	}
}

// Why a saved state is not believed.
var (
	ErrForeign = errors.New("not a state of vetchhaven")
	ErrVersion = errors.New("of a version that this program does not know")
	ErrTorn    = errors.New("torn: its checksum does not fit")
	ErrOld     = errors.New("too old")
)

const (
	magic   = "vetchhaven-state"
	version = 1
)

// age is how long ago the state was saved. Within one boot of the machine it is exact. Of another boot, or where that is
// not known, it is what the wall clock says, which may have been stepped by any span, and no less than this boot's.
func (s *State) age(now Moment) time.Duration {
	if now.Boot != "" && now.Boot == s.Boot {
		return now.SinceBoot - time.Duration(s.SinceBoot)*time.Millisecond
	}
	age := now.Wall.Sub(time.UnixMilli(s.Saved))
	if now.Boot != "" && s.Boot != "" {
		age = max(age, now.SinceBoot)
	}
	return age
}

var table = crc64.MakeTable(crc64.ECMA)

// Encode is the file's text: a line with name, version, checksum and length, then JSON.
func Encode(s *State) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %d %016x %d\n", magic, version, crc64.Checksum(body, table), len(body))
	out.Write(body)
	return out.Bytes(), nil
}

// Moment is a time as a machine has it.
type Moment struct {
	Wall      time.Time     // may be stepped
	Boot      string        // names the machine's start; empty: it is not known
	SinceBoot time.Duration // monotonic, suspended time included
}

// Decode reads what Encode wrote. It believes nothing that was saved more than most ago, or that
// lies in the future by more than that.
func Decode(data []byte, now Moment, most time.Duration) (*State, error) {
	head, body, found := bytes.Cut(data, []byte{'\n'})
	if !bytes.HasPrefix(head, []byte(magic+" ")) {
		if len(data) < len(magic)+1 && bytes.HasPrefix([]byte(magic+" "), data) {
			return nil, ErrTorn
		}
		return nil, ErrForeign
	}
	var v, length int
	var sum uint64
	n, err := fmt.Sscanf(string(head[len(magic):]), " %d %x %d", &v, &sum, &length)
	switch {
	case n >= 1 && v != version && (found || n > 1):
		return nil, fmt.Errorf("%w: %d, known is %d", ErrVersion, v, version)
	case err != nil || !found || length != len(body) || sum != crc64.Checksum(body, table):
		return nil, ErrTorn
	}
	s := &State{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	if age := s.age(now); age > most || age < -most {
		return nil, fmt.Errorf("%w: saved %v ago, at most %v are believed", ErrOld, age.Round(time.Second), most)
	}
	for addr, m := range s.Sources {
		if m == nil {
			delete(s.Sources, addr)
			continue
		}
		// It holds until the list itself is heard. Its version is another's to count from: the whole
		// list is asked for.
		m.Full, m.Version = true, 0
	}
	return s, nil
}
