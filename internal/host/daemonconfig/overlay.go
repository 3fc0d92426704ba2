package daemonconfig

import (
	"fmt"
	"strings"

	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/tomlfile"
)

// sharedTables are the tables of a daemon's file that a policy may hold: the settings by which all daemons decide. A
// table in the policy replaces the whole table in the file. Listen addresses, directories, instances and the like are
// set in each host's own file.
type sharedTables struct {
	Source []sourceTable
	Site   *siteTable
	Rules  *rulesTable
	Class  []classTable
	Limit  []limitTable
	Ban    []banTable
	Peers  *sharedPeers

	services []*servicePart // the services' own parts; not a key of a file
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

// banTable is [[ban]]: a server that an operator has disabled.
type banTable struct {
	Server string
	Source string // empty: all sources
	Reason string
}

// Overlay is a policy that is laid over a daemon's file. It includes the parts of services.
type Overlay struct {
	sharedTables
	file     *tomlfile.File         // the file of the global part; nil: the global part has no text
	tables   map[string]bool        // the names of the tables that the global part holds
	name     string                 // the policy's name in errors
	services []*servicePart         // sorted by name
	origins  map[string]tableOrigin // the origins of the entries of table lists that come from services' parts
	applied  sharedTables           // the merged tables when the overlay was last laid over a file
}

// sharedTableNames are the names of the tables that a policy may hold.
var sharedTableNames = []string{"source", "site", "rules", "class", "limit", "ban", "peers"}

// readPolicy reads the text of the global part. name is the policy's name in errors.
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

// hasTable reports whether the text has a table. An empty list of limits or bans counts: it replaces the list of the
// file.
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

// applyTo replaces tables of the file with those of the policy. It does nothing if there is no policy (nil).
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

// hasKey reports whether the policy's global part sets a key.
func (o *Overlay) hasKey(key string) bool {
	if o == nil || o.file == nil {
		return false
	}
	table := key
	if i := strings.IndexAny(key, ".["); i >= 0 {
		table = key[:i]
	}
	if table == "peers" { // the policy holds only some keys of this table
		return o.tables[table] && o.file.Has(key)
	}
	return o.tables[table]
}

// completedBy returns the policy's tables, and the file's tables for those that the policy does not hold. If there is
// no policy (nil), all come from the file.
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

// Ban is a server that the file or the policy disables.
type Ban struct {
	Server string
	Source string // empty: all sources
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
			c.fail(at+"source", "there is no source %q", ban.Source)
		}
		cfg.Bans = append(cfg.Bans, Ban(ban))
	}
}

// PolicySettings are the settings by which the daemon agrees with others on a policy.
type PolicySettings struct {
	policy.Settings        // without what the daemon adds: name, run ID, check, handoff and parts
	WitnessDir      string // the directory of the policy store's witness file; empty: none
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

// policy checks [policy]. It returns nil if the file has none.
func (c *checker) policy(f *fileTables, cfg *Config) *PolicySettings {
	t := f.Policy
	if t == nil {
		return nil
	}
	if f.Peers == nil {
		c.fail("policy", "a policy needs [peers]")
	}
	if cfg.StateDir == "" {
		c.fail("policy", "a policy is stored in state_dir, which is missing")
	}
	p := &PolicySettings{WitnessDir: t.WitnessDir}
	p.Voters = t.Voters
	p.StopWhenIsolated = c.choice("policy.cut_off", t.WhenIsolated, []string{"stops", "vetoes"}) == 0
	p.ServeLastKnown = t.Standalone != "" && c.choice("policy.when_alone", t.Standalone, []string{"none", "last"}) == 1
	p.Lease = c.positiveDuration("policy.lease", t.Lease, policy.DefaultLease)
	p.PrepareTimeout = c.positiveDuration("policy.within", t.PrepareTimeout, policy.DefaultPrepareTimeout)
	p.StandaloneAfter = c.positiveDuration("policy.alone_after", t.StandaloneAfter, policy.DefaultStandaloneAfter)
	p.ClockDrift = t.Drift
	if !(p.ClockDrift >= 0 && p.ClockDrift <= maxClockDrift) { // negated so that NaN fails too
		c.fail("policy.drift", "%v: 0 to %v are allowed", p.ClockDrift, maxClockDrift)
	}
	if n := len(cfg.HeldParts()); n > policy.MaxPartsPerMember {
		c.fail("instance", "the instances have %d sources: with [policy] up to %d are allowed", n, policy.MaxPartsPerMember)
	}
	if n := len(p.Voters); n != 1 && n != 3 && n != 5 {
		c.fail("policy.voters", "%d voters: 1, 3 or 5 members must be named", n)
	}
	if c.err == nil { // policy.New finds the remaining errors
		candidate := p.Settings
		candidate.Name = f.Peers.Name
		candidate.RunID = 1
		if _, err := policy.New(candidate, policy.StoredState{}, 1); err != nil {
			c.fail("policy", "%v", err)
		}
	}
	return p
}
