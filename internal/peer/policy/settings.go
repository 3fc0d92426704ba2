package policy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Settings are fixed for the life of a Node.
type Settings struct {
	Name   string
	RunID  uint64   // of this process; a new one at each start
	Voters []string // of a new fleet; later ones are agreed on in the log
	// StopWhenIsolated: a member that is cut off stops admitting requests when its lease expires, and changes are
	// committed without it. Otherwise it serves on, and a change is aborted if a member can't be reached in time.
	StopWhenIsolated bool
	// ServeLastKnown: a member that starts and reaches no voter serves by the last policy on its disk.
	ServeLastKnown  bool
	Lease           time.Duration // default DefaultLease, at least minLease
	PrepareTimeout  time.Duration // for all members to persist a change; default DefaultPrepareTimeout
	StandaloneAfter time.Duration // without a response since the start; default DefaultStandaloneAfter
	ClockDrift      float64       // by which the rate of a clock may differ, each way; default DefaultClockDrift
	Parts           []string      // held at the start, besides the global one; see SetParts
	// Check reports whether this member could serve by these documents, one for each part that it holds and that has
	// any. It must not block.
	Check   func(documents []Document) error
	Handoff *HandoffState // of the process that this one replaces without a gap; nil: none
}

// HandoffState is what a process passes on to the one that replaces it.
type HandoffState struct {
	Number         uint64        `cbor:"1,keyasint,omitempty"` // of the active global document
	LeaseRemaining time.Duration `cbor:"2,keyasint,omitempty"`
	Seq            uint64        `cbor:"3,keyasint,omitempty"` // of its last lease request
	Parts          []DocumentRef `cbor:"4,keyasint,omitempty"` // that it served, with the active documents
	Format         uint8         `cbor:"5,keyasint,omitempty"` // 0: format 1, whose roster counts it for every part
}

// ServedParts returns the configured parts that may be served without a gap: those whose active document is the one
// known here.
func (h *HandoffState) ServedParts(configured []string, document func(part string) Document) (parts []string) {
	if h.Format == 0 {
		return configured
	}
	for _, ref := range h.Parts {
		d := document(ref.Part)
		if slices.Contains(configured, ref.Part) && d.Number == ref.Number && d.ID == ref.ID {
			parts = append(parts, ref.Part)
		}
	}
	return parts
}

// Defaults of Settings.
const (
	// DefaultLease leaves most leases valid over two elections of a leader (each at most 3.0 s in the mean). A shorter
	// one stops members at an election; a longer one delays changes while a member is unreachable.
	DefaultLease = 5 * time.Second
	// DefaultPrepareTimeout is longer than 200 members take to fetch 64 KB each from one voter. A longer one delays the
	// abort of a change that a member can't take.
	DefaultPrepareTimeout = 10 * time.Second
	// DefaultStandaloneAfter is longer than a running voter takes to respond. A shorter one serves by an old policy
	// although voters are there.
	DefaultStandaloneAfter = 3 * time.Second
	// DefaultClockDrift is far above what a clock that is disciplined or free-running shows (below 0.001). Each 0.01
	// adds 2% to the span after which a lease certainly expired.
	DefaultClockDrift = 0.01
)

// Bounds of Settings.
const (
	// minLease is several round trips and writes of a disk: with less, members would lose their leases in normal work.
	minLease = 500 * time.Millisecond
	// minPrepareTimeout: with less, changes would be aborted by one slow write of a disk.
	minPrepareTimeout = time.Second
	// maxClockDrift: with more, a clock is broken.
	maxClockDrift = 0.2
)

// prepare sets the defaults and returns an error for settings that are not allowed.
func (s *Settings) prepare() error {
	s.applyDefaults()
	if s.Name == "" || s.RunID == 0 {
		return errors.New("policy: a member needs a name and a run ID")
	}
	if n := len(s.Voters); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("policy: %d voters: 1, 3 or 5 are allowed", n)
	}
	if err := s.validateSpans(); err != nil {
		return err
	}
	parts, err := normalizeParts(s.Parts)
	if err != nil {
		return err
	}
	s.Parts = parts
	for i, voter := range s.Voters {
		if voter == "" || slices.Index(s.Voters, voter) != i {
			return fmt.Errorf("policy: voter %q is empty or listed twice", voter)
		}
	}
	return nil
}

func (s *Settings) applyDefaults() {
	s.Lease = cmp.Or(s.Lease, DefaultLease)
	s.PrepareTimeout = cmp.Or(s.PrepareTimeout, DefaultPrepareTimeout)
	s.StandaloneAfter = cmp.Or(s.StandaloneAfter, DefaultStandaloneAfter)
	s.ClockDrift = cmp.Or(s.ClockDrift, DefaultClockDrift)
}

func (s *Settings) validateSpans() error {
	switch {
	case s.Lease < minLease:
		return fmt.Errorf("policy: lease %v: at least %v is allowed", s.Lease, minLease)
	case s.PrepareTimeout < minPrepareTimeout:
		return fmt.Errorf("policy: prepare timeout %v: at least %v is allowed", s.PrepareTimeout, minPrepareTimeout)
	case s.StandaloneAfter <= 0:
		return fmt.Errorf("policy: standalone after %v: more than 0 is allowed", s.StandaloneAfter)
	case s.ClockDrift < 0 || s.ClockDrift > maxClockDrift:
		return fmt.Errorf("policy: clock drift %v: 0 to %v are allowed", s.ClockDrift, maxClockDrift)
	}
	return nil
}

// normalizeParts returns the names in order, each once, without the global part, which every member holds.
func normalizeParts(names []string) ([]string, error) {
	parts := slices.Compact(slices.Sorted(slices.Values(names)))
	parts = slices.DeleteFunc(parts, func(part string) bool { return part == "" })
	if len(parts) > MaxPartsPerMember {
		return nil, fmt.Errorf("policy: a member with %d parts: up to %d are allowed", len(parts), MaxPartsPerMember)
	}
	for _, part := range parts {
		if len(part) > MaxPartNameBytes {
			return nil, fmt.Errorf("policy: part %q: names have up to %d bytes", part, MaxPartNameBytes)
		}
	}
	return parts, nil
}

// LeaseExpiry is the span after which a lease certainly expired, counted from when the leader granted it. The member
// counts Lease from its request, which was earlier, but its clock may be slow and the leader's fast.
func (s *Settings) LeaseExpiry() time.Duration {
	return time.Duration(float64(s.Lease) * (1 + s.ClockDrift) / (1 - s.ClockDrift))
}
