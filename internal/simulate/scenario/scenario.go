// Package scenario reads the files that describe a simulation: a fleet of servers, classes of
// requests, load, and a script of timed incidents. A file is checked completely before the simulation
// starts; errors name the file, the line and the field.
package scenario

import (
	"cmp"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/tomlfile"
)

type file struct {
	Title  string
	Site   string // path of a file with the settings that several scenarios share, relative to this file
	Length tomlfile.Duration
	Agents struct {
		Count  int
		Tick   tomlfile.Duration
		Uneven float64
		Vary   float64
	}
	Load struct {
		Rate   float64
		ByWork bool `toml:"by_work"`
	}
	Clients struct {
		Tries    int
		Wait     tomlfile.Duration
		Heed     float64
		Patience float64
	}
	List struct {
		Mode                               string
		Up, Drain, Silent, Spread, Timeout tomlfile.Duration
		Calls                              float64
	}
	Records struct {
		Every, Late, Hold, Guard, Settle tomlfile.Duration
		Fail, Cut, Empty                 float64
	}
	Network struct {
		Zones          []string
		Within, Across tomlfile.Duration
		Jitter         float64
	}
	Report struct {
		Answers bool
		Every   tomlfile.Duration
		Noise   float64
	}
	Rules struct {
		MaxAttempts    int               `toml:"max_attempts"`
		SecondCopies   bool              `toml:"second_copies"`
		ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
		IdleClose      tomlfile.Duration `toml:"idle_close"`
		DrainGrace     tomlfile.Duration `toml:"drain_grace"`
		AnswerSlack    tomlfile.Duration `toml:"answer_slack"`
		AskWithin      tomlfile.Duration `toml:"ask_within"`
		ColdShare      float64           `toml:"cold_share"`
		RampTime       tomlfile.Duration `toml:"ramp_time"`
		FallMultiple   float64           `toml:"fall_multiple"`
		FallWindow     tomlfile.Duration `toml:"fall_window"`
		CrossZonePrice float64           `toml:"cross_zone_price"`
		MaxRetryAfter  tomlfile.Duration `toml:"max_retry_after"`
	}
	Kind     []kind
	Class    []class
	Servers  []servers
	Incident []incident
}

type kind struct {
	Name         string
	Cores        int
	Speed        float64
	Spread       float64
	Slots        int
	Queue        int
	Thrash       float64
	ThrashAt     float64           `toml:"thrash_at"`
	ColdShare    float64           `toml:"cold_share"`
	ColdFor      tomlfile.Duration `toml:"cold_for"`
	WarmBy       string            `toml:"warm_by"`
	PauseEvery   tomlfile.Duration `toml:"pause_every"`
	Pause        tomlfile.Duration
	PauseGrow    float64 `toml:"pause_grow"`
	ErrorRate    float64 `toml:"error_rate"`
	Connections  int
	Backlog      int
	Handshake    tomlfile.Duration
	HandshakeRTT float64 `toml:"handshake_rtt"`
}

type class struct {
	Name     string
	Share    float64
	Work     tomlfile.Duration
	Vary     float64
	Noise    float64
	Hint     *float64
	Aim      tomlfile.Duration
	Deadline tomlfile.Duration
	Worth    float64
	Late     float64
	Repeats  string // safe, keyed, unsafe
	Group    string // all, zone, pod
	Window   tomlfile.Duration
}

type servers struct {
	Name  string // prefix; servers with the same prefix are numbered consecutively through the file
	Kind  string
	Zone  string
	Pod   int
	Pods  int // number of pods that the servers are assigned to in turn, starting at Pod
	Count int
}

// Load reads the scenario at path and the site file that it names.
func Load(path string) (*model.Scenario, error) {
	var f file
	own, err := tomlfile.Read(path, &f)
	if err != nil {
		return nil, err
	}
	c := &validator{own: own, site: own}
	if f.Site != "" {
		// Settings of the scenario override those of the site. A list of kinds, classes or servers
		// replaces the site's list completely.
		var merged file
		at := filepath.Join(filepath.Dir(path), f.Site)
		if c.site, err = tomlfile.Read(at, &merged); err != nil {
			return nil, fmt.Errorf("%w (the site of %s)", err, path)
		}
		for _, key := range []string{"title", "site", "length", "incident"} {
			if c.site.Has(key) || c.site.Has(key+"[0]") {
				return nil, c.site.Errorf(key, "belongs in a scenario, not in a site")
			}
		}
		kinds, classes, fleet := merged.Kind, merged.Class, merged.Servers
		merged.Kind, merged.Class, merged.Servers = nil, nil, nil
		if _, err := tomlfile.Read(path, &merged); err != nil {
			return nil, err
		}
		if merged.Kind == nil {
			merged.Kind = kinds
		}
		if merged.Class == nil {
			merged.Class = classes
		}
		if merged.Servers == nil {
			merged.Servers = fleet
		}
		f = merged
	}
	return c.scenario(&f)
}

