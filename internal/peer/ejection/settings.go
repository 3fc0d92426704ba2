package ejection

import (
	"cmp"
	"fmt"
	"time"
)

// Settings configure a Member, and don't change while it runs. Zero values select the defaults below.
type Settings struct {
	// Name identifies this member in the fleet. Required.
	Name string
	// RunID distinguishes two runs of a member with the same name.
	RunID uint64
	// AlertInterval is the time between two polls while the member is alerted (see alertDuration).
	AlertInterval time.Duration
	// IdleInterval is the time between two polls otherwise.
	IdleInterval time.Duration
	// MaxEvidenceAge is the age above which evidence is ignored. It bounds how long an ejection lasts after the last
	// observed failure.
	MaxEvidenceAge time.Duration
	// MaxDrainAge is the age above which a drain is ignored unless this member's own list confirms it.
	MaxDrainAge time.Duration
	// MaxEjectedShare is the share of the servers of a zone or pod that may be ejected at the same time, 0 to 1.
	MaxEjectedShare float64
	// ClockDrift is the maximum relative difference between the rates of two members' clocks, 0 to 0.5.
	ClockDrift float64
	// BytesPerSecond limits the rate of bytes sent to other members; messages beyond it are dropped and counted as
	// Withheld.
	BytesPerSecond int
	// FormatVersion is the version of the messages sent. Version 1 polls a few random members about every failure. It
	// is still supported for tests of fleets with mixed versions.
	FormatVersion uint8
}

const (
	// DefaultAlertInterval equals the probe interval of the membership protocol. A shorter interval spreads reports
	// faster and costs proportionally more messages.
	DefaultAlertInterval = 200 * time.Millisecond
	// DefaultIdleInterval bounds the delay that a lost notification causes. With a shorter interval, members receive
	// updates sooner and send more messages when idle.
	DefaultIdleInterval = time.Second
	// DefaultMaxEvidenceAge is 20 s. In that time, ten agents with one request each in ten seconds send 20 requests,
	// one to each of twenty servers, so that a small fleet observes every server about once. A larger age helps fleets
	// with few requests and keeps wrong ejections for longer.
	DefaultMaxEvidenceAge = 20 * time.Second
	// DefaultMaxDrainAge is a time within which every list announces a real drain. A larger age keeps a revoked drain
	// for longer; a smaller one loses drains that a slow list has not announced yet.
	DefaultMaxDrainAge = 10 * time.Second
	// DefaultMaxEjectedShare covers a bad release on half of the servers. Envoy's max_ejection_percent has the same
	// purpose.
	DefaultMaxEjectedShare = 0.5
	// DefaultClockDrift is far above the drift of crystal oscillators (0.0002) and covers clocks that are being slewed.
	// A larger drift makes ages increase more with each hop.
	DefaultClockDrift = 0.01
	// DefaultBytesPerSecond is a bound for the worst case: about twice the cost of broadcasts among 1,000 agents. A
	// smaller bound withholds reports in a storm; a larger one lets a storm use more of the network.
	DefaultBytesPerSecond = 24 << 10

	// minBytesPerSecond allows two full messages a second.
	minBytesPerSecond = 4096
	// minPollsPerEvidenceAge is the minimum number of alert intervals in MaxEvidenceAge. With fewer, evidence would
	// expire before it reaches all members.
	minPollsPerEvidenceAge = 4
	// maxClockDrift keeps the conversion of ages between two clocks finite.
	maxClockDrift = 0.5

	// currentFormat is the newest version of messages. Members with version 1 poll a few others about every failure.
	currentFormat = 2
)

// withDefaults returns the settings with zero values replaced by defaults. If a value is out of range, it returns an
// error that lists all values.
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
