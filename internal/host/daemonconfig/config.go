// Package daemonconfig reads a daemon's settings file (TOML) and the policy of its fleet that is laid over it, checks both
// whole, and turns them into what the daemon uses. It decides what a file means, and has no state: a Config is not changed
// once it is made. Mistakes are reported with the file, line and key at fault; the first one is returned.
//
// A policy replaces whole tables of the file ([site], [[class]], ...), and a service's part of it replaces or adds the
// service's source, classes and bans: see Overlay. Where a daemon does not know which of two policies is active,
// Config.Under makes the configuration of what both allow.
//
// internal/host/daemon calls it from its own goroutine, but CheckUnder from the transport's; commands use Load and
// CheckPolicy without a daemon.
package daemonconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/protocol/ldap"
	"vetchhaven/internal/tomlfile"
)

// Config is a settings file under a policy, checked whole and turned into what the daemon uses.
type Config struct {
	Path        string
	Admin       Address
	StateDir    string        // "": nothing is saved
	MaxStateAge time.Duration // of a snapshot that is used
	Sources     map[string]Source
	Instances   []Instance // by name
	Supervise   supervise.Settings
	MemoryMB    int // of the process; 0: not bounded
	Sockets     int // of the process
	Drain       time.Duration
	Balancers   int    // of the whole fleet, as the file says
	Peers       *Peers // nil: the daemon stands alone
	Limits      *Limits
	Bans        []Ban
	Policy      *PolicySettings // nil: none is agreed on

	text    []byte   // the file's own text
	overlay *Overlay // the policy over it; nil: none
}

// Address is where something listens: Network is tcp, udp or unix.
type Address struct{ Network, Addr string }

// String returns the network and the address, with a colon between them.
func (a Address) String() string { return a.Network + ":" + a.Addr }

// Source is an endpoint list, from a list service, from records, or from both.
type Source struct {
	Name   string
	List   string        // address of a list service; may be empty where there are records
	Spread time.Duration // over which instances take a change
	First  time.Duration // over which they take the first list
	// SRV names and service types to browse, by unicast DNS at these resolvers.
	SRV       []string
	Browse    []string
	Resolvers []string
	// Multicast is a service type that is announced by multicast DNS; Group is the group, or one responder's address.
	Multicast string
	Group     string
	Hold      time.Duration // how long the last records hold where none can be had
}

// Records reports whether names are read besides, or in place of, a list.
func (s Source) Records() bool { return len(s.SRV)+len(s.Browse) > 0 || s.Multicast != "" }

// Key names a source's list in what is saved.
func (s Source) Key() string {
	if !s.Records() {
		return s.List
	}
	parts := []string{s.List, "dns", s.Multicast}
	parts = append(parts, s.SRV...)
	parts = append(parts, s.Browse...)
	return strings.Join(parts, " ")
}

// Instance is one agent.
type Instance struct {
	Name   string
	Listen Address
	Source string        // by name
	Agent  core.Config   // but for its seed and memory
	LDAP   *ldap.Options // nil: it speaks HTTP/1.1
}

// EqualExceptSource reports whether nothing but the source differs: that can change in a running agent.
func (i Instance) EqualExceptSource(o Instance) bool {
	i.Source = ""
	o.Source = ""
	return reflect.DeepEqual(i, o)
}

// Bounds of a configuration.
const (
	// maxInstances bounds the instances of one process: each has sockets, memory and a loop of its own.
	maxInstances = 10000
	// MinSocketShare is how many sockets an instance has at the least, for its clients and servers together.
	MinSocketShare = 16
	// ProcessSockets are reserved for the process itself.
	ProcessSockets = 64
	// defaultMargin is an instance's timer margin where its file has no tick.
	defaultMargin = 5 * time.Millisecond
)

// Defaults of the file.
const (
	// defaultMaxStateAge is how old a snapshot may be. What an older one says of endpoints is wrong more often than right.
	defaultMaxStateAge = time.Hour
	// defaultHold is how long the last records hold. Longer ones keep servers that are gone; shorter ones lose all of them
	// while DNS is down.
	defaultHold = time.Hour
	// defaultSpread and defaultFirstSpread keep the agents of a fleet from acting on a list in the same moment.
	defaultSpread      = 300 * time.Millisecond
	defaultFirstSpread = 500 * time.Millisecond
)

// Load reads and checks the file at path.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the operation and the path
	}
	return parse(path, text, nil)
}