// validator checks a scenario and keeps the first error that it finds.
type validator struct {
	own, site *tomlfile.File
	err       error
}

// fail records an error about a key, positioned in the file that sets the key.
func (c *validator) fail(key, format string, args ...any) {
	if c.err != nil {
		return
	}
	f := c.own
	if !f.Has(key) && c.site.Has(key) || !f.Has(key) && c.site.Line(key) > 1 && f.Line(key) == 1 {
		f = c.site
	}
	c.err = f.Errorf(key, format, args...)
}

func (c *validator) positive(key string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.fail(key, "%v is not above 0", v)
	}
}

func (c *validator) notNegative(key string, v float64) {
	if !(v >= 0) || math.IsInf(v, 0) {
		c.fail(key, "%v is negative or not a number", v)
	}
}

func (c *validator) share(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.fail(key, "%v is not a share: 0 to 1 is allowed", v)
	}
}

func (c *validator) nonNegativeTime(key string, d tomlfile.Duration) time.Duration {
	if d.D() < 0 {
		c.fail(key, "%v is negative", d)
	}
	return d.D()
}

func (c *validator) positiveTime(key string, d tomlfile.Duration) time.Duration {
	if d.D() <= 0 {
		c.fail(key, "%v: a time above 0 is needed", d)
	}
	return d.D()
}

func (c *validator) name(key, name string, known []string) int {
	i := slices.Index(known, name)
	if i < 0 {
		c.fail(key, "%q is none of %s", name, strings.Join(known, ", "))
		return 0
	}
	return i
}

const (
	maxServers = 20000
	maxAgents  = 5000
)

