package daemonconfig

import (
	"fmt"
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

	services []*servicePart // services' own parts; no key of a file
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

// Overlay is a policy that is laid over a daemon's file, with the parts of services.
type Overlay struct {
	sharedTables
	file     *tomlfile.File         // of the global part; nil: it has no text
	tables   map[string]bool        // that the global part holds, by name
	name     string                 // for errors
	services []*servicePart         // by name
	origins  map[string]tableOrigin // of tables in lists that come from elsewhere than their place says
	applied  sharedTables           // as it was last laid over a file
}

// sharedTableNames are the tables that a policy may hold.
var sharedTableNames = []string{"source", "site", "rules", "class", "limit", "ban", "peers"}

// readPolicy reads the text of the global part; name is what errors call it.
func readPolicy(name string, body []byte) (*Overlay, error) {
	o := &Overlay{tables: map[string]bool{}, name: name}
	file, err := tomlfile.Parse(name, body, &o.sharedTables)
	if err != nil {
		return nil, err
	}
	o.file = file
	for _, table := range sharedTableNames {
		o.tables[table] = o.hasTable(table)
	}
	return o, nil
}

// hasTable reports whether the text has a table. An empty list of limits or bans is there too: it takes the place of the
// file's.
func (o *Overlay) hasTable(table string) bool {
	switch table {
	case "source":
		return o.Source != nil
	case "site":
		return o.Site != nil
	case "rules":
		return o.Rules != nil
	case "class":
		return o.Class != nil
	case "limit":
		return o.Limit != nil || o.file.Has("limit")
	case "ban":
		return o.Ban != nil || o.file.Has("ban")
	}
	return o.Peers != nil
}

// applyTo puts the policy's tables in the place of the file's. It does nothing without a policy (nil).
func (o *Overlay) applyTo(f *fileTables) error {
	if o == nil {
		return nil
	}
	s := o.completedBy(f)
	if err := o.checkConflicts(); err != nil {
		return err
	}
	o.applied = s
	f.Source = s.Source
	f.Site = *s.Site
	f.Rules = *s.Rules
	f.Class = s.Class
	f.Limit = s.Limit
	f.Ban = s.Ban
	if !o.tables["peers"] {
		return nil
	}
	if f.Peers == nil {
		return fmt.Errorf("%s: [peers] is not in this daemon's file", o.name)
	}
	peers := *f.Peers
	peers.sharedPeers = *s.Peers
	f.Peers = &peers
	return nil
}

// hasKey reports whether a key is the policy's.
func (o *Overlay) hasKey(key string) bool {
	if o == nil || o.file == nil {
		return false
	}
	table := key
	if i := strings.IndexAny(key, ".["); i >= 0 {
		table = key[:i]
	}
	if table == "peers" { // of this table the policy holds some keys only
		return o.tables[table] && o.file.Has(key)
	}
	return o.tables[table]
}

// completedBy returns the policy's tables, with those that it does not hold as the daemon's file has them. Without a policy
// (nil) all are the file's.
func (o *Overlay) completedBy(f *fileTables) sharedTables {
	s := sharedTables{Source: f.Source, Site: &f.Site, Rules: &f.Rules, Class: f.Class, Limit: f.Limit, Ban: f.Ban}
	if f.Peers != nil {
		s.Peers = &f.Peers.sharedPeers
	}
	if o == nil {
		return s
	}
	if o.tables["source"] {
		s.Source = o.Source
	}
	if o.tables["site"] {
		s.Site = o.Site
	}
	if o.tables["rules"] {
		s.Rules = o.Rules
	}
	if o.tables["class"] {
		s.Class = o.Class
	}
	if o.tables["limit"] {
		s.Limit = o.Limit
	}
	if o.tables["ban"] {
		s.Ban = o.Ban
	}
	if o.tables["peers"] {
		s.Peers = o.Peers
	}
	o.applyServices(&s)
	return s
}

// Ban is a server that the file or the policy takes out of use.
type Ban struct {
	Server string
	Source string // empty: of all sources
	Reason string
}

// bans checks [[ban]].
func (c *checker) bans(f *fileTables, cfg *Config) {
	for i, ban := range f.Ban {
		at := fmt.Sprintf("ban[%d].", i)
		if ban.Server == "" {
			c.fail(at+"server", "missing")
		}
		if _, ok := cfg.Sources[ban.Source]; ban.Source != "" && !ok {
			c.fail(at+"source", "%q is no source", ban.Source)
		}
		cfg.Bans = append(cfg.Bans, Ban(ban))
	}
}

// PolicySettings is how the daemon agrees with others on a policy.
type PolicySettings struct {
	policy.Settings        // but for what the daemon adds: name, run ID, check, handoff and parts
	WitnessDir      string // of the policy's store; empty: none
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

// policy checks [policy]; it returns nil if the file has none.
func (c *checker) policy(f *fileTables, cfg *Config) *PolicySettings {
	t := f.Policy
	if t == nil {
		return nil
	}
	if f.Peers == nil {
		c.fail("policy", "a policy is agreed on with [peers]")
	}
	if cfg.StateDir == "" {
		c.fail("policy", "what was agreed on is kept in state_dir, which is missing")
	}
	p := &PolicySettings{WitnessDir: t.WitnessDir}
	p.Voters = t.Voters
	p.StopWhenIsolated = c.choice("policy.cut_off", t.WhenIsolated, []string{"stops", "vetoes"}) == 0
	p.ServeLastKnown = t.Standalone != "" && c.choice("policy.when_alone", t.Standalone, []string{"none", "last"}) == 1
	p.Lease = c.positiveDuration("policy.lease", t.Lease, policy.DefaultLease)
	p.PrepareTimeout = c.positiveDuration("policy.within", t.PrepareTimeout, policy.DefaultPrepareTimeout)
	p.StandaloneAfter = c.positiveDuration("policy.alone_after", t.StandaloneAfter, policy.DefaultStandaloneAfter)
	p.ClockDrift = t.Drift
	if !(p.ClockDrift >= 0 && p.ClockDrift <= maxClockDrift) { // NaN fails too
		c.fail("policy.drift", "%v: 0 to %v are allowed", p.ClockDrift, maxClockDrift)
	}
	if n := len(cfg.HeldParts()); n > policy.MaxPartsPerMember {
		c.fail("instance", "they have %d sources: with [policy] up to %d are allowed", n, policy.MaxPartsPerMember)
	}
	if n := len(p.Voters); n != 1 && n != 3 && n != 5 {
		c.fail("policy.voters", "%d voters: 1, 3 or 5 members are to be named", n)
	}
	if c.err == nil { // what is left are mistakes that the policy's module finds
		probe := p.Settings
		probe.Name = f.Peers.Name
		probe.RunID = 1
		if _, err := policy.New(probe, policy.StoredState{}, 1); err != nil {
			c.fail("policy", "%v", err)
		}
	}
	return p
}
