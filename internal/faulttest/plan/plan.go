// Package plan reads the plan files of fault tests: the daemons, and the faults and other events that happen to them
// and to the links between them, with their times.
package plan

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/faulttest/checker"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/tomlfile"
)

// Plan is a validated fault test.
type Plan struct {
	Name               string
	Daemons            int
	Length             time.Duration
	Seeds              []int // daemons by number, from 0
	Servers            int
	Rate               float64 // requests a second for each daemon
	Spread             time.Duration
	Peers              Peers
	Bounds             checker.Bounds
	Link               Link     // state of all links from the start
	Regions            []string // region of each daemon by number; nil: there are no regions
	Between            Link     // state of all links between two regions from the start, in place of Link
	Events             []Event
	NeedsRealProcesses bool // needs real processes, because virtual time has no model of an event or a limit
	Why                string
	RequiredClaims     []string // claims that the run must exercise
	Zones              int
	ServiceTime        time.Duration // processing time of a request at a server
	Limits             []Limit
	LeaseServers       []int
	Term               time.Duration
	Policy             *Policy // nil: the daemons agree on no policy
	VirtualTimeOnly    bool    // runs in virtual time only
}

// Policy configures the daemons' agreement on policies.
type Policy struct {
	Voters                           []int
	StopWhenIsolated, ServeLastKnown bool
	Lease, PrepareTimeout            time.Duration
	Witness                          bool
	Holds                            map[string][]int // by service: the daemons that serve it and hold its part
}

// Of returns the names of the parts that a daemon holds, sorted.
func (p *Policy) Of(daemon int) (all []string) {
	for part, who := range p.Holds {
		if slices.Contains(who, daemon) {
			all = append(all, part)
		}
	}
	slices.Sort(all)
	return all
}

// Limit is a limit that the daemons share, over all their requests.
type Limit struct {
	Name   string
	Counts quota.Kind
	Total  int
	Hard   bool
	Floor  float64
	Each   bool // one for each server
}

// LeaseSettings returns the daemons' configuration of the limits.
func (p *Plan) LeaseSettings() lease.Settings {
	s := lease.Settings{Term: p.Term, MaxAttemptTime: Deadline}
	for _, k := range p.LeaseServers {
		s.Servers = append(s.Servers, Name(k))
	}
	for _, l := range p.Limits {
		s.Limits = append(s.Limits, lease.Limit{Limit: quota.Limit{Name: l.Name, Kind: l.Counts, Partition: partition(l.Each)}, Total: l.Total, Hard: l.Hard, FloorShare: l.Floor})
	}
	return s
}

func partition(server bool) quota.Partition {
	if server {
		return quota.PerServer
	}
	return quota.NotPartitioned
}

// RampTime is the duration of a server's slow start, as configured in the daemons.
const RampTime = 15 * time.Second

// Deadline is the deadline of all request classes.
const Deadline = 2 * time.Second

// Peers are the settings of the daemons' membership module; 0: the default.
type Peers struct {
	ProbeInterval, ProbeTimeout, IndirectTimeout, MinSuspicion time.Duration
	Bytes, FarBytes                                            int
}

// Region returns a daemon's region; empty if it is in none.
func (p *Plan) Region(n int) string {
	if n < len(p.Regions) {
		return p.Regions[n]
	}
	return ""
}

// Usual returns the state of the link from one daemon to another while no event changes it.
func (p *Plan) Usual(from, to int) Link {
	if p.Region(from) != p.Region(to) {
		return p.Between
	}
	return p.Link
}

// Link is the state of one direction between a pair of daemons.
type Link struct {
	Drop, Duplicate, Reorder, Damage float64 // shares of datagrams
	Delay, Jitter                    time.Duration
	Slow                             int  // bandwidth in bytes a second; 0: unlimited
	Break                            bool // streams break after some bytes
}

// OneWayDelayMicros returns the mean one-way delay that the link adds, in microseconds.
func (l Link) OneWayDelayMicros() int64 { return (l.Delay + l.Jitter/2).Microseconds() }

// Whole reports whether the link has no faults.
func (l Link) Whole() bool { return l == Link{} }

// IsImpaired reports whether the link does more than drop and delay traffic.
func (l Link) IsImpaired() bool {
	return l.Duplicate > 0 || l.Reorder > 0 || l.Damage > 0 || l.Slow > 0 || l.Break
}

