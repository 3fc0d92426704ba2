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
	"slices"
	"strings"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/protocol/ldap"
	"vetchhaven/internal/tomlfile"
)

// Config is a file, checked whole and turned into what the daemon uses.
type Config struct {
	Path        string
	Admin       Address
	StateDir    string // "": nothing is saved
	MaxStateAge time.Duration
	Sources     map[string]Source
	Instances   []Instance // by name
	Supervise   supervise.Settings
	MemoryMB    int // of the process; 0: not bounded
	Sockets     int // of the process
	Drain       time.Duration
	Balancers   int    // of the whole fleet, as the file has it
	Peers       *Peers // nil: the daemon stands alone
	Limits      *Limits
	Bans        []Ban
	Policy      *PolicySettings // nil: none is agreed on

	text    []byte   // the file's own text
	overlay *Overlay // the policy that is laid over it; nil: none
}

// Address is where something listens.
type Address struct{ Network, Addr string } // tcp or unix

func (a Address) String() string { return a.Network + ":" + a.Addr }

// Source is a list of servers.
type Source struct {
	Name   string
	List   string // of a list service; may be empty where there are records
	Spread time.Duration
	First  time.Duration
	// SRV names and service types to browse, over unicast DNS at these resolvers.
	SRV, Browse, Resolvers []string
	// A service type that is announced by multicast DNS, and the group, or one responder's address.
	Multicast, Group string
	Hold             time.Duration // how long the records last read hold where none can be had
}

// Records reports whether names are read besides, or in place of, a list.
func (s Source) Records() bool { return len(s.SRV)+len(s.Browse) > 0 || s.Multicast != "" }

// Key names a source's list in what is saved.
func (s Source) Key() string {
	if !s.Records() {
		return s.List
	}
	return strings.Join(append(append([]string{s.List, "dns", s.Multicast}, s.SRV...), s.Browse...), " ")
}

// Instance is one agent.
type Instance struct {
	Name   string
	Listen Address
	Source string
	Agent  core.Config   // but for seed and memory
	LDAP   *ldap.Options // where it speaks LDAP; else HTTP/1.1
}

// EqualExceptSource reports whether nothing but the source of its list differs: that can change in place.
func (i Instance) EqualExceptSource(o Instance) bool {
	i.Source, o.Source = "", ""
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

// Load reads and checks the file at path.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the operation and the path
	}
	return parse(path, data, nil)
}

// parse reads and checks a file's text with a policy laid over it, which may be nil.
func parse(path string, data []byte, over *Overlay) (*Config, error) {
	var f fileTables
	t, err := tomlfile.Parse(path, data, &f)
	if err != nil {
		return nil, err
	}
	if err := over.applyTo(&f); err != nil {
		return nil, err
	}
	cfg, err := check(t, &f, over)
	if err == nil {
		cfg.text, cfg.overlay = data, over
	}
	return cfg, err
}

func check(t *tomlfile.File, f *fileTables, over *Overlay) (*Config, error) {
	c := &checker{File: t, overlay: over}
	cfg := &Config{Path: t.Path, StateDir: f.StateDir, Sources: map[string]Source{}, MemoryMB: f.Limits.MemoryMB}
	if f.StateDir != "" && !filepath.IsAbs(f.StateDir) {
		cfg.StateDir = filepath.Join(filepath.Dir(t.Path), f.StateDir)
	}
	cfg.MaxStateAge = c.positiveDuration("state_max_age", f.MaxStateAge, time.Hour)
	cfg.Drain = c.duration("drain", f.Drain, 0)
	cfg.Admin = c.address("admin", f.Admin)
	cfg.Supervise = supervise.Settings{FirstWait: c.duration("restart.first", f.Restart.First, 0), MaxWait: c.duration("restart.most", f.Restart.Most, 0),
		HealthyAfter: c.duration("restart.healthy", f.Restart.Healthy, 0), MaxFailures: f.Restart.GiveUp}
	if f.Restart.GiveUp < 0 {
		c.fail("restart.give_up", "%d is negative", f.Restart.GiveUp)
	}
	if f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0 {
		c.fail("limits", "memory_mb and sockets are not negative")
	}
	for i, s := range f.Source {
		at := func(field string) string { return fmt.Sprintf("source[%d].%s", i, field) }
		if _, twice := cfg.Sources[s.Name]; twice || s.Name == "" {
			c.fail(at("name"), "%q is empty or named twice", s.Name)
		}
		if s.List != "" || len(s.SRV)+len(s.Browse) == 0 && s.Multicast == "" {
			c.hostPort(at("list"), s.List)
		}
		for _, names := range []struct {
			key string
			all []string
		}{{"srv", s.SRV}, {"browse", s.Browse}, {"multicast", slices.DeleteFunc([]string{s.Multicast}, func(n string) bool { return n == "" })}} {
			for _, n := range names.all {
				if !strings.HasPrefix(n, "_") || strings.ContainsAny(n, " /:") {
					c.fail(at(names.key), "%q: a name such as _form._tcp.example.org is needed", n)
				}
			}
		}
		for _, r := range s.Resolvers {
			c.hostPort(at("resolvers"), r)
		}
		if len(s.SRV)+len(s.Browse) > 0 && len(s.Resolvers) == 0 {
			c.fail(at("resolvers"), "missing: names are asked of resolvers")
		}
		if (s.Multicast == "") != (s.Group == "") {
			c.fail(at("group"), "multicast and group go together")
		} else if s.Group != "" {
			c.hostPort(at("group"), s.Group)
		}
		cfg.Sources[s.Name] = Source{Name: s.Name, Multicast: s.Multicast, Group: s.Group, SRV: s.SRV, Browse: s.Browse, Resolvers: s.Resolvers, Hold: c.positiveDuration(at("hold"), s.Hold, time.Hour),
			List: s.List, Spread: c.duration(at("spread"), s.Spread, 300*time.Millisecond),
			First: c.duration(at("first"), s.First, 500*time.Millisecond)}
	}
	if len(f.Source) == 0 {
		c.fail("source", "at least one [[source]] is needed")
	}
	if len(f.Site.Zones) == 0 {
		f.Site.Zones = []string{""}
	}
	settings, classes := c.settings(f, f.Class)
	cfg.Balancers, cfg.Peers = settings.Balancers, c.peers(f)
	cfg.Limits = c.limits(f, cfg, settings, classes)
	c.bans(f, cfg)
	if c.err != nil {
		return nil, c.err
	}
	c.instances(f, cfg, settings, classes)
	cfg.Policy = c.policy(f, cfg)
	if c.err == nil {
		c.resourceShares(f, cfg)
	}
	if c.err != nil {
		return nil, c.err
	}
	return cfg, nil
}
