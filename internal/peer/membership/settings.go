package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Settings are fixed for the life of a View. A zero value of a setting with a default takes the default.
type Settings struct {
	Name         string
	Addr         string // host:port under which other members reach this one
	Zone         string
	Region       string // empty: the region of all members that have none set
	Program      string // version of the program
	Boot         uint64 // see NextBootNumber
	RunID        uint64 // random
	Instances    int
	Balancers    int
	Seeds        []string // addresses to join by; the member's own among them does no harm
	KnownMembers []Record // of the last run: contacted first, trusted only once they answer

	// TakesOver says that this process replaces another one without a gap, under the same RunID: KnownMembers are the
	// other's present records and trusted. Incarnation, DatagramNumber and Uptime continue the other's.
	TakesOver      bool
	Incarnation    uint32
	DatagramNumber uint64
	Uptime         time.Duration

	ProbeInterval        time.Duration // between two probes; DefaultProbeInterval
	ProbeTimeout         time.Duration // of a direct probe, before it is sent through helpers; DefaultProbeTimeout
	IndirectTimeout      time.Duration // of the indirect probe after that; DefaultIndirectTimeout
	MinSuspicion         time.Duration // time for a suspect to refute, in fleets up to 100; DefaultMinSuspicion
	ReconnectFor         time.Duration // dead members are contacted again for this long; DefaultReconnectFor
	BytesPerSecond       int           // bound of datagrams, and again of streams: up to twice this in all; DefaultBytesPerSecond
	RemoteBytesPerSecond int           // of these, to other regions; a quarter by default
	MaxMembers           int           // bound of the known members; DefaultMaxMembers
	ConfiguredBalancers  int           // balancers of the whole fleet by the operator's file; valid until the view has settled

	// Baseline switches protections off, for the baselines in docs/measure/view.md. Nothing else sets it.
	Baseline BaselineMode
}

// BaselineMode selects weaker protocols to measure against.
type BaselineMode struct {
	NoSuspicion bool // a failed probe is death at once (SWIM without suspicion)
	NoLifeguard bool // no local health, no doubt after a pause, a fixed suspicion timeout (SWIM with suspicion)
}

// Defaults of Settings, each with its origin.
const (
	// DefaultProbeInterval costs ten datagrams a second, and a crash is probed within 0.92 s at the 99th percentile
	// (4.6 intervals). Shorter finds crashes sooner and costs more datagrams.
	DefaultProbeInterval = 200 * time.Millisecond
	// DefaultProbeTimeout is five round trips between the site's data centers (20 ms). Shorter asks helpers in vain.
	DefaultProbeTimeout = 100 * time.Millisecond
	// DefaultIndirectTimeout is two such round trips each way, and what a busy host adds.
	DefaultIndirectTimeout = 150 * time.Millisecond
	// DefaultMinSuspicion covers a pause of 1.5 s, less the 0.25 s before it is suspected, and 0.45 s to refute.
	// Shorter declares paused members dead; longer finds crashes later.
	DefaultMinSuspicion = 1700 * time.Millisecond
	// DefaultReconnectFor lets a partition over a night heal without an operator.
	DefaultReconnectFor = 24 * time.Hour
	// DefaultBytesPerSecond is reached in storms; at rest a member sends about 1 KB a second.
	DefaultBytesPerSecond = 32 << 10
	// DefaultMaxMembers is the fleet of two years from now (12,000) and a third more; at 0.5 KB each, 8 MB of an
	// agent's 64 MB.
	DefaultMaxMembers = 16384
)

// remoteBudgetDivisor makes RemoteBytesPerSecond this part of BytesPerSecond by default.
const remoteBudgetDivisor = 4

// withDefaults returns the settings with defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	s.ProbeInterval = cmp.Or(s.ProbeInterval, DefaultProbeInterval)
	s.ProbeTimeout = cmp.Or(s.ProbeTimeout, DefaultProbeTimeout)
	s.IndirectTimeout = cmp.Or(s.IndirectTimeout, DefaultIndirectTimeout)
	s.MinSuspicion = cmp.Or(s.MinSuspicion, DefaultMinSuspicion)
	s.ReconnectFor = cmp.Or(s.ReconnectFor, DefaultReconnectFor)
	s.BytesPerSecond = cmp.Or(s.BytesPerSecond, DefaultBytesPerSecond)
	s.MaxMembers = cmp.Or(s.MaxMembers, DefaultMaxMembers)
	s.RemoteBytesPerSecond = cmp.Or(s.RemoteBytesPerSecond, max(s.BytesPerSecond/remoteBudgetDivisor, minBytesPerSecond))
	return s
}

// minBytesPerSecond is the smallest budget by which a full datagram and its response can be sent.
const minBytesPerSecond = 2 * maxDatagramBytes

// check returns an error if a bound is missing. Names and addresses are checked with the member's own record.
func (s *Settings) check() error {
	intervals := min(s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout, s.MinSuspicion)
	bytesPerSecond := min(s.BytesPerSecond, s.RemoteBytesPerSecond)
	if intervals > 0 && bytesPerSecond >= minBytesPerSecond && s.MaxMembers >= 1 {
		return nil
	}
	return fmt.Errorf("probe interval %v, probe timeout %v, indirect timeout %v, min suspicion %v, %d bytes a second, "+
		"%d of them to other regions, %d members: all must be above 0, and bytes at least %d",
		s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout, s.MinSuspicion, s.BytesPerSecond,
		s.RemoteBytesPerSecond, s.MaxMembers, minBytesPerSecond)
}

// ownRecord is the record with which the member begins.
func (s *Settings) ownRecord() Record {
	return Record{
		Name:        s.Name,
		Addr:        s.Addr,
		Zone:        s.Zone,
		Region:      s.Region,
		Program:     s.Program,
		Boot:        s.Boot,
		RunID:       s.RunID,
		Incarnation: s.Incarnation,
		Instances:   uint32(s.Instances),
		Balancers:   uint32(s.Balancers),
	}
}
