package daemonconfig

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/tomlfile"
)

// Peers are how the daemon stands among others; nil: it stands alone.
type Peers struct {
	Fleet, Name, Zone, Region string
	Listen                    string // udp and tcp
	Advertise                 string
	Seeds                     []string
	Events                    string // a file; empty: none
	Membership                membership.Settings
	Ejection                  *ejection.Settings // nil: what members know of servers is not shared
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

// peers checks [peers]; nil where the file has none.
func (c *checker) peers(f *fileTables) *Peers {
	if f.Peers == nil {
		return nil
	}
	in := f.Peers
	at := func(field string) string { return "peers." + field }
	p := &Peers{Fleet: in.Fleet, Name: in.Name, Zone: in.Zone, Region: in.Region, Listen: in.Listen, Advertise: in.Advertise, Seeds: in.Seeds, Events: in.Events}
	if !membership.ValidFleet(p.Fleet) {
		c.fail(at("fleet"), "%q: 1 to 32 printable characters without spaces are allowed", p.Fleet)
	}
	if p.Advertise == "" {
		p.Advertise = p.Listen
	}
	for _, a := range []struct {
		field, addr string
	}{{"listen", p.Listen}, {"advertise", p.Advertise}} {
		c.hostPort(at(a.field), a.addr)
	}
	if a, err := netip.ParseAddrPort(p.Advertise); err == nil && a.Addr().IsUnspecified() {
		c.fail(at("advertise"), "%q: others need an address at which they reach this daemon", p.Advertise)
	}
	for i, s := range p.Seeds {
		c.hostPort(fmt.Sprintf("peers.seeds[%d]", i), s)
	}
	if p.Events != "" && !filepath.IsAbs(p.Events) {
		p.Events = filepath.Join(filepath.Dir(c.Path), p.Events)
	}
	limit := func(field string, d tomlfile.Duration, least, most, instead time.Duration) time.Duration {
		v := c.positiveDuration(at(field), d, instead)
		if v < least || v > most {
			c.fail(at(field), "%v: %v to %v are allowed", v, least, most)
		}
		return v
	}
	s := membership.Settings{Name: p.Name, Addr: p.Advertise, Zone: p.Zone, Region: p.Region, Seeds: p.Seeds, BytesPerSecond: in.BytesPerS, RemoteBytesPerSecond: in.RemoteBytesPerS, MaxMembers: in.Members,
		ProbeInterval:   limit("every", in.ProbeInterval, 20*time.Millisecond, 10*time.Second, membership.DefaultProbeInterval),
		ProbeTimeout:    limit("direct", in.ProbeTimeout, 5*time.Millisecond, 10*time.Second, membership.DefaultProbeTimeout),
		IndirectTimeout: limit("indirect", in.IndirectTimeout, 5*time.Millisecond, 10*time.Second, membership.DefaultIndirectTimeout),
		MinSuspicion:    limit("suspect_least", in.MinSuspicion, 100*time.Millisecond, 5*time.Minute, membership.DefaultMinSuspicion),
		ReconnectFor:    limit("retry", in.ReconnectFor, time.Minute, 30*24*time.Hour, membership.DefaultReconnectFor)}
	if in.BytesPerS < 0 || in.BytesPerS > 0 && in.BytesPerS < 4096 {
		c.fail(at("bytes_per_s"), "%d: at least 4096 are needed", in.BytesPerS)
	}
	if in.RemoteBytesPerS < 0 || in.RemoteBytesPerS > 0 && in.RemoteBytesPerS < 4096 {
		c.fail(at("far_bytes_per_s"), "%d: at least 4096 are needed", in.RemoteBytesPerS)
	}
	if in.Members < 0 || in.Members > 100_000 {
		c.fail(at("members"), "%d: up to 100000 are allowed", in.Members)
	}
	if c.err == nil {
		probe := s
		probe.Boot, probe.RunID = 1, 1
		if _, err := membership.New(probe, 1); err != nil { // a name, a zone
			c.fail(at("name"), "%v", err)
		}
	}
	p.Membership = s
	if !(in.MaxEjectedShare >= 0 && in.MaxEjectedShare <= 1) {
		c.fail(at("out_most"), "%v: a share from 0 to 1 is allowed", in.MaxEjectedShare)
	}
	age := limit("evidence_age", in.MaxEvidenceAge, 2*time.Second, 10*time.Minute, ejection.DefaultMaxEvidenceAge)
	if in.ShareEjections == nil || *in.ShareEjections {
		p.Ejection = &ejection.Settings{MaxEjectedShare: in.MaxEjectedShare, MaxEvidenceAge: age}
	}
	return p
}

// PeerAddresses is where it listens for exchanges.
func (cfg *Config) PeerAddresses() []Address {
	if cfg.Peers == nil {
		return nil
	}
	return []Address{{"tcp", cfg.Peers.Listen}}
}
