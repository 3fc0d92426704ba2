package policy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Settings are the settings of a Node. They do not change while it runs.
type Settings struct {
	Name   string
	RunID  uint64   // run ID of this process; it is new at each start
	Voters []string // initial voters of a new fleet; the log contains later changes of the voters
	// StopWhenIsolated selects what happens to a member that can't reach the voters. If true, the member stops
	// admitting requests when its lease expires, and changes are committed without it. If false, it continues to
	// serve, and a change is aborted if a member can't be reached in time.
	StopWhenIsolated bool
	// If ServeLastKnown is set, a member that starts and reaches no voter serves by the last policy on its disk.
	ServeLastKnown bool
	Lease          time.Duration // default DefaultLease, at least minLease
	// PrepareTimeout is the time within which all members have to persist a change; default DefaultPrepareTimeout.
	PrepareTimeout time.Duration
	// StandaloneAfter is how long after the start, without any response, ServeLastKnown takes effect; default
	// DefaultStandaloneAfter.
	StandaloneAfter time.Duration
	// ClockDrift is the relative deviation of a clock's rate that is tolerated, up or down; default DefaultClockDrift.
	ClockDrift float64
	Parts      []string // parts that the member holds at the start, besides the global one; see SetParts
	// Check reports whether this member could serve by these documents: one for each part that it holds and that has a
	// document. It must not block.
	Check   func(documents []Document) error
	Handoff *HandoffState // state of the process that this one replaces without a gap; nil: it replaces none
}

// HandoffState is the state that a process passes to the process that replaces it.
type HandoffState struct {
	ActiveNumber   uint64        `cbor:"1,keyasint,omitempty"` // number of the active global document
	LeaseRemaining time.Duration `cbor:"2,keyasint,omitempty"`
	Seq            uint64        `cbor:"3,keyasint,omitempty"` // Seq of the last lease request
	Parts          []DocumentRef `cbor:"4,keyasint,omitempty"` // active documents of the parts that the process served
	// Format is the format of the process. 0 means format 1: the roster counts the member for every part.
	Format uint8 `cbor:"5,keyasint,omitempty"`
}

// ServedParts returns those of the configured parts that the successor may serve without a gap. These are the parts
// whose active document at the predecessor equals the one that document returns.
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
	// DefaultLease keeps most leases valid during two elections of a leader (each takes at most 3.0 s on average).
	// With a shorter lease, members stop during an election. With a longer one, an unreachable member delays changes
	// for longer.
	DefaultLease = 5 * time.Second
	// DefaultPrepareTimeout is longer than 200 members take to fetch 64 KB each from one voter. With a longer
	// timeout, a change that a member does not persist is aborted later.
	DefaultPrepareTimeout = 10 * time.Second
	// DefaultStandaloneAfter is longer than a running voter takes to respond. With a shorter span, a member may serve
	// by an old policy although it could reach the voters.
	DefaultStandaloneAfter = 3 * time.Second
	// DefaultClockDrift is far above the drift of synchronized and of free-running clocks (below 0.001). Each 0.01
	// adds 2% to the time after which a lease has certainly expired.
	DefaultClockDrift = 0.01
)

// Bounds of Settings.
const (
	// minLease covers several round trips and disk writes: with a shorter lease, members would lose their leases in
	// normal operation.
	minLease = 500 * time.Millisecond
	// minPrepareTimeout covers one slow disk write, which would otherwise abort changes.
	minPrepareTimeout = time.Second
	// maxClockDrift is a drift that only a broken clock exceeds.
	maxClockDrift = 0.2
)

// prepare sets the defaults, and returns an error if a setting is not allowed.
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

// normalizeParts returns the names sorted and without duplicates. It leaves out the global part, which every member
// holds.
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

// LeaseExpiry returns the span by the leader's clock, counted from when the leader granted a lease, after which the
// lease has certainly expired at its member. The member counts Lease from its request, which was earlier, but its
// clock may be slow and the leader's clock fast.
func (s *Settings) LeaseExpiry() time.Duration {
	return time.Duration(float64(s.Lease) * (1 + s.ClockDrift) / (1 - s.ClockDrift))
}
