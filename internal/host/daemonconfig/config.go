// Package daemonconfig reads a daemon's settings file (TOML) and the fleet's policy that is laid over it. It checks
// both completely and turns them into a Config, which the daemon uses. The package has no state, and a Config does
// not change after it is made. An error names the file, the line and the key; only the first error is returned.
//
// A policy replaces whole tables of the file ([site], [[class]], ...). A service's part of the policy replaces or adds
// the service's source, classes and bans: see Overlay. If it is uncertain which of two policies is active,
// Config.WithPolicy makes a configuration that allows only what both policies allow.
//
// internal/host/daemon calls this package from Run's goroutine, except for CheckWithPolicy, which it calls from the
// transport's goroutine. Commands use Load and CheckPolicy without a daemon.
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

// Config is a settings file with the policy laid over it, completely checked.
type Config struct {
	Path        string
	Admin       Address
	StateDir    string        // empty: nothing is saved
	MaxStateAge time.Duration // an older snapshot is not used
	Sources     map[string]Source
	Instances   []Instance // by name
	Supervise   supervise.Settings
	MemoryMB    int // for the whole process; 0: not bounded
	Sockets     int // for the whole process
	Drain       time.Duration
	Balancers   int    // in the whole fleet, according to the file
	Peers       *Peers // nil: the daemon is not in a fleet
	Limits      *Limits
	Bans        []Ban
	Policy      *PolicySettings // nil: the file has no [policy]

	text    []byte   // the file's own text
	overlay *Overlay // the policy that is laid over the file; nil: none
}

// Address is an address to listen on. Network is tcp, udp or unix.
type Address struct{ Network, Addr string }

// String returns the network and the address, separated by a colon.
func (a Address) String() string { return a.Network + ":" + a.Addr }

// Source describes where an endpoint list comes from: a list service, DNS records, or both.
type Source struct {
	Name            string
	List            string        // address of the list service; may be empty if there are records
	Spread          time.Duration // the instances apply a change at random times within this span
	MaxInitialDelay time.Duration // the daemon waits a random time within this span before it first reads the list
	// SRV are names and Browse are service types that are looked up by unicast DNS at the Resolvers.
	SRV       []string
	Browse    []string
	Resolvers []string
	// Multicast is a service type that is announced by multicast DNS. Group is the multicast group or one responder's
	// address.
	Multicast string
	Group     string
	Hold      time.Duration // how long the last records stay valid while lookups fail
}

// HasRecords reports whether the source has DNS records, with or without a list service.
func (s Source) HasRecords() bool { return len(s.SRV)+len(s.Browse) > 0 || s.Multicast != "" }

// Key returns the name under which a snapshot holds the source's list.
func (s Source) Key() string {
	if !s.HasRecords() {
		return s.List
	}
	parts := []string{s.List, "dns", s.Multicast}
	parts = append(parts, s.SRV...)
	parts = append(parts, s.Browse...)
	return strings.Join(parts, " ")
}

// IsListKey reports whether a key is that of a source with a list service alone: the service's address.
func IsListKey(key string) bool { return !strings.Contains(key, " ") }

// Instance is the configuration of one agent.
type Instance struct {
	Name   string
	Listen Address
	Source string        // the source's name
	Agent  core.Config   // without seed and memory, which the daemon sets
	LDAP   *ldap.Options // nil: the instance speaks HTTP/1.1
}

// EqualExceptSource reports whether two instances are equal, or differ only in their source. The source can change in
// a running agent.
func (i Instance) EqualExceptSource(o Instance) bool {
	i.Source = ""
	o.Source = ""
	return reflect.DeepEqual(i, o)
}

// Bounds of a configuration.
const (
	// maxInstances bounds the instances of one process. Each instance has its own sockets, memory and event loop.
	maxInstances = 10000
	// MinSocketShare is the minimum number of sockets of an instance, for its clients and servers together.
	MinSocketShare = 16
	// ReservedSockets is the number of sockets that are reserved for the process itself.
	ReservedSockets = 64
	// defaultMargin is an instance's timer margin if the file sets no tick.
	defaultMargin = 5 * time.Millisecond
)

// Defaults of settings.
const (
	// defaultMaxStateAge is how old a snapshot may be. The endpoints in an older one are wrong more often than right.
	defaultMaxStateAge = time.Hour
	// defaultHold is how long the last records stay valid. A longer time keeps servers that have been removed; a
	// shorter one loses all servers while DNS is down.
	defaultHold = time.Hour
	// defaultSpread and defaultFirstSpread keep the agents of a fleet from acting on a list at the same time.
	defaultSpread      = 300 * time.Millisecond
	defaultFirstSpread = 500 * time.Millisecond
)

// Load reads and checks the file at path.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // the error names the operation and the path
	}
	return parse(path, text, nil)
}

// parse reads and checks the text of a settings file with a policy laid over it. overlay may be nil.
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

// check checks the tables and turns them into a Config. It returns the first error.
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

// resolvePath returns a path from the file as a path that can be opened: relative ones start at the file's directory.
func (c *checker) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(c.Path), path)
}

// process checks the settings of the whole process.
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
		c.fail("limits", "memory_mb and sockets must not be negative")
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
		c.fail(at("resolvers"), "missing: srv and browse need resolvers")
	}
	if (s.Multicast == "") != (s.Group == "") {
		c.fail(at("group"), "multicast and group must be set together")
	} else if s.Group != "" {
		c.hostPort(at("group"), s.Group)
	}
	cfg.Sources[s.Name] = Source{
		Name:            s.Name,
		List:            s.List,
		SRV:             s.SRV,
		Browse:          s.Browse,
		Resolvers:       s.Resolvers,
		Multicast:       s.Multicast,
		Group:           s.Group,
		Hold:            c.positiveDuration(at("hold"), s.Hold, defaultHold),
		Spread:          c.duration(at("spread"), s.Spread, defaultSpread),
		MaxInitialDelay: c.duration(at("first"), s.First, defaultFirstSpread),
	}
}

// recordNames checks the names of DNS records.
func (c *checker) recordNames(key string, names []string) {
	for _, name := range names {
		if !strings.HasPrefix(name, "_") || strings.ContainsAny(name, " /:") {
			c.fail(key, "%q: a name such as _form._tcp.example.org is needed", name)
		}
	}
}