// Event is something that happens to daemons, servers or links.
type Event struct {
	At      time.Duration
	Do      string
	Who     []int
	To      []int // the other ends of links
	Both    bool
	Link    Link
	State   string        // of a start: kept, none, old, torn
	Clock   time.Duration // of a start: offset of the daemon's wall clock
	Share   float64       // of a starve event: the daemon's share of a core
	Count   int           // of a stray event: number of datagrams
	Kind    string        // of a stray or disk event: its kind; of an apply event: text of the proposed policy
	Build   string        // of a start: path of another executable
	Move    bool          // of a start: at a new address
	Twin    bool          // of a start: a second process with this daemon's name, at another address
	For     time.Duration // of a starve event: duration
	Rate    float64       // of a rate event: the clients' requests a second from then on
	Fail    float64       // share of a server's requests that fail
	Servers []int         // servers by number, from 0
	Remove  string        // of a voters event: the voter to remove
	Parts   []string      // of an apply event: parts of the policy to change; empty: the global part
}

type file struct {
	Name    string
	Why     string
	Tries   []string
	Daemons int
	Length  tomlfile.Duration
	Seeds   []string
	Servers int
	Zones   int
	Rate    float64
	Spread  tomlfile.Duration
	Takes   tomlfile.Duration
	Keepers []string
	Term    tomlfile.Duration
	Limit   []limit
	Policy  *policySection
	Groups  map[string][]string
	Regions map[string][]string
	Between *link
	Peers   struct {
		Every        tomlfile.Duration
		Direct       tomlfile.Duration
		Indirect     tomlfile.Duration
		SuspectLeast tomlfile.Duration `toml:"suspect_least"`
		Bytes        int
		FarBytes     int `toml:"far_bytes"`
	}
	Bounds struct {
		Crash     tomlfile.Duration
		Leave     tomlfile.Duration
		Join      tomlfile.Duration
		Settle    tomlfile.Duration
		Pause     tomlfile.Duration
		Served    float64
		BytesIdle int `toml:"bytes_idle"`
		BytesMost int `toml:"bytes_most"`
		BytesFar  int `toml:"bytes_far"`
		Ways      int
		Doubt     tomlfile.Duration
		Used      float64
		Verdict   tomlfile.Duration
		Kept      float64
		Spread    tomlfile.Duration
	}
	Link  link
	Event []event
}

type link struct {
	Drop, Duplicate, Reorder, Damage float64
	Delay                            tomlfile.Duration
	Jitter                           tomlfile.Duration
	Slow                             int
	Break                            bool
}

type limit struct {
	Name   string
	Counts string
	Kind   string
	Figure int
	Floor  float64
	Each   string
}

// policySection is the [policy] section of a plan file.
type policySection struct {
	Voters    []string
	CutOff    string `toml:"cut_off"`
	WhenAlone string `toml:"when_alone"`
	Lease     tomlfile.Duration
	Within    tomlfile.Duration
	Witness   bool
	Holds     map[string][]string
}

type event struct {
	Parts  []string
	Remove string
	Rate   float64
	Fail   float64
	Names  []string `toml:"servers"`
	At     tomlfile.Duration
	Do     string
	Who    []string
	To     []string
	One    bool `toml:"one_way"`
	For    tomlfile.Duration
	Every  tomlfile.Duration
	Times  int
	State  string
	Clock  tomlfile.Duration
	Share  float64
	Count  int
	Kind   string
	Build  string
	Move   bool
	Twin   bool
	link
}

// eventKeys maps each action of an event to the keys that it allows besides at, do, every and times.
var eventKeys = map[string][]string{
	"start":    {"who", "state", "clock", "build", "move", "twin"},
	"kill":     {"who"},
	"term":     {"who"},
	"pause":    {"who", "for"},
	"resume":   {"who"},
	"starve":   {"who", "for", "share"},
	"handover": {"who"},
	"keep":     {"who"}, // copies the daemon's disk; a start with state = "old" uses the copy
	"link":     {"who", "to", "one_way", "for", "drop", "duplicate", "reorder", "damage", "delay", "jitter", "slow", "break"},
	"heal":     {"who", "to", "one_way"},
	"list":     {"who", "for", "drop"},
	"servers":  {"who", "for", "drop", "servers"}, // sets the loss of the links of the daemons in who to the named servers, or to all
	"fail":     {"servers", "fail", "for"},
	"fresh":    {"servers"}, // the list reports that they have just started, so slow start applies to them
	"rate":     {"who", "rate"},
	"stray":    {"who", "kind", "count"},
	"forget":   {"who", "to"},                  // an operator at each daemon in who declares the daemons in to gone for good
	"apply":    {"who", "to", "kind", "parts"}, // an operator at each daemon in who proposes a change of the parts that excludes the daemons in to
	"voters":   {"who", "to", "remove"},
	"rescue":   {"who"},
	"trust":    {"who"},
	"disk":     {"who", "kind", "for"}, // full, slow or well; in virtual time only
}

