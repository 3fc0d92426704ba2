package daemonconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/tomlfile"
)

// Peers are the settings of the daemon as a member of its fleet.
type Peers struct {
	Fleet      string
	Name       string
	Zone       string
	Region     string
	Listen     string // address for datagrams and streams
	Advertise  string // address at which other members reach the daemon
	Seeds      []string
	Events     string // file for the event log; empty: no event log
	Membership membership.Settings
	Ejection   *ejection.Settings // nil: members do not share what they observe of servers
}

// peersTable is [peers] in the file.
type peersTable struct {
	Fleet           string
	Name            string
	Listen          string
	Advertise       string
	Seeds           []string
	Zone            string
	Region          string
	Events          string
	ProbeInterval   tomlfile.Duration `toml:"every"`
	ProbeTimeout    tomlfile.Duration `toml:"direct"`
	IndirectTimeout tomlfile.Duration `toml:"indirect"`
	MinSuspicion    tomlfile.Duration `toml:"suspect_least"`
	ReconnectFor    tomlfile.Duration `toml:"retry"`
	BytesPerS       int               `toml:"bytes_per_s"`
	RemoteBytesPerS int               `toml:"far_bytes_per_s"`
	Members         int
	sharedPeers
}

// Bounds of [peers].
const (
	// minBytesPerSecond is the bandwidth that failure detection alone needs.
	minBytesPerSecond = 4096
	// maxMembers is larger than any expected fleet.
	maxMembers = 100_000
)

// spanSetting is a setting that is a time span, with its bounds.
type spanSetting struct {
	key      string // in [peers]
	value    tomlfile.Duration
	min, max time.Duration
	def      time.Duration // the default
}

// peers checks [peers]; it returns nil if the file has none.
func (c *checker) peers(f *fileTables) *Peers {
	if f.Peers == nil {
		return nil
	}
	t := f.Peers
	p := &Peers{
		Fleet:     t.Fleet,
		Name:      t.Name,
		Zone:      t.Zone,
		Region:    t.Region,
		Listen:    t.Listen,
		Advertise: cmp.Or(t.Advertise, t.Listen),
		Seeds:     t.Seeds,
		Events:    t.Events,
	}
	c.peerAddresses(p)
	if p.Events != "" {
		p.Events = c.resolvePath(p.Events)
	}
	p.Membership = c.membership(t, p)
	if !(t.MaxEjectedShare >= 0 && t.MaxEjectedShare <= 1) { // negated so that NaN fails too
		c.fail("peers.out_most", "%v: a share from 0 to 1 is allowed", t.MaxEjectedShare)
	}
	age := c.boundedSpan(spanSetting{"evidence_age", t.MaxEvidenceAge, 2 * time.Second, 10 * time.Minute, ejection.DefaultMaxEvidenceAge})
	if t.ShareEjections == nil || *t.ShareEjections {
		p.Ejection = &ejection.Settings{MaxEjectedShare: t.MaxEjectedShare, MaxEvidenceAge: age}
	}
	return p
}

// peerAddresses checks the fleet's name, and the addresses of this daemon and of its seeds.
func (c *checker) peerAddresses(p *Peers) {
	if !membership.ValidFleet(p.Fleet) {
		c.fail("peers.fleet", "%q: 1 to 32 printable characters without spaces are allowed", p.Fleet)
	}
	c.hostPort("peers.listen", p.Listen)
	c.hostPort("peers.advertise", p.Advertise)
	if address, err := netip.ParseAddrPort(p.Advertise); err == nil && address.Addr().IsUnspecified() {
		c.fail("peers.advertise", "%q: an address at which other members reach this daemon is needed", p.Advertise)
	}
	for i, seed := range p.Seeds {
		c.hostPort(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
}

// membership checks the settings of failure detection.
func (c *checker) membership(t *peersTable, p *Peers) membership.Settings {
	s := membership.Settings{
		Name:                 p.Name,
		Addr:                 p.Advertise,
		Zone:                 p.Zone,
		Region:               p.Region,
		Seeds:                p.Seeds,
		BytesPerSecond:       t.BytesPerS,
		RemoteBytesPerSecond: t.RemoteBytesPerS,
		MaxMembers:           t.Members,
	}
	s.ProbeInterval = c.boundedSpan(spanSetting{"every", t.ProbeInterval, 20 * time.Millisecond, 10 * time.Second, membership.DefaultProbeInterval})
	s.ProbeTimeout = c.boundedSpan(spanSetting{"direct", t.ProbeTimeout, 5 * time.Millisecond, 10 * time.Second, membership.DefaultProbeTimeout})
	s.IndirectTimeout = c.boundedSpan(spanSetting{"indirect", t.IndirectTimeout, 5 * time.Millisecond, 10 * time.Second, membership.DefaultIndirectTimeout})
	s.MinSuspicion = c.boundedSpan(spanSetting{"suspect_least", t.MinSuspicion, 100 * time.Millisecond, 5 * time.Minute, membership.DefaultMinSuspicion})
	s.ReconnectFor = c.boundedSpan(spanSetting{"retry", t.ReconnectFor, time.Minute, 30 * 24 * time.Hour, membership.DefaultReconnectFor})
	c.bandwidth("peers.bytes_per_s", t.BytesPerS)
	c.bandwidth("peers.far_bytes_per_s", t.RemoteBytesPerS)
	if t.Members < 0 || t.Members > maxMembers {
		c.fail("peers.members", "%d: up to %d are allowed", t.Members, maxMembers)
	}
	if c.err == nil { // membership.New finds the remaining errors, in a name or a zone
		candidate := s
		candidate.Boot = 1
		candidate.RunID = 1
		if _, err := membership.New(candidate, 1); err != nil {
			c.fail("peers.name", "%v", err)
		}
	}
	return s
}

func (c *checker) boundedSpan(s spanSetting) time.Duration {
	key := "peers." + s.key
	span := c.positiveDuration(key, s.value, s.def)
	if span < s.min || span > s.max {
		c.fail(key, "%v: %v to %v are allowed", span, s.min, s.max)
	}
	return span
}

// bandwidth checks a bound in bytes per second. 0 means the default.
func (c *checker) bandwidth(key string, bytes int) {
	if bytes < 0 || bytes > 0 && bytes < minBytesPerSecond {
		c.fail(key, "%d: at least %d are needed", bytes, minBytesPerSecond)
	}
}

// PeerAddresses returns the addresses at which the daemon listens for streams from peers.
func (c *Config) PeerAddresses() []Address {
	if c.Peers == nil {
		return nil
	}
	return []Address{{"tcp", c.Peers.Listen}}
}
