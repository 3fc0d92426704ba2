// Package snapshot encodes the state that a daemon saves for the daemon that starts after it (the file last.state),
// and decides which parts of the state the next daemon may use. It does no I/O: internal/host/daemon reads and writes
// the file.
//
// The file contains the last valid endpoint lists, which are used until the list service has been read, what each
// origin of a merged list has reported, and the measured durations. It does not contain retry tokens, slow-start budgets, failure counts and ejections: these were
// valid only at the time of saving, and restoring them could break a rule (a slow-start budget that was spent would be
// spent again) or keep a recovered endpoint out of use. The limit on requests in flight is passed only to a successor
// that immediately serves the same clients: see State.DropTransient.
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
	"vetchhaven/internal/source/endpoints"
)

// State is the content of the file.
type State struct {
	SavedMS     int64                         `json:"saved_ms"`          // Unix time
	BootID      string                        `json:"boot,omitempty"`    // ID of the boot from which SinceBootMS counts
	SinceBootMS int64                         `json:"boot_ms,omitempty"` // ms, monotonic
	Sources     map[string]*discovery.Update  `json:"sources"`           // by list address
	Instances   map[string]*core.LearnedState `json:"instances"`         // by name
	// Peers is the daemon's membership state (transport.EncodeSaved), for a successor that takes over without a pause.
	Peers []byte `json:"peers,omitempty"`
	// Merges are the states of the sources that merge several origins, by the source's name. Earlier builds do not
	// write them.
	Merges map[string]*Merge `json:"merges,omitempty"`
}

// Merge is the state of a source that merges several origins.
type Merge struct {
	Key   string                `json:"key"`            // names the merged list in State.Sources
	List  string                `json:"list,omitempty"` // address of the list service
	State *endpoints.SavedState `json:"state"`
}

// DropTransient removes the state that may be used only by a successor that takes over immediately, without a pause in
// serving: the limits on requests in flight.
func (s *State) DropTransient() {
	for _, m := range s.Instances {
		if m != nil {
			m.Limit = 0
		}
	}
}

// Reasons for which Decode rejects a file. ErrCorrupt is returned for any damage, including a truncated header or
// invalid JSON. ErrTooOld is also returned for a state whose time of saving lies too far in the future.
var (
	ErrNotSnapshot = errors.New("not a state file of vetchhaven")
	ErrVersion     = errors.New("unknown version of the state file")
	ErrCorrupt     = errors.New("damaged state file")
	ErrTooOld      = errors.New("saved state is too old")
)

const (
	magic   = "vetchhaven-state"
	version = 1
)

// age returns the time since the state was saved. Within one boot of the machine it is the difference of the boot
// clock, which is never stepped. Across boots it is the difference of the wall clock, which may have been stepped by
// any amount, but at least the time since this boot. If either boot ID is unknown, it is the difference of the wall
// clock.
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

// Elapsed returns the time since the state was saved, as far as a clock that is never stepped shows it: 0 if the
// machine's boot is another one, or unknown.
func (s *State) Elapsed(now Moment) time.Duration {
	if now.BootID == "" || now.BootID != s.BootID {
		return 0
	}
	return max(0, s.age(now))
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// Encode returns the file's content: a line with the name, the version, and the CRC-64 and length of the body, then
// the body as JSON.
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

// Moment is the current time on the clocks of the machine.
type Moment struct {
	Wall      time.Time     // may be stepped
	BootID    string        // identifies the machine's boot; empty if unknown
	SinceBoot time.Duration // monotonic, including suspended time
}

// Decode parses the content of a file. It rejects a state that is older than maxAge, or was saved more than maxAge in
// the future. The error wraps ErrNotSnapshot, ErrVersion, ErrCorrupt or ErrTooOld.
func Decode(data []byte, now Moment, maxAge time.Duration) (*State, error) {
	body, err := openEnvelope(data)
	if err != nil {
		return nil, err
	}
	state := &State{}
	if err := json.Unmarshal(body, state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if age := state.age(now); age > maxAge || age < -maxAge {
		return nil, fmt.Errorf("%w: saved %v ago, the maximum age is %v", ErrTooOld, age.Round(time.Second), maxAge)
	}
	state.restoreLists()
	return state, nil
}

// restoreLists marks the saved lists as complete lists with version 0. They are used until each list itself is read;
// version 0 makes the reader request the complete list.
func (s *State) restoreLists() {
	for addr, list := range s.Sources {
		if list == nil {
			delete(s.Sources, addr)
			continue
		}
		list.Full, list.Version = true, 0
	}
	for name, merge := range s.Merges {
		if merge == nil || merge.State == nil {
			delete(s.Merges, name)
		}
	}
}

// openEnvelope checks the first line of a file and returns the body.
func openEnvelope(data []byte) ([]byte, error) {
	head, body, found := bytes.Cut(data, []byte{'\n'})
	if !bytes.HasPrefix(head, []byte(magic+" ")) {
		if len(data) <= len(magic) && bytes.HasPrefix([]byte(magic+" "), data) {
			return nil, ErrCorrupt // truncated within the name
		}
		return nil, ErrNotSnapshot
	}
	var fileVersion, length int
	var sum uint64
	n, err := fmt.Sscanf(string(head[len(magic):]), " %d %x %d", &fileVersion, &sum, &length)
	switch {
	case n >= 1 && fileVersion != version && (found || n > 1):
		return nil, fmt.Errorf("%w: got %d, want %d", ErrVersion, fileVersion, version)
	case err != nil || !found || length != len(body) || sum != crc64.Checksum(body, crcTable):
		return nil, ErrCorrupt
	}
	return body, nil
}
