package daemonconfig

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/tomlfile"
)

// sharedTables is the part of a daemon's file that a policy may hold: what all daemons decide by. A part that it holds takes the
// whole place of that part of the file; listen addresses, folders, instances and the like stay each host's.
type sharedTables struct {
	Source []sourceTable
	Site   *siteTable
	Rules  *rulesTable
	Class  []classTable
	Limit  []limitTable
	Ban    []banTable
	Peers  *sharedPeers

	services []*servicePart // not of a file: what services' parts have besides
}

// sharedPeers are the keys of [peers] that a policy may hold.
type sharedPeers struct {
	LeaseServers    []string          `toml:"keepers"`
	LeaseTerm       tomlfile.Duration `toml:"term"`
	Drift           float64
	ShareEjections  *bool             `toml:"verdicts"`
	MaxEjectedShare float64           `toml:"out_most"`
	MaxEvidenceAge  tomlfile.Duration `toml:"evidence_age"`
}

// banTable is [[ban]]: a server that is out of use, by an operator's word.
type banTable struct {
	Server string
	Source string // empty: of all sources
	Reason string
}

// Overlay is a policy read into its tables, with services' parts of it.
type Overlay struct {
	sharedTables
	file     *tomlfile.File
	tables   map[string]bool // the tables that it holds
	name     string
	services []*servicePart         // by name
	origins  map[string]tableOrigin // tables of lists that come from elsewhere than their place says
	applied  sharedTables           // as it was last laid over a file
}

// readPolicy reads a policy's text; name is what errors call it.
func readPolicy(name string, body []byte) (*Overlay, error) {
	o := &Overlay{tables: map[string]bool{}, name: name}
	var err error
	if o.file, err = tomlfile.Parse(name, body, &o.sharedTables); err != nil {
		return nil, err
	}
	for part, there := range map[string]bool{"source": o.Source != nil, "site": o.Site != nil, "rules": o.Rules != nil, "class": o.Class != nil,
		"limit": o.Limit != nil || o.file.Has("limit"), "ban": o.Ban != nil || o.file.Has("ban"), "peers": o.Peers != nil} {
		if there {
			o.tables[part] = true
		}
	}
	return o, nil
}

// applyTo puts a policy's parts in the place of the file's.
func (o *Overlay) applyTo(f *fileTables) error {
	if o == nil {
		return nil
	}
	s := o.completedBy(f)
	if err := o.checkConflicts(); err != nil {
		return err
	}
	o.applied = s
	f.Source, f.Site, f.Rules, f.Class, f.Limit, f.Ban = s.Source, *s.Site, *s.Rules, s.Class, s.Limit, s.Ban
	if o.tables["peers"] {
		if f.Peers == nil {
			return fmt.Errorf("%s: [peers] is not in this daemon's file", o.name)
		}
		in := *f.Peers
		in.sharedPeers = *s.Peers
		f.Peers = &in
	}
	return nil
}

// hasKey reports whether a key is the policy's.
func (o *Overlay) hasKey(key string) bool {
	if o == nil || o.file == nil {
		return false
	}
	part := key
	if i := strings.IndexAny(key, ".["); i >= 0 {
		part = key[:i]
	}
	if part == "peers" {
		return o.tables[part] && o.file.Has(key)
	}
	return o.tables[part]
}

// completedBy is a policy with what it does not hold as the daemon's own file has it.
func (o *Overlay) completedBy(f *fileTables) sharedTables {
	s := sharedTables{Source: f.Source, Site: &f.Site, Rules: &f.Rules, Class: f.Class, Limit: f.Limit, Ban: f.Ban}
	if f.Peers != nil {
		s.Peers = &f.Peers.sharedPeers
	}
	if o == nil {
		return s
	}
	for part, take := range map[string]func(){
		"source": func() { s.Source = o.Source }, "site": func() { s.Site = o.Site }, "rules": func() { s.Rules = o.Rules }, "class": func() { s.Class = o.Class },
		"limit": func() { s.Limit = o.Limit }, "ban": func() { s.Ban = o.Ban }, "peers": func() { s.Peers = o.Peers }} {
		if o.tables[part] {
			take()
		}
	}
	o.applyServices(&s)
	return s
}

