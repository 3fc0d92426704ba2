package ejection

import (
	"cmp"
	"fmt"
	"time"
)

// Settings are fixed for the life of a Member. Zero values take the defaults below.
type Settings struct {
	// Name identifies this member in the fleet. Required.
	Name string
	// RunID distinguishes two runs of a member of the same name.
	RunID uint64
	// AlertInterval is the time between two polls after something new was learnt, see alertDuration.
	AlertInterval time.Duration
	// IdleInterval is the time between two polls otherwise.
	IdleInterval time.Duration
	// MaxEvidenceAge is the age past which evidence is ignored everywhere. It bounds how long an ejection outlives the
	// last observed failure.
	MaxEvidenceAge time.Duration
	// MaxDrainAge is the age past which a drain that this member's own list does not confirm is ignored.
	MaxDrainAge time.Duration
	// MaxEjectedShare is the share of a zone's or a pod's servers that may be ejected at once, 0 to 1.
	MaxEjectedShare float64
	// ClockDrift is the relative difference that the rates of two members' clocks may have, 0 to 0.5.
	ClockDrift float64
	// BytesPerSecond limits what is sent to other members; messages beyond it are dropped and counted as Withheld.
	BytesPerSecond int
	// FormatVersion is the version of the messages sent. Version 1, which polls a few random members about every failure,
	// remains for trials of fleets of mixed versions.
	FormatVersion uint8
}

const (
	// DefaultAlertInterval equals the probe interval of the membership protocol. Smaller spreads reports faster and
	// costs messages in proportion.
	DefaultAlertInterval = 200 * time.Millisecond
	// DefaultIdleInterval bounds what a lost notification costs. Smaller finds updates sooner and costs messages at rest.
	DefaultIdleInterval = time.Second
	// DefaultMaxEvidenceAge is 20 s: ten agents with a request in ten seconds each make 20 requests then, one at each of twenty
	// servers: a small fleet observes every server about once within it.
	// Larger helps fleets of few requests and keeps wrong ejections for longer.
	DefaultMaxEvidenceAge = 20 * time.Second
	// DefaultMaxDrainAge is a time within which every list announces a real drain. Larger keeps a drain that was taken
	// back for longer, smaller loses drains that a slow list has yet to announce.
	DefaultMaxDrainAge = 10 * time.Second
	// DefaultMaxEjectedShare covers a bad release on half of the servers. Envoy's max_ejection_percent has the same role.
	DefaultMaxEjectedShare = 0.5
	// DefaultClockDrift is far beyond crystals (0.0002) and covers clocks that are being slewed. Larger makes ages grow
	// faster on the way.
	DefaultClockDrift = 0.01
	// DefaultBytesPerSecond is a bound for the worst case: about twice what broadcasts among 1,000 agents cost. Smaller
	// withholds reports in a storm, larger lets one cost more of the network.
	DefaultBytesPerSecond = 24 << 10

	// minBytesPerSecond admits two full messages a second.
	minBytesPerSecond = 4096
	// minPollsPerEvidenceAge is how many alert intervals have to fit into MaxEvidenceAge: with fewer, evidence would
	// expire before it went round.
	minPollsPerEvidenceAge = 4
	// maxClockDrift keeps the conversion of ages between two clocks finite.
	maxClockDrift = 0.5

	// currentFormat is the newest version of messages. Members of version 1 polled a few others about every failure.
	currentFormat = 2
)

// withDefaults returns the settings with defaults in place of zero values, or an error that names all values where one
// of them is out of its range.
func (s Settings) withDefaults() (Settings, error) {
	s.AlertInterval = cmp.Or(s.AlertInterval, DefaultAlertInterval)
	s.IdleInterval = cmp.Or(s.IdleInterval, DefaultIdleInterval)
	s.MaxEvidenceAge = cmp.Or(s.MaxEvidenceAge, DefaultMaxEvidenceAge)
	s.MaxDrainAge = cmp.Or(s.MaxDrainAge, DefaultMaxDrainAge)
	s.MaxEjectedShare = cmp.Or(s.MaxEjectedShare, DefaultMaxEjectedShare)
	s.ClockDrift = cmp.Or(s.ClockDrift, DefaultClockDrift)
	s.BytesPerSecond = cmp.Or(s.BytesPerSecond, DefaultBytesPerSecond)
	s.FormatVersion = cmp.Or(s.FormatVersion, currentFormat)
	invalid := s.Name == "" ||
		s.AlertInterval <= 0 ||
		s.IdleInterval < s.AlertInterval ||
		s.MaxEvidenceAge < minPollsPerEvidenceAge*s.AlertInterval ||
		s.MaxEjectedShare < 0 || s.MaxEjectedShare > 1 ||
		s.ClockDrift < 0 || s.ClockDrift > maxClockDrift ||
		s.BytesPerSecond < minBytesPerSecond ||
		s.FormatVersion > currentFormat
	if invalid {
		return s, fmt.Errorf("ejection settings out of range: name %q, alert interval %v, idle interval %v, evidence age %v, ejected share %v, clock drift %v, bytes per second %d, format %d",
			s.Name, s.AlertInterval, s.IdleInterval, s.MaxEvidenceAge, s.MaxEjectedShare, s.ClockDrift, s.BytesPerSecond, s.FormatVersion)
	}
	return s, nil
}
