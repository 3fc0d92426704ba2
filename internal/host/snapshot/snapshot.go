// Package snapshot encodes the state that a daemon saves for the one that starts after it (the file last.state), and decides what
// of it that one may use. It does no I/O: internal/host/daemon reads and writes the file.
//
// The file holds the last good endpoint lists, which are used until the list service has been read, and the measured durations. It
// does not hold retry tokens, slow-start budgets, failure counts and ejections: they allowed or forbade something at a moment that
// is over, and each could break a rule when restored (a slow-start budget that was spent would be spent again) or keep a recovered
// endpoint out. The limit on requests in flight passes only to a successor that serves the same clients at once, see
// State.DropTransient.
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

// State is the content of the file.
type State struct {
	SavedMS     int64                         `json:"saved_ms"`          // Unix time
	BootID      string                        `json:"boot,omitempty"`    // of the machine: the boot that SinceBootMS counts from
	SinceBootMS int64                         `json:"boot_ms,omitempty"` // ms, monotonic
	Sources     map[string]*discovery.Members `json:"sources"`           // by the list's address
	Instances   map[string]*core.Memory       `json:"instances"`         // by name
	// Peers is the daemon's membership state (transport.EncodeSaved), for a successor that takes over without a gap.
	Peers []byte `json:"peers,omitempty"`
}

// DropTransient removes what holds only for a successor that takes over without a pause: the limits on requests in flight.
func (s *State) DropTransient() {
	for _, m := range s.Instances {
		if m != nil {
			m.Limit = 0
		}
	}
}

// Reasons for which Decode rejects a file. ErrCorrupt stands for any damage, also a header that is cut off or JSON that does not
// parse; ErrTooOld also for a state that seems to be saved that far in the future.
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

// age is the time since the state was saved. Within one boot of the machine it is the difference of the boot clock, which nothing
// steps. Across boots it is taken from the wall clock, which may have been stepped by any span, but is at least the time since this
// boot. Where either boot is not known it is taken from the wall clock alone.
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

// Encode returns the file's content: a line with name, version, CRC-64 and length of the body, then the body as JSON.
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

// Moment is the present time as the machine has it.
type Moment struct {
	Wall      time.Time     // may be stepped
	BootID    string        // names the machine's start; empty: it is not known
	SinceBoot time.Duration // monotonic, suspended time included
}

// Decode reads a file, and refuses one whose age is over maxAge, or that lies further than maxAge in the future. The error wraps
// ErrNotSnapshot, ErrVersion, ErrCorrupt or ErrTooOld.
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
		return nil, fmt.Errorf("%w: saved %v ago, at most %v are believed", ErrTooOld, age.Round(time.Second), maxAge)
	}
	state.restoreLists()
	return state, nil
}

// restoreLists makes the saved lists hold until each list itself is read: version 0 has the complete list asked for.
func (s *State) restoreLists() {
	for addr, list := range s.Sources {
		if list == nil {
			delete(s.Sources, addr)
			continue
		}
		list.Full, list.Version = true, 0
	}
}

// openEnvelope checks the first line of a file, and returns its body.
func openEnvelope(data []byte) ([]byte, error) {
	head, body, found := bytes.Cut(data, []byte{'\n'})
	if !bytes.HasPrefix(head, []byte(magic+" ")) {
		if len(data) <= len(magic) && bytes.HasPrefix([]byte(magic+" "), data) {
			return nil, ErrCorrupt // cut off within the name
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
	return body, nil
}