// intersect is what two policies both allow: repeats by the stricter rule and the shorter window, the fewer attempts, the lower
// limits, all servers out that either has out. A member that does not know which of the two is in force serves by it.
// Where lists, the site, other rules or how limits are shared differ there is no such thing.
func intersect(a, b sharedTables) (*Overlay, error) {
	for _, part := range []struct {
		name string
		a, b any
	}{{"source", a.Source, b.Source}, {"site", a.Site, b.Site}, {"peers", a.Peers, b.Peers}} {
		if !reflect.DeepEqual(part.a, part.b) {
			return nil, fmt.Errorf("the two policies differ in [%s]", part.name)
		}
	}
	ra, rb := *a.Rules, *b.Rules
	r := ra
	r.MaxAttempts, r.Hedging = fewerAttempts(ra.MaxAttempts, rb.MaxAttempts), ra.Hedging && rb.Hedging
	ra.MaxAttempts, rb.MaxAttempts, ra.Hedging, rb.Hedging = 0, 0, false, false
	if !reflect.DeepEqual(ra, rb) {
		return nil, fmt.Errorf("the two policies differ in [rules]")
	}
	m := sharedTables{Source: a.Source, Site: a.Site, Rules: &r, Peers: a.Peers}
	for _, x := range a.Class {
		i := slices.IndexFunc(b.Class, func(y classTable) bool { return y.Name == x.Name })
		if i >= 0 {
			m.Class = append(m.Class, intersectClass(x, b.Class[i]))
		}
	}
	if len(m.Class) == 0 {
		return nil, fmt.Errorf("the two policies have no class in common")
	}
	for _, x := range a.Limit {
		if i := slices.IndexFunc(b.Limit, func(y limitTable) bool { return y.Name == x.Name }); i >= 0 {
			y := b.Limit[i]
			figure, floor := min(x.Total, y.Total), min(x.Floor, y.Floor)
			x.Total, x.Floor, y.Total, y.Floor = figure, floor, figure, floor
			if !reflect.DeepEqual(x, y) {
				return nil, fmt.Errorf("the two policies count limit %s in different ways", x.Name)
			}
		}
		m.Limit = append(m.Limit, x)
	}
	for _, y := range b.Limit {
		if !slices.ContainsFunc(a.Limit, func(x limitTable) bool { return x.Name == y.Name }) {
			m.Limit = append(m.Limit, y)
		}
	}
	m.Limit = slices.DeleteFunc(m.Limit, func(l limitTable) bool { // of a class that only one of them has
		return l.Class != "" && !slices.ContainsFunc(m.Class, func(c classTable) bool { return c.Name == l.Class })
	})
	m.Ban = append(slices.Clone(a.Ban), b.Ban...)
	services, err := intersectServices(a, b)
	if err != nil {
		return nil, err
	}
	return &Overlay{sharedTables: m, services: services, name: "what both policies allow",
		tables: map[string]bool{"source": true, "site": true, "rules": true, "class": true, "limit": true, "ban": true, "peers": m.Peers != nil}}, nil
}

// fewerAttempts is the lower of two counts of which 0 is the default, 3.
func fewerAttempts(a, b int) int {
	if a == 0 {
		a = 3
	}
	if b == 0 {
		b = 3
	}
	return min(a, b)
}

