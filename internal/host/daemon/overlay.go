package daemon

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/tomlfile"
)

// shared is the part of a daemon's file that a policy may hold: what all daemons decide by. A part that it holds takes the
// whole place of that part of the file; listen addresses, folders, instances and the like stay each host's.
type shared struct {
	Source []source
	Site   *site
	Rules  *rules
	Class  []class
	Limit  []limit
	Ban    []ban
	Peers  *sharedPeers

	services []*servicePart // not of a file: what services' parts have besides
}

// sharedPeers are the keys of [peers] that a policy may hold.
type sharedPeers struct {
	Keepers     []string
	Term        tomlfile.Duration
	Drift       float64
	Verdicts    *bool
	OutMost     float64           `toml:"out_most"`
	EvidenceAge tomlfile.Duration `toml:"evidence_age"`
}

// ban is [[ban]]: a server that is out of use, by an operator's word.
type ban struct {
	Server string
	Source string // empty: of all sources
	Reason string
}

// overlay is a policy read into its tables, with services' parts of it.
type overlay struct {
	shared
	file     *tomlfile.File
	from     map[string]bool // the tables that it holds
	name     string
	services []*servicePart      // by name
	placed   map[string]placedAt // tables of lists that come from elsewhere than their place says
	laid     shared              // as it was last laid over a file
}

// readPolicy reads a policy's text; name is what errors call it.
func readPolicy(name string, body []byte) (*overlay, error) {
	o := &overlay{from: map[string]bool{}, name: name}
	var err error
	if o.file, err = tomlfile.Parse(name, body, &o.shared); err != nil {
		return nil, err
	}
	for part, there := range map[string]bool{"source": o.Source != nil, "site": o.Site != nil, "rules": o.Rules != nil, "class": o.Class != nil,
		"limit": o.Limit != nil || o.file.Has("limit"), "ban": o.Ban != nil || o.file.Has("ban"), "peers": o.Peers != nil} {
		if there {
			o.from[part] = true
		}
	}
	return o, nil
}

// lay puts a policy's parts in the place of the file's.
func (o *overlay) lay(f *file) error {
	if o == nil {
		return nil
	}
	s := o.complete(f)
	if err := o.clashes(); err != nil {
		return err
	}
	o.laid = s
	f.Source, f.Site, f.Rules, f.Class, f.Limit, f.Ban = s.Source, *s.Site, *s.Rules, s.Class, s.Limit, s.Ban
	if o.from["peers"] {
		if f.Peers == nil {
			return fmt.Errorf("%s: [peers] is not in this daemon's file", o.name)
		}
		in := *f.Peers
		in.sharedPeers = *s.Peers
		f.Peers = &in
	}
	return nil
}

// holds reports whether a key is the policy's.
func (o *overlay) holds(key string) bool {
	if o == nil || o.file == nil {
		return false
	}
	part := key
	if i := strings.IndexAny(key, ".["); i >= 0 {
		part = key[:i]
	}
	if part == "peers" {
		return o.from[part] && o.file.Has(key)
	}
	return o.from[part]
}

// complete is a policy with what it does not hold as the daemon's own file has it.
func (o *overlay) complete(f *file) shared {
	s := shared{Source: f.Source, Site: &f.Site, Rules: &f.Rules, Class: f.Class, Limit: f.Limit, Ban: f.Ban}
	if f.Peers != nil {
		s.Peers = &f.Peers.sharedPeers
	}
	if o == nil {
		return s
	}
	for part, take := range map[string]func(){
		"source": func() { s.Source = o.Source }, "site": func() { s.Site = o.Site }, "rules": func() { s.Rules = o.Rules }, "class": func() { s.Class = o.Class },
		"limit": func() { s.Limit = o.Limit }, "ban": func() { s.Ban = o.Ban }, "peers": func() { s.Peers = o.Peers }} {
		if o.from[part] {
			take()
		}
	}
	o.layServices(&s)
	return s
}