func (c *validator) scenario(f *file) (*model.Scenario, error) {
	s := &model.Scenario{Title: f.Title, Length: c.positiveTime("length", f.Length),
		Agents: f.Agents.Count, Uneven: f.Agents.Uneven, Vary: f.Agents.Vary, Tick: c.nonNegativeTime("agents.tick", f.Agents.Tick),
		Rate: f.Load.Rate, ByWork: f.Load.ByWork, Zones: f.Network.Zones}
	if s.Length > 24*time.Hour {
		c.fail("length", "%v is more than a day", s.Length)
	}
	if s.Agents < 1 || s.Agents > maxAgents {
		c.fail("agents.count", "%d: 1 to %d are allowed", s.Agents, maxAgents)
	}
	c.share("agents.uneven", s.Uneven)
	c.notNegative("agents.vary", s.Vary)
	c.positive("load.rate", s.Rate)
	if len(s.Zones) == 0 {
		s.Zones = []string{"here"}
	}
	for i, z := range s.Zones {
		if z == "" || slices.Contains(s.Zones[:i], z) {
			c.fail("network.zones", "%q is empty or named twice", z)
		}
	}
	c.environment(f, s)
	c.classes(f, s)
	c.kinds(f, s)
	c.fleet(f, s)
	if c.err == nil {
		c.incidents(f, s)
	}
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

// environment reads the list, the records, the network, the load reports, the clients and the rules.
func (c *validator) environment(f *file, s *model.Scenario) {
	mode := c.name("list.mode", cmp.Or(f.List.Mode, "asked"), []string{"asked", "pushed"})
	s.List = model.ListSpec{Asked: mode == 0, Up: c.nonNegativeTime("list.up", f.List.Up), Drain: c.nonNegativeTime("list.drain", f.List.Drain),
		Silent: c.nonNegativeTime("list.silent", f.List.Silent), Spread: c.nonNegativeTime("list.spread", f.List.Spread), Calls: f.List.Calls,
		Timeout: c.nonNegativeTime("list.timeout", f.List.Timeout)}
	c.notNegative("list.calls", f.List.Calls)
	r := &f.Records
	s.Records = model.RecordsSpec{Every: c.nonNegativeTime("records.every", r.Every), Late: c.nonNegativeTime("records.late", r.Late),
		Fail: r.Fail, Cut: r.Cut, Empty: r.Empty,
		Hold:   c.positiveTime("records.hold", cmp.Or(r.Hold, tomlfile.NewDuration(time.Hour))),
		Guard:  c.positiveTime("records.guard", cmp.Or(r.Guard, tomlfile.NewDuration(30*time.Second))),
		Settle: c.positiveTime("records.settle", cmp.Or(r.Settle, tomlfile.NewDuration(12*time.Second)))}
	c.share("records.fail", r.Fail)
	c.share("records.cut", r.Cut)
	c.share("records.empty", r.Empty)
	if c.own.Has("records") && s.Records.Every == 0 {
		c.fail("records.every", "a time above 0 is needed where there are records")
	}
	s.Network = model.NetworkSpec{Within: c.nonNegativeTime("network.within", f.Network.Within),
		Across: c.nonNegativeTime("network.across", f.Network.Across), Jitter: f.Network.Jitter}
	c.notNegative("network.jitter", f.Network.Jitter)
	s.Report = model.ReportSpec{Answers: f.Report.Answers, Every: c.nonNegativeTime("report.every", f.Report.Every), Noise: f.Report.Noise}
	c.notNegative("report.noise", f.Report.Noise)
	s.Clients = model.Clients{Tries: cmp.Or(f.Clients.Tries, 1), Wait: c.nonNegativeTime("clients.wait", f.Clients.Wait),
		Heed: f.Clients.Heed, Patience: cmp.Or(f.Clients.Patience, 1)}
	if s.Clients.Tries < 1 || s.Clients.Tries > 10 {
		c.fail("clients.tries", "%d: 1 to 10 are allowed", s.Clients.Tries)
	}
	c.share("clients.heed", s.Clients.Heed)
	if c.share("clients.patience", s.Clients.Patience); s.Clients.Patience <= 0 {
		c.fail("clients.patience", "a share above 0 is needed")
	}
	rules := &f.Rules
	s.Rules = model.Rules{MaxAttempts: cmp.Or(rules.MaxAttempts, 3), SecondCopies: rules.SecondCopies,
		ConnectTimeout: c.positiveTime("rules.connect_timeout", cmp.Or(rules.ConnectTimeout, tomlfile.NewDuration(250*time.Millisecond))),
		IdleClose:      c.positiveTime("rules.idle_close", cmp.Or(rules.IdleClose, tomlfile.NewDuration(5*time.Second))),
		DrainGrace:     c.positiveTime("rules.drain_grace", cmp.Or(rules.DrainGrace, tomlfile.NewDuration(2*time.Second))),
		AnswerSlack:    c.nonNegativeTime("rules.answer_slack", cmp.Or(rules.AnswerSlack, tomlfile.NewDuration(20*time.Millisecond))),
		AskWithin:      c.positiveTime("rules.ask_within", cmp.Or(rules.AskWithin, tomlfile.NewDuration(10*time.Second))),
		ColdShare:      cmp.Or(rules.ColdShare, 0.31), RampTime: c.positiveTime("rules.ramp_time", cmp.Or(rules.RampTime, tomlfile.NewDuration(8600*time.Millisecond))),
		FallMultiple: cmp.Or(rules.FallMultiple, 2.5), FallWindow: c.positiveTime("rules.fall_window", cmp.Or(rules.FallWindow, tomlfile.NewDuration(time.Second))),
		CrossZonePrice: rules.CrossZonePrice, MaxRetryAfter: c.nonNegativeTime("rules.max_retry_after", rules.MaxRetryAfter)}
	if s.Rules.MaxAttempts < 1 {
		c.fail("rules.max_attempts", "%d: at least 1 is needed", s.Rules.MaxAttempts)
	}
	c.share("rules.cold_share", s.Rules.ColdShare)
	c.positive("rules.fall_multiple", s.Rules.FallMultiple)
	c.notNegative("rules.cross_zone_price", rules.CrossZonePrice)
}

func (c *validator) classes(f *file, s *model.Scenario) {
	if len(f.Class) == 0 {
		c.fail("class", "at least one [[class]] is needed")
	}
	for i, k := range f.Class {
		at := func(field string) string { return fmt.Sprintf("class[%d].%s", i, field) }
		if k.Name == "" || strings.ContainsAny(k.Name, "/ ?#%") {
			c.fail(at("name"), "%q can't be used as the first part of a path", k.Name)
		}
		if slices.ContainsFunc(s.Classes, func(o model.Class) bool { return o.Name == k.Name }) {
			c.fail(at("name"), "%q is named twice", k.Name)
		}
		effect := c.name(at("repeats"), cmp.Or(k.Repeats, "safe"), []string{"safe", "keyed", "unsafe"})
		group := c.name(at("group"), cmp.Or(k.Group, "all"), []string{"all", "zone", "pod"})
		e := model.Class{Name: k.Name, Share: k.Share, Work: c.positiveTime(at("work"), k.Work), Vary: k.Vary, Noise: k.Noise, Hint: -1,
			Class: decide.Class{Objective: c.positiveTime(at("aim"), k.Aim), Deadline: c.positiveTime(at("deadline"), k.Deadline), Value: k.Worth,
				LateValue: k.Late, Effect: decide.Effect(effect), Scope: decide.DedupScope(group), DedupWindow: c.nonNegativeTime(at("window"), k.Window)}}
		if k.Hint != nil {
			e.Hint = *k.Hint
			c.notNegative(at("hint"), e.Hint)
		}
		c.positive(at("share"), k.Share)
		c.notNegative(at("vary"), k.Vary)
		c.notNegative(at("noise"), k.Noise)
		c.notNegative(at("worth"), k.Worth)
		c.share(at("late"), k.Late)
		if e.Objective > e.Deadline {
			c.fail(at("aim"), "%v is past the deadline of %v", e.Objective, e.Deadline)
		}
		if (e.Effect == decide.Keyed) != (e.DedupWindow > 0) {
			c.fail(at("window"), "%v: a keyed class has a window, and no other has", e.DedupWindow)
		}
		s.Classes = append(s.Classes, e)
	}
}

func (c *validator) kinds(f *file, s *model.Scenario) {
	if len(f.Kind) == 0 {
		c.fail("kind", "at least one [[kind]] is needed")
	}
	for i, k := range f.Kind {
		at := func(field string) string { return fmt.Sprintf("kind[%d].%s", i, field) }
		if k.Name == "" || slices.ContainsFunc(s.Kinds, func(o model.Kind) bool { return o.Name == k.Name }) {
			c.fail(at("name"), "%q is empty or named twice", k.Name)
		}
		e := model.Kind{Name: k.Name, Cores: k.Cores, Speed: k.Speed, Spread: k.Spread, Slots: cmp.Or(k.Slots, k.Cores),
			Queue: k.Queue, Thrash: k.Thrash, ThrashAt: k.ThrashAt, ColdShare: cmp.Or(k.ColdShare, 1),
			ColdFor: c.nonNegativeTime(at("cold_for"), k.ColdFor), PauseEvery: c.nonNegativeTime(at("pause_every"), k.PauseEvery),
			Pause: c.nonNegativeTime(at("pause"), k.Pause), PauseGrow: k.PauseGrow, ErrorRate: k.ErrorRate,
			Connections: cmp.Or(k.Connections, 10000), Backlog: k.Backlog, Handshake: c.nonNegativeTime(at("handshake"), k.Handshake), HandshakeRTT: k.HandshakeRTT}
		e.WarmByWork = c.name(at("warm_by"), cmp.Or(k.WarmBy, "time"), []string{"time", "work"}) == 1
		for _, f := range []struct {
			name string
			v    int
		}{{"cores", e.Cores}, {"slots", e.Slots}, {"connections", e.Connections}} { // slots default to the number of cores
			if f.v < 1 {
				c.fail(at(f.name), "%d: at least 1 is needed", f.v)
			}
		}
		for _, f := range []struct {
			name string
			v    int
		}{{"queue", e.Queue}, {"backlog", e.Backlog}} {
			if f.v < 0 {
				c.fail(at(f.name), "%d is negative", f.v)
			}
		}
		c.positive(at("speed"), e.Speed)
		c.positive(at("cold_share"), e.ColdShare)
		for _, v := range []struct {
			field string
			v     float64
		}{{"spread", e.Spread}, {"thrash", e.Thrash}, {"thrash_at", e.ThrashAt}, {"pause_grow", e.PauseGrow}, {"handshake_rtt", e.HandshakeRTT}} {
			c.notNegative(at(v.field), v.v)
		}
		c.share(at("cold_share"), e.ColdShare)
		c.share(at("error_rate"), e.ErrorRate)
		s.Kinds = append(s.Kinds, e)
	}
}

func (c *validator) fleet(f *file, s *model.Scenario) {
	kinds := names(s.Kinds, func(k model.Kind) string { return k.Name })
	number := map[string]int{}
	for i, g := range f.Servers {
		at := func(field string) string { return fmt.Sprintf("servers[%d].%s", i, field) }
		if g.Name == "" || strings.ContainsAny(g.Name, " \"\\/") {
			c.fail(at("name"), "%q can't be used as a name of servers", g.Name)
		}
		if g.Count < 1 || g.Count+len(s.Servers) > maxServers {
			c.fail(at("count"), "%d: at least 1, and %d in all, are allowed", g.Count, maxServers)
			return
		}
		kind := c.name(at("kind"), g.Kind, kinds)
		zone := c.name(at("zone"), cmp.Or(g.Zone, s.Zones[0]), s.Zones)
		if g.Pods < 0 {
			c.fail(at("pods"), "%d is negative", g.Pods)
			return
		}
		for n := range g.Count {
			number[g.Name]++
			s.Servers = append(s.Servers, model.ServerSpec{Name: fmt.Sprintf("%s-%d", g.Name, number[g.Name]),
				Place: len(s.Servers), Kind: kind, Zone: zone, Pod: g.Pod + n%max(1, g.Pods)})
		}
	}
	if len(s.Servers) == 0 {
		c.fail("servers", "at least one [[servers]] is needed")
	}
}

func names[T any](list []T, name func(T) string) []string {
	var all []string
	for _, x := range list {
		all = append(all, name(x))
	}
	return all
}
