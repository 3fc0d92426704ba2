// Package fleet is the daemon: it hosts many agent instances in one process, keeps each going,
// changes them under load, hands its sockets over to a successor and comes back from its last state.
// Instances share no decisions: each has its own balancer, bucket, view and limits. They share what
// is stated: one reading of each list, the process's sockets and memory by fair shares.
package fleet

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/ldap"
	"vetchhaven/internal/supervise"
	"vetchhaven/internal/tomlfile"
	"vetchhaven/internal/wire"
)

// Config is a file, checked whole and turned into what the daemon uses.
type Config struct {
	Path      string
	Admin     Address
	StateDir  string // "": nothing is saved
	StateMost time.Duration
	Sources   map[string]Source
	Instances []Instance // by name
	Supervise supervise.Settings
	MemoryMB  int // of the process; 0: not bounded
	Sockets   int // of the process
	Drain     time.Duration
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

// same reports whether nothing but the source of its list differs: that can change in place.
func (i Instance) same(o Instance) bool {
	i.Source, o.Source = "", ""
	return reflect.DeepEqual(i, o)
}

type file struct {
	Admin     string
	StateDir  string            `toml:"state_dir"`
	StateMost tomlfile.Duration `toml:"state_max_age"`
	Drain     tomlfile.Duration `toml:"drain"`
	Limits    struct {
		MemoryMB int `toml:"memory_mb"`
		Sockets  int
	}
	Restart struct {
		First   tomlfile.Duration
		Most    tomlfile.Duration
		Healthy tomlfile.Duration
		GiveUp  int `toml:"give_up"`
	}
	Source   []source
	Site     site
	Rules    rules
	Class    []class
	LDAP     ldapTable `toml:"ldap"`
	Defaults instance
	Instance []instance
	Template []template
}

type source struct {
	Name      string
	List      string
	Spread    tomlfile.Duration
	First     tomlfile.Duration
	SRV       []string `toml:"srv"`
	Browse    []string
	Resolvers []string
	Multicast string
	Group     string
	Hold      tomlfile.Duration
}

type site struct {
	Zones  []string
	Kinds  []string
	ByWork bool `toml:"by_work"`
}

type rules struct {
	Balancers      int
	MaxAttempts    int               `toml:"max_attempts"`
	SecondCopies   bool              `toml:"second_copies"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	IdleClose      tomlfile.Duration `toml:"idle_close"`
	DrainGrace     tomlfile.Duration `toml:"drain_grace"`
	AnswerSlack    tomlfile.Duration `toml:"answer_slack"`
	ColdShare      float64           `toml:"cold_share"`
	RampTime       tomlfile.Duration `toml:"ramp_time"`
	FallMultiple   float64           `toml:"fall_multiple"`
	FallWindow     tomlfile.Duration `toml:"fall_window"`
	CrossZonePrice float64           `toml:"cross_zone_price"`
	MaxRetryAfter  tomlfile.Duration `toml:"max_retry_after"`
}

type class struct {
	Name     string
	Aim      tomlfile.Duration
	Deadline tomlfile.Duration
	Worth    float64
	Late     float64
	Repeats  string
	Group    string
	Window   tomlfile.Duration
}

// ldapTable is for all instances that speak LDAP.
type ldapTable struct {
	MaxMessage    int `toml:"max_message"`
	MaxOperations int `toml:"max_operations"`
	PerConnection int `toml:"per_connection"`
	Idle          tomlfile.Duration
	Certificate   string
	Key           string
	LDAPS         bool   `toml:"ldaps"`
	ServerTLS     string `toml:"server_tls"`
	ServerCA      string `toml:"server_ca"`
	ServerName    string `toml:"server_name"`
}

type instance struct {
	Name     string
	Protocol string
	Listen   string
	Source   string
	Zone     string
	Classes  []string
	Tick     tomlfile.Duration
	MaxOpen  int `toml:"max_open"`
	Weight   float64
}

// template stands for many instances: {n} counts from first, {port} from port.
type template struct {
	instance
	Count int
	First int
	Port  int
}

const (
	mostInstances = 10000
	leastShare    = 16 // sockets of an instance at the least: clients' and servers' together
	ownSockets    = 64 // of the process itself
	tickless      = 5 * time.Millisecond
)

// Load reads and checks the file at path.
func Load(path string) (*Config, error) {
	var f file
	t, err := tomlfile.Read(path, &f)
	if err != nil {
		return nil, err
	}
	return check(t, &f)
}

type checker struct {
	*tomlfile.File
	err error
}

func (c *checker) fail(key, format string, args ...any) {
	if c.err == nil {
		c.err = c.Errorf(key, format, args...)
	}
}

func (c *checker) wait(key string, d tomlfile.Duration, instead time.Duration) time.Duration {
	if d.D() < 0 {
		c.fail(key, "%v is negative", d)
	}
	if d.D() == 0 && !c.Has(key) {
		return instead
	}
	return d.D()
}

func (c *checker) span(key string, d tomlfile.Duration, instead time.Duration) time.Duration {
	v := c.wait(key, d, instead)
	if v <= 0 {
		c.fail(key, "%v: a time above 0 is needed", v)
	}
	return v
}

func (c *checker) name(key, name string, known []string) int {
	i := slices.Index(known, name)
	if i < 0 {
		c.fail(key, "%q is none of %s", name, strings.Join(known, ", "))
		return 0
	}
	return i
}

func check(t *tomlfile.File, f *file) (*Config, error) {
	c := &checker{File: t}
	cfg := &Config{Path: t.Path, StateDir: f.StateDir, Sources: map[string]Source{}, MemoryMB: f.Limits.MemoryMB}
	if f.StateDir != "" && !filepath.IsAbs(f.StateDir) {
		cfg.StateDir = filepath.Join(filepath.Dir(t.Path), f.StateDir)
	}
	cfg.StateMost = c.span("state_max_age", f.StateMost, time.Hour)
	cfg.Drain = c.wait("drain", f.Drain, 0)
	cfg.Admin = c.address("admin", f.Admin)
	cfg.Supervise = supervise.Settings{First: c.wait("restart.first", f.Restart.First, 0), Most: c.wait("restart.most", f.Restart.Most, 0),
		Healthy: c.wait("restart.healthy", f.Restart.Healthy, 0), GiveUp: f.Restart.GiveUp}
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
		cfg.Sources[s.Name] = Source{Name: s.Name, Multicast: s.Multicast, Group: s.Group, SRV: s.SRV, Browse: s.Browse, Resolvers: s.Resolvers, Hold: c.span(at("hold"), s.Hold, time.Hour),
			List: s.List, Spread: c.wait(at("spread"), s.Spread, 300*time.Millisecond),
			First: c.wait(at("first"), s.First, 500*time.Millisecond)}
	}
	if len(f.Source) == 0 {
		c.fail("source", "at least one [[source]] is needed")
	}
	if len(f.Site.Zones) == 0 {
		f.Site.Zones = []string{""}
	}
	settings, classes := c.settings(f)
	if c.err != nil {
		return nil, c.err
	}
	c.instances(f, cfg, settings, classes)
	if c.err == nil {
		c.shares(f, cfg)
	}
	if c.err != nil {
		return nil, c.err
	}
	return cfg, nil
}

// settings are what all instances are told alike.
func (c *checker) settings(f *file) (decide.Settings, []string) {
	r := &f.Rules
	s := decide.Settings{Balancers: cmp.Or(r.Balancers, 1), ByWork: f.Site.ByWork, MaxAttempts: cmp.Or(r.MaxAttempts, 3), SecondCopies: r.SecondCopies,
		MayCancel: true, RetryAfter: r.MaxRetryAfter.D() > 0, MaxRetryAfter: c.wait("rules.max_retry_after", r.MaxRetryAfter, 0),
		ConnectTimeout: c.span("rules.connect_timeout", r.ConnectTimeout, 250*time.Millisecond),
		DrainGrace:     c.span("rules.drain_grace", r.DrainGrace, 2*time.Second),
		AnswerGrace:    c.wait("rules.answer_slack", r.AnswerSlack, 20*time.Millisecond),
		ColdShare:      r.ColdShare, RampTime: c.wait("rules.ramp_time", r.RampTime, 0), FallMultiple: r.FallMultiple,
		FallWindow: c.wait("rules.fall_window", r.FallWindow, time.Second), GoalWhole: 0.45, GoalWindow: 0.35, GoalClass: 0.2,
		CrossZonePrice: r.CrossZonePrice}
	if s.Balancers < 1 {
		c.fail("rules.balancers", "%d: at least 1 is needed", s.Balancers)
	}
	if s.MaxAttempts < 1 {
		c.fail("rules.max_attempts", "%d: at least 1 is needed", s.MaxAttempts)
	}
	if !(r.ColdShare >= 0 && r.ColdShare <= 1) {
		c.fail("rules.cold_share", "%v is no share: 0 to 1 is allowed", r.ColdShare)
	}
	if !(r.FallMultiple >= 0) {
		c.fail("rules.fall_multiple", "%v is negative", r.FallMultiple)
	}
	if !(r.CrossZonePrice >= 0) {
		c.fail("rules.cross_zone_price", "%v is negative", r.CrossZonePrice)
	}
	var names []string
	for i, k := range f.Class {
		at := func(field string) string { return fmt.Sprintf("class[%d].%s", i, field) }
		if k.Name == "" || strings.ContainsAny(k.Name, "/ ?#%") || slices.Contains(names, k.Name) {
			c.fail(at("name"), "%q is no name for the first part of a path, or is there twice", k.Name)
		}
		names = append(names, k.Name)
		effect := c.name(at("repeats"), cmp.Or(k.Repeats, "unsafe"), []string{"safe", "keyed", "unsafe"})
		group := c.name(at("group"), cmp.Or(k.Group, "all"), []string{"all", "zone", "pod"})
		d := decide.Class{Aim: c.span(at("aim"), k.Aim, 0), Deadline: c.span(at("deadline"), k.Deadline, 0), Worth: k.Worth, LateWorth: k.Late,
			Effect: decide.Effect(effect), Group: decide.Group(group), Window: c.wait(at("window"), k.Window, 0)}
		if d.Aim > d.Deadline {
			c.fail(at("aim"), "%v is past the deadline of %v", d.Aim, d.Deadline)
		}
		if (d.Effect == decide.Keyed) != (d.Window > 0) {
			c.fail(at("window"), "%v: a keyed class has a window, and no other has", d.Window)
		}
		if !(k.Worth >= 0) || !(k.Late >= 0 && k.Late <= 1) {
			c.fail(at("worth"), "worth is not negative, and late is a share")
		}
		s.Classes = append(s.Classes, d)
	}
	if len(f.Class) == 0 {
		c.fail("class", "at least one [[class]] is needed")
	}
	return s, names
}

func (c *checker) instances(f *file, cfg *Config, settings decide.Settings, classes []string) {
	seen, listens := map[string]string{}, map[Address]string{}
	options := c.ldap(f)
	add := func(key string, in instance) {
		at := func(field string) string { return key + "." + field }
		d := &f.Defaults
		in.Protocol = cmp.Or(in.Protocol, d.Protocol, "http")
		in.Source, in.Zone, in.MaxOpen, in.Weight = cmp.Or(in.Source, d.Source), cmp.Or(in.Zone, d.Zone), cmp.Or(in.MaxOpen, d.MaxOpen), cmp.Or(in.Weight, d.Weight)
		if in.Classes == nil {
			in.Classes = d.Classes
		}
		if !c.Has(at("tick")) {
			in.Tick = d.Tick
		}
		if in.Name == "" || strings.ContainsAny(in.Name, " \t\n\"") {
			c.fail(at("name"), "%q is no name", in.Name)
		}
		if other := seen[in.Name]; other != "" {
			c.fail(at("name"), "%q is there twice (%s)", in.Name, other)
		}
		seen[in.Name] = key
		listen := c.address(at("listen"), in.Listen)
		if other := listens[listen]; other != "" {
			c.fail(at("listen"), "%s is %s's already", listen, other)
		}
		listens[listen] = in.Name
		if in.Source == "" && len(f.Source) == 1 {
			in.Source = f.Source[0].Name
		}
		if _, ok := cfg.Sources[in.Source]; !ok {
			c.fail(at("source"), "%q is no source", in.Source)
		}
		if in.MaxOpen < 0 || in.Weight < 0 {
			c.fail(at("max_open"), "max_open and weight are not negative")
		}
		s := settings
		site := wire.Site{Zones: f.Site.Zones, Kinds: f.Site.Kinds, MaxOpen: in.MaxOpen,
			IdleClose: c.span("rules.idle_close", f.Rules.IdleClose, 5*time.Second), LoadInline: true}
		s.Zone = c.name(at("zone"), cmp.Or(in.Zone, f.Site.Zones[0]), f.Site.Zones)
		s.Tick = c.wait(at("tick"), in.Tick, 0)
		h := fnv.New32a()
		h.Write([]byte(in.Name))
		s.Self = int(h.Sum32() % uint32(s.Balancers))
		site.Classes = classes
		var speaks *ldap.Options
		switch in.Protocol {
		case "http":
		case "ldap":
			speaks = options
			if in.Classes == nil {
				in.Classes = slices.DeleteFunc(slices.Clone(classes), func(n string) bool { return !ldap.Known(n) })
			}
			c.operations(at("classes"), in.Classes, f)
		default:
			c.fail(at("protocol"), "%q is none of http, ldap", in.Protocol)
		}
		if in.Classes != nil {
			site.Classes, s.Classes = nil, nil
			for _, name := range in.Classes {
				n := c.name(at("classes"), name, classes)
				site.Classes, s.Classes = append(site.Classes, name), append(s.Classes, settings.Classes[n])
			}
			if len(in.Classes) == 0 {
				c.fail(at("classes"), "none is named")
			}
		}
		cfg.Instances = append(cfg.Instances, Instance{Name: in.Name, Listen: listen, Source: in.Source, LDAP: speaks, Agent: core.Config{
			Name: in.Name, Settings: s, Site: site, Margin: cmp.Or(s.Tick, tickless), Weight: cmp.Or(in.Weight, 1)}})
	}
	for i, in := range f.Instance {
		add(fmt.Sprintf("instance[%d]", i), in)
	}
	for i, tpl := range f.Template {
		key := fmt.Sprintf("template[%d]", i)
		if tpl.Count < 1 || tpl.Count > mostInstances {
			c.fail(key+".count", "%d: 1 to %d are allowed", tpl.Count, mostInstances)
		}
		for n := range tpl.Count {
			if c.err != nil {
				return
			}
			in := tpl.instance
			fill := strings.NewReplacer("{n}", strconv.Itoa(tpl.First+n), "{port}", strconv.Itoa(tpl.Port+n))
			in.Name, in.Listen = fill.Replace(in.Name), fill.Replace(in.Listen)
			add(key, in)
		}
	}
	switch {
	case len(cfg.Instances) == 0:
		c.fail("instance", "at least one [[instance]] or [[template]] is needed")
	case len(cfg.Instances) > mostInstances:
		c.fail("instance", "%d in all: %d are allowed", len(cfg.Instances), mostInstances)
	}
	if other := listens[cfg.Admin]; other != "" {
		c.fail("admin", "%s is %s's", cfg.Admin, other)
	}
	slices.SortFunc(cfg.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
}

// operations checks the classes of an instance that speaks LDAP.
func (c *checker) operations(key string, names []string, f *file) {
	for _, n := range ldap.Needed {
		if !slices.Contains(names, n) {
			c.fail(key, "an instance that speaks LDAP needs a class %q", n)
		}
	}
	for _, n := range names {
		if !ldap.Known(n) {
			c.fail(key, "%q is no class of operations of LDAP", n)
		}
		for _, k := range f.Class {
			if k.Name == n && k.Repeats == "keyed" {
				c.fail(key, "%q is keyed: operations of LDAP have no key", n)
			}
		}
	}
}

// ldap reads the table of those that speak LDAP. Its files are read too, so that what can't be used is
// found before anything changes.
func (c *checker) ldap(f *file) *ldap.Options {
	t := &f.LDAP
	path := func(p string) string {
		if p == "" || filepath.IsAbs(p) {
			return p
		}
		return filepath.Join(filepath.Dir(c.Path), p)
	}
	o := &ldap.Options{MostMessage: t.MaxMessage, MostOpen: t.MaxOperations, Shared: t.PerConnection, Idle: c.wait("ldap.idle", t.Idle, 0),
		Certificate: path(t.Certificate), Key: path(t.Key), LDAPS: t.LDAPS, ServerTLS: t.ServerTLS, ServerCA: path(t.ServerCA), ServerName: t.ServerName}
	for _, f := range []struct { // in their order: of several mistakes the same one is told each time
		key string
		v   int
	}{{"ldap.max_message", t.MaxMessage}, {"ldap.max_operations", t.MaxOperations}, {"ldap.per_connection", t.PerConnection}} {
		if f.v < 0 {
			c.fail(f.key, "%d is negative", f.v)
		}
	}
	if err := o.Check(); err != nil {
		c.fail("ldap", "%v", err)
		return o
	}
	sum := fnv.New64a()
	for _, p := range []string{o.Certificate, o.Key, o.ServerCA} {
		if p != "" {
			text, err := os.ReadFile(p)
			if err != nil {
				c.fail("ldap", "%v", err)
			}
			_, _ = sum.Write(text)
		}
	}
	o.Loaded = strconv.FormatUint(sum.Sum64(), 16)
	return o
}

// shares splits the process's sockets and memory: a floor for each, the rest by weight.
func (c *checker) shares(f *file, cfg *Config) {
	if cfg.Sockets = f.Limits.Sockets; cfg.Sockets == 0 {
		var r syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err == nil {
			cfg.Sockets = int(min(r.Cur, 1<<20))
		}
	}
	n := len(cfg.Instances)
	weights := make([]float64, n)
	for i := range cfg.Instances {
		weights[i] = cfg.Instances[i].Agent.Weight
	}
	// Each instance's listener is held twice, and one more while it is replaced.
	sockets, err := Shares(cfg.Sockets-ownSockets-3*n, leastShare, weights)
	if err != nil {
		c.fail("limits.sockets", "%d are too few for %d instances: %v", cfg.Sockets, n, err)
		return
	}
	memory := make([]int, n)
	if cfg.MemoryMB > 0 {
		// In KiB, since a share may be less than one MiB. Half is the process's own.
		if memory, err = Shares(cfg.MemoryMB<<10/2, 256, weights); err != nil {
			c.fail("limits.memory_mb", "%d are too few for %d instances: %v", cfg.MemoryMB, n, err)
			return
		}
	}
	for i := range cfg.Instances {
		a := &cfg.Instances[i].Agent
		a.Sockets = sockets[i] + core.OwnSockets
		a.BodyBytes = memory[i] << 10 / 4
	}
}

// Shares splits a total: a floor for each, and the rest by weight.
func Shares(total, floor int, weights []float64) ([]int, error) {
	rest := total - floor*len(weights)
	if rest < 0 {
		return nil, fmt.Errorf("%d are left for them, and each needs %d", max(0, total), floor)
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	all := make([]int, len(weights))
	for i, w := range weights {
		all[i] = floor + int(float64(rest)*w/max(sum, 1e-9))
	}
	return all, nil
}

// address reads "127.0.0.1:80", "tcp:127.0.0.1:80" or "unix:/path".
func (c *checker) address(key, text string) Address {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if path == "" || len(path) > 100 {
			c.fail(key, "%q: a path of 1 to 100 bytes is needed", text)
		}
		return Address{"unix", path}
	}
	text = strings.TrimPrefix(text, "tcp:")
	c.hostPort(key, text)
	return Address{"tcp", text}
}

func (c *checker) hostPort(key, text string) {
	if text == "" {
		c.fail(key, "missing: an address such as 127.0.0.1:7000 is needed")
		return
	}
	host, port, err := net.SplitHostPort(text)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is not an IP address", host)
	}
	if n, bad := strconv.Atoi(port); err == nil && (bad != nil || n < 1 || n > 65535) {
		err = fmt.Errorf("%q is no port", port)
	}
	if err != nil {
		c.fail(key, "%q: %v", text, err)
	}
}
