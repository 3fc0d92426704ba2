package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Settings configure a View, and don't change while it runs. A zero value selects the default if the setting has one.
type Settings struct {
	Name         string
	Addr         string // host:port under which other members reach this one
	Zone         string
	Region       string // all members without a region form one region
	Version      string // version of the program
	Boot         uint64 // see NextBootNumber
	RunID        uint64 // random
	Instances    int
	Balancers    int
	Seeds        []string // addresses used to join the fleet; they may include the member's own
	KnownMembers []Record // members of the last run: used to join and for the first BalancerCount, not added to the view

	// TakesOver marks this process as the successor of another one, without a gap and with the same RunID. KnownMembers
	// are then the predecessor's current records, and are trusted. Incarnation, DatagramNumber and Uptime continue the
	// predecessor's values.
	TakesOver      bool
	Incarnation    uint32
	DatagramNumber uint64
	Uptime         time.Duration

	// The comment of a setting with a default ends with the default.
	ProbeInterval        time.Duration // time between two probes; DefaultProbeInterval
	ProbeTimeout         time.Duration // timeout of a direct probe, before helpers are used; DefaultProbeTimeout
	IndirectTimeout      time.Duration // timeout of the indirect probe that follows; DefaultIndirectTimeout
	MinSuspicion         time.Duration // time for a suspect to refute in fleets up to 100; DefaultMinSuspicion
	ReconnectFor         time.Duration // how long dead members are contacted again; DefaultReconnectFor
	BytesPerSecond       int           // for datagrams, and again for streams: twice this in all; DefaultBytesPerSecond
	RemoteBytesPerSecond int           // part of these limits for traffic to other regions; a quarter
	MaxMembers           int           // maximum number of members in the view; DefaultMaxMembers
	ConfiguredBalancers  int           // balancers of the fleet by the operator's file; used until the view has settled

	// Baseline disables protections, for the baseline measurements in docs/measure/view.md. Leave it zero otherwise.
	Baseline BaselineMode
}

// BaselineMode selects weaker protocols for comparison in measurements.
type BaselineMode struct {
	NoSuspicion bool // a member is dead as soon as a probe of it fails (SWIM without suspicion)
	NoLifeguard bool // no local health, no pause detection, a fixed suspicion timeout (SWIM with suspicion)
}

// Defaults of Settings.
const (
	// DefaultProbeInterval costs ten datagrams a second. A crashed member is probed within 0.92 s at the 99th
	// percentile (4.6 intervals). A shorter interval detects crashes sooner and costs more datagrams.
	DefaultProbeInterval = 200 * time.Millisecond
	// DefaultProbeTimeout is five round trips between the site's data centers (20 ms). With a shorter timeout, helpers
	// are used needlessly.
	DefaultProbeTimeout = 100 * time.Millisecond
	// DefaultIndirectTimeout is two such round trips each way, plus a margin for a busy host.
	DefaultIndirectTimeout = 150 * time.Millisecond
	// DefaultMinSuspicion covers a pause of 1.5 s, less the 0.25 s before the paused member is suspected, plus 0.45 s
	// to refute. A shorter time declares paused members dead; a longer one delays the detection of crashes.
	DefaultMinSuspicion = 1700 * time.Millisecond
	// DefaultReconnectFor lets a partition that lasts overnight heal without an operator.
	DefaultReconnectFor = 24 * time.Hour
	// DefaultBytesPerSecond is reached only during storms of updates; an idle member sends about 1 KB a second.
	DefaultBytesPerSecond = 32 << 10
	// DefaultMaxMembers is a third more than the fleet size expected in two years (12,000). At 0.5 KB for each member
	// this takes 8 MB of an agent's 64 MB.
	DefaultMaxMembers = 16384
)

// remoteBudgetDivisor is the ratio of BytesPerSecond to RemoteBytesPerSecond by default.
const remoteBudgetDivisor = 4

// withDefaults returns the settings with zero values replaced by defaults.
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

// minBytesPerSecond is the smallest byte rate that is accepted: a full datagram and its response in one second.
const minBytesPerSecond = 2 * maxDatagramBytes

// check returns an error if a duration or limit is out of range. Names and addresses are checked in the member's own
// record.
func (s *Settings) check() error {
	intervals := min(s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout, s.MinSuspicion)
	bytesPerSecond := min(s.BytesPerSecond, s.RemoteBytesPerSecond)
	if intervals > 0 && bytesPerSecond >= minBytesPerSecond && s.MaxMembers >= 1 {
		return nil
	}
	return fmt.Errorf("probe interval %v, probe timeout %v, indirect timeout %v, min suspicion %v, %d bytes per second, "+
		"%d of them to other regions, %d members: all must be greater than 0, and bytes per second at least %d",
		s.ProbeInterval, s.ProbeTimeout, s.IndirectTimeout, s.MinSuspicion, s.BytesPerSecond,
		s.RemoteBytesPerSecond, s.MaxMembers, minBytesPerSecond)
}

// ownRecord returns the initial record of the local member.
func (s *Settings) ownRecord() Record {
	return Record{
		Name:        s.Name,
		Addr:        s.Addr,
		Zone:        s.Zone,
		Region:      s.Region,
		Version:     s.Version,
		Boot:        s.Boot,
		RunID:       s.RunID,
		Incarnation: s.Incarnation,
		Instances:   uint32(s.Instances),
		Balancers:   uint32(s.Balancers),
	}
}