// StrayKinds are the kinds of unexpected datagrams that a stray event sends.
var StrayKinds = []string{"damaged", "doubled", "old", "foreign", "future", "huge"}

// MaxRealDaemons is the maximum number of daemons in a fault test with real processes.
const MaxRealDaemons = 64

// Load reads and validates the plan file at path.
func Load(path string) (*Plan, error) {
	var f file
	t, err := tomlfile.Read(path, &f)
	if err != nil {
		return nil, err
	}
	f.Name = cmp.Or(f.Name, strings.TrimSuffix(filepath.Base(path), ".toml"))
	return check(t, &f)
}

type reader struct {
	*tomlfile.File
	f   *file
	p   *Plan
	err error
}

func (r *reader) fail(key, format string, args ...any) {
	if r.err == nil {
		r.err = r.Errorf(key, format, args...)
	}
}

func (r *reader) duration(key string, d tomlfile.Duration, instead time.Duration) time.Duration {
	if d.D() < 0 {
		r.fail(key, "%v is negative", d)
	}
	return cmp.Or(d.D(), instead)
}

func (r *reader) share(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		r.fail(key, "%v is not a share: 0 to 1 is allowed", v)
	}
}

func (r *reader) link(at string, l *link) Link {
	r.share(at+"drop", l.Drop)
	r.share(at+"duplicate", l.Duplicate)
	r.share(at+"reorder", l.Reorder)
	r.share(at+"damage", l.Damage)
	if l.Slow < 0 {
		r.fail(at+"slow", "%d is negative", l.Slow)
	}
	return Link{Drop: l.Drop, Duplicate: l.Duplicate, Reorder: l.Reorder, Damage: l.Damage, Slow: l.Slow, Break: l.Break,
		Delay: r.duration(at+"delay", l.Delay, 0), Jitter: r.duration(at+"jitter", l.Jitter, 0)}
}

var daemonRange = regexp.MustCompile(`^d([0-9]+)(?:-d([0-9]+))?$`)

// daemons returns the daemons named by "d3", "d2-d5", "all" and groups.
func (r *reader) daemons(key string, names []string) []int {
	in := make([]bool, r.p.Daemons)
	var add func(names []string, deep bool)
	add = func(names []string, deep bool) {
		for _, n := range names {
			if n == "all" {
				for i := range in {
					in[i] = true
				}
				continue
			}
			group, ok := r.f.Groups[n]
			if !ok {
				group, ok = r.f.Regions[n]
			}
			if ok && !deep {
				add(group, true)
				continue
			}
			m := daemonRange.FindStringSubmatch(n)
			if m == nil {
				r.fail(key, "%q: d1 to d%d, ranges such as d2-d5, all, or a group are allowed", n, r.p.Daemons)
				return
			}
			from, _ := strconv.Atoi(m[1])
			to, _ := strconv.Atoi(cmp.Or(m[2], m[1]))
			if from < 1 || to > r.p.Daemons || to < from {
				r.fail(key, "%q is not a daemon of this plan, which has d1 to d%d", n, r.p.Daemons)
				return
			}
			for i := from; i <= to; i++ {
				in[i-1] = true
			}
		}
	}
	add(names, false)
	var all []int
	for i, yes := range in {
		if yes {
			all = append(all, i)
		}
	}
	return all
}