func intersectClass(a, b classTable) classTable {
	m := a
	m.Objective, m.Deadline = shorter(a.Objective, b.Objective), shorter(a.Deadline, b.Deadline)
	m.Value, m.LateValue = min(a.Value, b.Value), min(a.LateValue, b.LateValue)
	switch {
	case a.Effect == b.Effect && a.Effect == "keyed":
		order := []string{"pod", "zone", "all", ""}
		m.Scope = order[min(slices.Index(order, a.Scope), slices.Index(order, b.Scope))]
		m.DedupWindow = shorter(a.DedupWindow, b.DedupWindow)
	case a.Effect != b.Effect:
		m.Effect, m.Scope, m.DedupWindow = "unsafe", "", tomlfile.Duration{}
	}
	return m
}

func shorter(a, b tomlfile.Duration) tomlfile.Duration {
	if b.D() < a.D() {
		return b
	}
	return a
}

// Ban is a server that is out of use by the file's or the policy's word.
type Ban struct{ Server, Source, Reason string }

// bans checks [[ban]].
func (c *checker) bans(f *fileTables, cfg *Config) {
	for i, b := range f.Ban {
		at := fmt.Sprintf("ban[%d].", i)
		if b.Server == "" {
			c.fail(at+"server", "missing")
		}
		if _, ok := cfg.Sources[b.Source]; b.Source != "" && !ok {
			c.fail(at+"source", "%q is no source", b.Source)
		}
		cfg.Bans = append(cfg.Bans, Ban(b))
	}
}

// PolicySettings is how the daemon agrees with others on what it decides by.
type PolicySettings struct {
	policy.Settings // but for name, life and check
	WitnessDir      string
}

// policyTable is [policy] in the file.
type policyTable struct {
	Voters          []string
	WhenIsolated    string `toml:"cut_off"`
	Standalone      string `toml:"when_alone"`
	Lease           tomlfile.Duration
	PrepareTimeout  tomlfile.Duration `toml:"within"`
	StandaloneAfter tomlfile.Duration `toml:"alone_after"`
	Drift           float64
	WitnessDir      string `toml:"witness"`
}

// policy checks [policy]; nil where the file has none.
func (c *checker) policy(f *fileTables, cfg *Config) *PolicySettings {
	in := f.Policy
	if in == nil {
		return nil
	}
	a := &PolicySettings{WitnessDir: in.WitnessDir}
	if f.Peers == nil {
		c.fail("policy", "a policy is agreed on with [peers]")
	}
	if cfg.StateDir == "" {
		c.fail("policy", "what was agreed on is kept in state_dir, which is missing")
	}
	a.Voters = in.Voters
	a.StopWhenIsolated = c.choice("policy.cut_off", in.WhenIsolated, []string{"stops", "vetoes"}) == 0
	a.ServeLastKnown = in.Standalone != "" && c.choice("policy.when_alone", in.Standalone, []string{"none", "last"}) == 1
	a.Lease, a.PrepareTimeout, a.StandaloneAfter = c.positiveDuration("policy.lease", in.Lease, policy.DefaultLease), c.positiveDuration("policy.within", in.PrepareTimeout, policy.DefaultPrepareTimeout), c.positiveDuration("policy.alone_after", in.StandaloneAfter, policy.DefaultStandaloneAfter)
	if a.ClockDrift = in.Drift; !(a.ClockDrift >= 0 && a.ClockDrift <= 0.2) {
		c.fail("policy.drift", "%v: 0 to 0.2 are allowed", a.ClockDrift)
	}
	if n := len(cfg.HeldParts()); n > policy.MaxPartsPerMember {
		c.fail("instance", "they have %d sources: with [policy] up to %d are allowed", n, policy.MaxPartsPerMember)
	}
	if n := len(a.Voters); n != 1 && n != 3 && n != 5 {
		c.fail("policy.voters", "%d voters: 1, 3 or 5 members are to be named", n)
	}
	if c.err == nil {
		probe := a.Settings
		probe.Name, probe.RunID = f.Peers.Name, 1
		if _, err := policy.New(probe, policy.StoredState{}, 1); err != nil {
			c.fail("policy", "%v", err)
		}
	}
	return a
}