// parse reads and checks a file's text under a policy, which may be nil.
func parse(path string, text []byte, overlay *Overlay) (*Config, error) {
	var tables fileTables
	file, err := tomlfile.Parse(path, text, &tables)
	if err != nil {
		return nil, err
	}
	if err := overlay.applyTo(&tables); err != nil {
		return nil, err
	}
	cfg, err := check(file, &tables, overlay)
	if err != nil {
		return nil, err
	}
	cfg.text = text
	cfg.overlay = overlay
	return cfg, nil
}

// check checks the tables, and turns them into a Config. The first mistake is returned.
func check(file *tomlfile.File, f *fileTables, overlay *Overlay) (*Config, error) {
	c := &checker{File: file, overlay: overlay}
	cfg := &Config{Path: file.Path, StateDir: f.StateDir, Sources: map[string]Source{}, MemoryMB: f.Limits.MemoryMB}
	if f.StateDir != "" {
		cfg.StateDir = c.resolvePath(f.StateDir)
	}
	c.process(f, cfg)
	for i := range f.Source {
		c.source(i, &f.Source[i], cfg)
	}
	if len(f.Source) == 0 {
		c.fail("source", "at least one [[source]] is needed")
	}
	if len(f.Site.Zones) == 0 {
		f.Site.Zones = []string{""}
	}
	common := c.classes(f, f.Class)
	cfg.Balancers = common.settings.Balancers
	cfg.Peers = c.peers(f)
	cfg.Limits = c.limits(f, cfg, common)
	c.bans(f, cfg)
	if c.err != nil {
		return nil, c.err
	}
	c.instances(f, cfg, common)
	cfg.Policy = c.policy(f, cfg)
	if c.err == nil {
		c.resourceShares(f, cfg)
	}
	if c.err != nil {
		return nil, c.err
	}
	return cfg, nil
}

// resolvePath returns a path of the file; a relative one is below the file's folder.
func (c *checker) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(c.Path), path)
}

// process checks what is for the whole process.
func (c *checker) process(f *fileTables, cfg *Config) {
	cfg.MaxStateAge = c.positiveDuration("state_max_age", f.MaxStateAge, defaultMaxStateAge)
	cfg.Drain = c.duration("drain", f.Drain, 0)
	cfg.Admin = c.address("admin", f.Admin)
	cfg.Supervise = supervise.Settings{
		FirstWait:    c.duration("restart.first", f.Restart.First, 0),
		MaxWait:      c.duration("restart.most", f.Restart.MaxWait, 0),
		HealthyAfter: c.duration("restart.healthy", f.Restart.Healthy, 0),
		MaxFailures:  f.Restart.GiveUp,
	}
	if f.Restart.GiveUp < 0 {
		c.fail("restart.give_up", "%d is negative", f.Restart.GiveUp)
	}
	if f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0 {
		c.fail("limits", "memory_mb and sockets are not negative")
	}
}

// source checks the i-th [[source]].
func (c *checker) source(i int, s *sourceTable, cfg *Config) {
	at := func(field string) string { return fmt.Sprintf("source[%d].%s", i, field) }
	if _, twice := cfg.Sources[s.Name]; twice || s.Name == "" {
		c.fail(at("name"), "%q is empty or named twice", s.Name)
	}
	hasDNS := len(s.SRV)+len(s.Browse) > 0
	if s.List != "" || !hasDNS && s.Multicast == "" {
		c.hostPort(at("list"), s.List)
	}
	c.recordNames(at("srv"), s.SRV)
	c.recordNames(at("browse"), s.Browse)
	if s.Multicast != "" {
		c.recordNames(at("multicast"), []string{s.Multicast})
	}
	for _, resolver := range s.Resolvers {
		c.hostPort(at("resolvers"), resolver)
	}
	if hasDNS && len(s.Resolvers) == 0 {
		c.fail(at("resolvers"), "missing: names are asked of resolvers")
	}
	if (s.Multicast == "") != (s.Group == "") {
		c.fail(at("group"), "multicast and group go together")
	} else if s.Group != "" {
		c.hostPort(at("group"), s.Group)
	}
	cfg.Sources[s.Name] = Source{
		Name:      s.Name,
		List:      s.List,
		SRV:       s.SRV,
		Browse:    s.Browse,
		Resolvers: s.Resolvers,
		Multicast: s.Multicast,
		Group:     s.Group,
		Hold:      c.positiveDuration(at("hold"), s.Hold, defaultHold),
		Spread:    c.duration(at("spread"), s.Spread, defaultSpread),
		First:     c.duration(at("first"), s.First, defaultFirstSpread),
	}
}

// recordNames checks names of DNS records.
func (c *checker) recordNames(key string, names []string) {
	for _, name := range names {
		if !strings.HasPrefix(name, "_") || strings.ContainsAny(name, " /:") {
			c.fail(key, "%q: a name such as _form._tcp.example.org is needed", name)
		}
	}
}