func check(t *tomlfile.File, f *file) (*Plan, error) {
	p := &Plan{Name: f.Name, Why: f.Why, RequiredClaims: f.Tries, Daemons: f.Daemons, Servers: f.Servers, Rate: f.Rate, Zones: cmp.Or(f.Zones, 1)}
	r := &reader{File: t, f: f, p: p}
	if f.Daemons < 1 || f.Daemons > 5000 {
		return nil, t.Errorf("daemons", "%d: 1 to 5000 are allowed, and up to %d as real processes", f.Daemons, MaxRealDaemons)
	}
	if f.Servers < 0 || f.Servers > 100 || !(f.Rate >= 0 && f.Rate <= 10000) || f.Zones < 0 || f.Zones > 16 {
		r.fail("servers", "%d servers, rate %v, zones %d: up to 100, 10000 and 16 are allowed", f.Servers, f.Rate, f.Zones)
	}
	if f.Rate > 0 && f.Servers == 0 {
		r.fail("rate", "%v requests a second but no servers", f.Rate)
	}
	p.Length = r.duration("length", f.Length, 30*time.Second)
	p.Spread = r.duration("spread", f.Spread, 0)
	p.Peers = Peers{ProbeInterval: r.duration("peers.every", f.Peers.Every, 0), ProbeTimeout: r.duration("peers.direct", f.Peers.Direct, 0),
		IndirectTimeout: r.duration("peers.indirect", f.Peers.Indirect, 0), MinSuspicion: r.duration("peers.suspect_least", f.Peers.SuspectLeast, 0), Bytes: f.Peers.Bytes, FarBytes: f.Peers.FarBytes}
	b := &f.Bounds
	p.Bounds = checker.Bounds{Crash: r.duration("bounds.crash", b.Crash, 8*time.Second), Leave: r.duration("bounds.leave", b.Leave, 2*time.Second),
		Join: r.duration("bounds.join", b.Join, 5*time.Second), Settle: r.duration("bounds.settle", b.Settle, 10*time.Second),
		Pause: r.duration("bounds.pause", b.Pause, 1500*time.Millisecond), MinServed: cmp.Or(b.Served, 0.99),
		MaxIdleBytes: cmp.Or(b.BytesIdle, 2<<10), MaxBytes: cmp.Or(b.BytesMost, 80<<10), MaxRemoteBytes: cmp.Or(b.BytesFar, 20<<10), RoundTrips: b.Ways, MaxSuspicion: r.duration("bounds.doubt", b.Doubt, 0), MinLimitUse: cmp.Or(b.Used, 0.8),
		PolicySpread: r.duration("bounds.spread", b.Spread, 500*time.Millisecond), Ejection: r.duration("bounds.verdict", b.Verdict, 5*time.Second), MaxEjectedShare: cmp.Or(b.Kept, 0.25)}
	r.share("bounds.served", b.Served)
	p.Link = r.link("link.", &f.Link)
	r.regions(f)
	p.ServiceTime, p.Term = r.duration("takes", f.Takes, 5*time.Millisecond), r.duration("term", f.Term, lease.DefaultTerm)
	r.limits(f)
	r.policy(f)
	if f.Seeds == nil {
		f.Seeds = []string{"d1", "d" + strconv.Itoa(min(2, f.Daemons))}
	}
	p.Seeds = r.daemons("seeds", f.Seeds)
	for i, c := range f.Tries {
		if !slices.Contains(checker.Names, c) {
			r.fail(fmt.Sprintf("tries[%d]", i), "%q is none of %s", c, strings.Join(checker.Names, ", "))
		}
	}
	for name, members := range f.Groups {
		if daemonRange.MatchString(name) || name == "all" {
			r.fail("groups."+name, "the name is reserved for daemons")
		}
		r.daemons("groups."+name, members)
	}
	for i := range f.Event {
		r.event(fmt.Sprintf("event[%d].", i), &f.Event[i])
	}
	if r.err != nil {
		return nil, r.err
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return p, nil
}

// regions reads the daemons' regions. A region can be used as a group as well.
func (r *reader) regions(f *file) {
	if r.p.Between = r.p.Link; f.Between != nil {
		r.p.Between = r.link("between.", f.Between)
	}
	if f.Between != nil && (len(f.Regions) == 0 || f.Policy != nil) {
		r.fail("between", "[between] needs [regions] and cannot be combined with [policy]")
	}
	if len(f.Regions) == 0 {
		return
	}
	r.p.Regions = make([]string, r.p.Daemons)
	names := make([]string, 0, len(f.Regions))
	for name := range f.Regions {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		at := "regions." + name
		if _, ok := f.Groups[name]; ok || daemonRange.MatchString(name) || name == "all" || len(name) > 64 {
			r.fail(at, "a group or a daemon has this name, or the name is longer than 64 bytes")
		}
		for _, n := range r.daemons(at, f.Regions[name]) {
			if r.p.Regions[n] != "" {
				r.fail(at, "%s is already in region %s", Name(n), r.p.Regions[n])
			}
			r.p.Regions[n] = name
		}
	}
}

// policy reads the [policy] section.
func (r *reader) policy(f *file) {
	in := f.Policy
	if in == nil {
		return
	}
	p := &Policy{Voters: r.daemons("policy.voters", in.Voters), Lease: r.duration("policy.lease", in.Lease, policy.DefaultLease), PrepareTimeout: r.duration("policy.within", in.Within, policy.DefaultPrepareTimeout), Witness: in.Witness}
	if n := len(p.Voters); n != 1 && n != 3 && n != 5 {
		r.fail("policy.voters", "%d voters: 1, 3 or 5 are allowed", n)
	}
	if p.StopWhenIsolated = in.CutOff == "stops"; !p.StopWhenIsolated && in.CutOff != "vetoes" {
		r.fail("policy.cut_off", "%q is neither stops nor vetoes", in.CutOff)
	}
	if p.ServeLastKnown = in.WhenAlone == "last"; !p.ServeLastKnown && in.WhenAlone != "" && in.WhenAlone != "none" {
		r.fail("policy.when_alone", "%q is neither none nor last", in.WhenAlone)
	}
	for _, part := range slices.Sorted(maps.Keys(in.Holds)) {
		if part == "" || strings.ContainsAny(part, " /-") {
			r.fail("policy.holds", "%q: a service name must not be empty or contain spaces, slashes or dashes", part)
		}
		if p.Holds == nil {
			p.Holds = map[string][]int{}
		}
		p.Holds[part] = r.daemons("policy.holds."+part, in.Holds[part])
	}
	r.p.Policy = p
}

// limits reads the limits that the daemons share.
func (r *reader) limits(f *file) {
	r.p.LeaseServers = r.daemons("keepers", f.Keepers)
	for i, l := range f.Limit {
		at := fmt.Sprintf("limit[%d].", i)
		counts := slices.Index(quota.KindNames, l.Counts)
		if l.Each != "" && l.Each != "server" {
			r.fail(at+"each", "%q: only server is allowed, or no value", l.Each)
		}
		if counts < 0 || l.Kind != "hard" && l.Kind != "soft" || l.Name == "" || len(r.p.LeaseServers) == 0 {
			r.fail(at+"counts", "%q, kind %q, name %q: counts %s, hard or soft, a name, and keepers are needed", l.Counts, l.Kind, l.Name, strings.Join(quota.KindNames, ", "))
			return
		}
		r.p.Limits = append(r.p.Limits, Limit{l.Name, quota.Kind(counts), l.Figure, l.Kind == "hard", l.Floor, l.Each == "server"})
		r.p.NeedsRealProcesses = true
	}
	if len(f.Limit) > 0 {
		if _, err := lease.NewClient(r.p.LeaseSettings(), "d1", 1); err != nil {
			r.fail("limit", "%v", err)
		}
	}
}

func (r *reader) event(at string, e *event) {
	allowed, ok := eventKeys[e.Do]
	if !ok {
		var all []string
		for d := range eventKeys {
			all = append(all, d)
		}
		slices.Sort(all)
		r.fail(at+"do", "%q is none of %s", e.Do, strings.Join(all, ", "))
		return
	}
	for _, key := range []string{"who", "to", "one_way", "for", "state", "clock", "share", "count", "kind", "build", "move", "twin", "rate", "fail", "servers", "remove", "parts", "drop",
		"duplicate", "reorder", "damage", "delay", "jitter", "slow", "break"} {
		if r.Has(at+key) && !slices.Contains(allowed, key) {
			r.fail(at+key, "action %s does not allow this key", e.Do)
		}
	}
	ev := Event{At: r.duration(at+"at", e.At, 0), Do: e.Do, Who: r.daemons(at+"who", e.Who), To: r.daemons(at+"to", e.To), Both: !e.One,
		State: cmp.Or(e.State, "kept"), Clock: e.Clock.D(), Share: e.Share, Count: cmp.Or(e.Count, 20), Kind: e.Kind, Build: e.Build, Move: e.Move, Twin: e.Twin, For: e.For.D(), Rate: e.Rate, Fail: e.Fail, Remove: e.Remove, Parts: e.Parts}
	for _, n := range e.Names {
		k, err := strconv.Atoi(strings.TrimPrefix(n, "s"))
		if err != nil || k < 1 || k > r.p.Servers || n[0] != 's' {
			r.fail(at+"servers", "%q is not a server of this plan, which has s1 to s%d", n, r.p.Servers)
		}
		ev.Servers = append(ev.Servers, k-1)
	}
	ev.Link = r.link(at, &e.link)
	if len(ev.Who) == 0 && !(e.Do == "heal" && e.Who == nil) && e.Do != "fail" && e.Do != "fresh" {
		r.fail(at+"who", "no daemon is named")
	}
	r.share(at+"share", e.Share)
	switch e.Do {
	case "link":
		if len(ev.To) == 0 {
			r.fail(at+"to", "no daemon is named")
		}
	case "start":
		if !slices.Contains([]string{"kept", "none", "old", "torn"}, ev.State) {
			r.fail(at+"state", "%q is none of kept, none, old, torn", ev.State)
		}
	case "starve":
		if e.Share <= 0 || e.Share >= 1 || e.For.D() <= 0 {
			r.fail(at+"share", "%v: a share between 0 and 1 and a duration are needed", e.Share)
		}
	case "apply", "voters", "rescue", "trust":
		if r.p.Policy == nil {
			r.fail(at+"do", "%s: the plan has no [policy]", e.Do)
			break
		}
		for _, part := range e.Parts {
			if part != "" && r.p.Policy.Holds[part] == nil {
				r.fail(at+"parts", "%q is not in policy.holds", part)
			}
		}
	case "disk":
		if !slices.Contains([]string{"full", "slow", "well"}, e.Kind) {
			r.fail(at+"kind", "%q is none of full, slow, well", e.Kind)
		}
		r.p.VirtualTimeOnly = true
	case "stray":
		if !slices.Contains(StrayKinds, e.Kind) {
			r.fail(at+"kind", "%q is none of %s", e.Kind, strings.Join(StrayKinds, ", "))
		}
		r.p.NeedsRealProcesses = true
	case "fresh":
		if len(ev.Servers) == 0 {
			r.fail(at+"servers", "no server is named")
		}
		r.p.NeedsRealProcesses = true
	case "fail":
		if len(ev.Servers) == 0 || !(e.Fail >= 0 && e.Fail <= 1) {
			r.fail(at+"fail", "%v: a share from 0 to 1 and servers are needed", e.Fail)
		}
		r.p.NeedsRealProcesses = true
	case "rate":
		if !(e.Rate >= 0 && e.Rate <= 10000) || r.p.Rate == 0 {
			r.fail(at+"rate", "%v: up to 10000 are allowed, and only if rate is set for the whole plan", e.Rate)
		}
		r.p.NeedsRealProcesses = true
	case "list", "servers", "handover":
		r.p.NeedsRealProcesses = r.p.NeedsRealProcesses || e.Do == "handover" || len(e.Names) > 0
	}
	if ev.Build != "" {
		r.p.NeedsRealProcesses = true
	}
	if e.Times < 0 || e.Times > 1000 || e.Times > 1 && e.Every.D() <= 0 {
		r.fail(at+"times", "%d: up to 1000 are allowed, and every must be set", e.Times)
	}
	undo := map[string]string{"pause": "resume", "link": "heal", "list": "list", "servers": "servers", "fail": "fail", "disk": "disk"}
	for n := range max(1, e.Times) {
		one := ev
		one.At += time.Duration(n) * e.Every.D()
		if one.At > r.p.Length {
			r.fail(at+"at", "%v is past the end of the plan at %v", one.At, r.p.Length)
		}
		r.p.Events = append(r.p.Events, one)
		if back := undo[e.Do]; e.For.D() > 0 && back != "" {
			end := one
			end.At += e.For.D()
			end.Do, end.Link, end.Fail, end.Kind = back, Link{}, 0, "well"
			r.p.Events = append(r.p.Events, end)
		}
	}
}

// RunsFromStart reports whether a daemon runs from the beginning, that is, whether its first event is not its own start.
func (p *Plan) RunsFromStart(n int) bool {
	for _, e := range p.Events {
		if slices.Contains(e.Who, n) && slices.Contains([]string{"start", "kill", "term", "pause"}, e.Do) {
			return e.Do != "start" || e.Twin
		}
	}
	return true
}

// Name returns the name of daemon n.
func Name(n int) string { return "d" + strconv.Itoa(n+1) }