// meet is what two policies both allow: repeats by the stricter rule and the shorter window, the fewer attempts, the lower
// limits, all servers out that either has out. A member that does not know which of the two is in force serves by it.
// Where lists, the site, other rules or how limits are shared differ there is no such thing.
func meet(a, b shared) (*overlay, error) {
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
	r.MaxAttempts, r.SecondCopies = lower(ra.MaxAttempts, rb.MaxAttempts), ra.SecondCopies && rb.SecondCopies
	ra.MaxAttempts, rb.MaxAttempts, ra.SecondCopies, rb.SecondCopies = 0, 0, false, false
	if !reflect.DeepEqual(ra, rb) {
		return nil, fmt.Errorf("the two policies differ in [rules]")
	}
	m := shared{Source: a.Source, Site: a.Site, Rules: &r, Peers: a.Peers}
	for _, x := range a.Class {
		i := slices.IndexFunc(b.Class, func(y class) bool { return y.Name == x.Name })
		if i >= 0 {
			m.Class = append(m.Class, meetClass(x, b.Class[i]))
		}
	}
	if len(m.Class) == 0 {
		return nil, fmt.Errorf("the two policies have no class in common")
	}
	for _, x := range a.Limit {
		if i := slices.IndexFunc(b.Limit, func(y limit) bool { return y.Name == x.Name }); i >= 0 {
			y := b.Limit[i]
			figure, floor := min(x.Figure, y.Figure), min(x.Floor, y.Floor)
			x.Figure, x.Floor, y.Figure, y.Floor = figure, floor, figure, floor
			if !reflect.DeepEqual(x, y) {
				return nil, fmt.Errorf("the two policies count limit %s in different ways", x.Name)
			}
		}
		m.Limit = append(m.Limit, x)
	}
	for _, y := range b.Limit {
		if !slices.ContainsFunc(a.Limit, func(x limit) bool { return x.Name == y.Name }) {
			m.Limit = append(m.Limit, y)
		}
	}
	m.Limit = slices.DeleteFunc(m.Limit, func(l limit) bool { // of a class that only one of them has
		return l.Class != "" && !slices.ContainsFunc(m.Class, func(c class) bool { return c.Name == l.Class })
	})
	m.Ban = append(slices.Clone(a.Ban), b.Ban...)
	services, err := meetServices(a, b)
	if err != nil {
		return nil, err
	}
	return &overlay{shared: m, services: services, name: "what both policies allow",
		from: map[string]bool{"source": true, "site": true, "rules": true, "class": true, "limit": true, "ban": true, "peers": m.Peers != nil}}, nil
}

// lower is the lower of two counts of which 0 is the default, 3.
func lower(a, b int) int {
	if a == 0 {
		a = 3
	}
	if b == 0 {
		b = 3
	}
	return min(a, b)
}

func meetClass(a, b class) class {
	m := a
	m.Aim, m.Deadline = earlier(a.Aim, b.Aim), earlier(a.Deadline, b.Deadline)
	m.Worth, m.Late = min(a.Worth, b.Worth), min(a.Late, b.Late)
	switch {
	case a.Repeats == b.Repeats && a.Repeats == "keyed":
		order := []string{"pod", "zone", "all", ""}
		m.Group = order[min(slices.Index(order, a.Group), slices.Index(order, b.Group))]
		m.Window = earlier(a.Window, b.Window)
	case a.Repeats != b.Repeats:
		m.Repeats, m.Group, m.Window = "unsafe", "", tomlfile.Duration{}
	}
	return m
}

func earlier(a, b tomlfile.Duration) tomlfile.Duration {
	if b.D() < a.D() {
		return b
	}
	return a
}

// Ban is a server that is out of use by the file's or the policy's word.
type Ban struct{ Server, Source, Reason string }

// bans checks [[ban]].
func (c *checker) bans(f *file, cfg *Config) {
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

// Agree is how the daemon agrees with others on what it decides by.
type Agree struct {
	policy.Settings // but for name, life and check
	Witness         string
}

// agree is [policy] in the file.
type agree struct {
	Voters    []string
	CutOff    string `toml:"cut_off"`
	WhenAlone string `toml:"when_alone"`
	Lease     tomlfile.Duration
	Within    tomlfile.Duration
	Alone     tomlfile.Duration `toml:"alone_after"`
	Drift     float64
	Witness   string
}

// agree checks [policy]; nil where the file has none.
func (c *checker) agree(f *file, cfg *Config) *Agree {
	in := f.Policy
	if in == nil {
		return nil
	}
	a := &Agree{Witness: in.Witness}
	if f.Peers == nil {
		c.fail("policy", "a policy is agreed on with [peers]")
	}
	if cfg.StateDir == "" {
		c.fail("policy", "what was agreed on is kept in state_dir, which is missing")
	}
	a.Voters = in.Voters
	a.StopWhenIsolated = c.name("policy.cut_off", in.CutOff, []string{"stops", "vetoes"}) == 0
	a.ServeLastKnown = in.WhenAlone != "" && c.name("policy.when_alone", in.WhenAlone, []string{"none", "last"}) == 1
	a.Lease, a.PrepareTimeout, a.StandaloneAfter = c.span("policy.lease", in.Lease, policy.DefaultLease), c.span("policy.within", in.Within, policy.DefaultPrepareTimeout), c.span("policy.alone_after", in.Alone, policy.DefaultStandaloneAfter)
	if a.ClockDrift = in.Drift; !(a.ClockDrift >= 0 && a.ClockDrift <= 0.2) {
		c.fail("policy.drift", "%v: 0 to 0.2 are allowed", a.ClockDrift)
	}
	if n := len(heldBy(cfg)); n > policy.MaxPartsPerMember {
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
