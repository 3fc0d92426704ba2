// Package endpoints makes one list of servers of what several sources say. It is free of I/O, clock and
// randomness: reports and the time go in, the list and the reasons come out. The rule stands as one table
// in docs/design/membership.md, and as a table test.
package endpoints

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// State is what a source says of a server, and what comes of it.
type State uint8

// States. A source that does not name a server says Absent.
const (
	Absent State = iota
	Up
	Draining
	Removed
)

func (s State) String() string { return [...]string{"absent", "up", "draining", "gone"}[s] }

// Server is one server as a source describes it.
type Server struct {
	ID       string
	Addr     string // IP and port
	Zone     string
	Kind     string
	Pod      int
	Weight   float64
	Priority int // RFC 2782: those of a higher number stand by while one of a lower is up
	State    State
	Started  int64 // Unix time in ms; 0: not told
}

// Source is how far a source is believed.
type Source struct {
	Name string
	// Exact sources say what they leave out: a server that is missing from a whole view is gone. Records
	// are not exact: one that is missing has been withdrawn, which another source may know better.
	Exact bool
	Hold  time.Duration // how long the last good view of a source that fails holds
}

// Settings say how much is believed, and for how long.
type Settings struct {
	Sources []Source // the first that tells a thing is believed
	// Guard is how long servers stay that a whole view of records has suddenly lost: more than half, and
	// more than two. A further view so much later that lacks them too is believed.
	Guard time.Duration
	// Settle is the least time between two changes of a server's pod that take effect.
	Settle time.Duration
}

// What sources say.
type (
	// Snapshot is all that a source knows.
	Snapshot struct {
		Source  string
		Servers []Server
	}
	// Delta is part of it: what has come, changed or gone.
	Delta struct {
		Source  string
		Servers []Server
	}
	// Reset takes back all that a source has said.
	Reset struct{ Source string }
	// Failed says that a source could not be asked, or that its answer was no good.
	Failed struct{ Source string }
)

// Report is one of them.
type Report interface{ report() }

func (Snapshot) report() {}
func (Delta) report()    {}
func (Failed) report()   {}
func (Reset) report()    {}

// Member is a server of the merged list, in it or not.
type Member struct {
	Server
	In  bool
	Why string
}

// Module merges. It belongs to one goroutine.
type Module struct {
	settings Settings
	sources  []*source
	// removals are those of which a source said that they drain or are gone, by address and by ID: that holds
	// until there is newer evidence.
	removals []*removal
	pods     map[string]*pod // by ID
	lastList map[string]Member
	latest   time.Duration
	logs     []string
}

type source struct {
	Source
	known   bool
	failing bool
	since   time.Duration // failing since then
	entries map[string]*entry
	viewAt  time.Duration
	began   time.Duration            // first heard, since it last knew nothing
	without map[string]time.Duration // servers that it had: first heard without them then
}

type entry struct {
	Server
	announced time.Duration // when it last came
	missed    time.Duration // when its source last spoke without having it up, before that
	absent    time.Duration // and since when it had spoken so
	lost      bool          // a whole view suddenly lacks it, and is not believed yet
	lostAt    time.Duration
}

type removal struct {
	id, addr string
	state    State
	by       string
	at       time.Duration
	started  int64
}

type pod struct {
	pod     int
	changed time.Duration
	said    bool // another one is said meanwhile, and that was logged
}

// New merges nothing yet.
func New(s Settings) *Module {
	m := &Module{settings: s, pods: map[string]*pod{}, lastList: map[string]Member{}}
	for _, o := range s.Sources {
		m.sources = append(m.sources, &source{Source: o, entries: map[string]*entry{}})
	}
	return m
}

// Step takes reports that came by now, and returns the list as it is: every server that any source
// names, in it or not, by ID. Without reports, time alone has passed. changed tells whether it differs
// from the list before.
func (m *Module) Step(now time.Duration, reports ...Report) (list []Member, changed bool) {
	m.latest = max(now, m.latest)
	for _, r := range reports {
		switch r := r.(type) {
		case Snapshot:
			if s := m.source(r.Source); s != nil {
				m.applySnapshot(s, r.Servers)
			}
		case Delta:
			if s := m.source(r.Source); s != nil {
				for _, v := range r.Servers {
					m.applyServer(s, v)
				}
				s.heard(m.latest)
			}
		case Reset:
			if s := m.source(r.Source); s != nil {
				s.entries, s.known = map[string]*entry{}, false
				m.removals = slices.DeleteFunc(m.removals, func(g *removal) bool { return g.by == s.Name })
			}
		case Failed:
			if s := m.source(r.Source); s != nil && !s.failing {
				s.failing, s.since = true, m.latest
			}
		}
	}
	list = m.merge()
	next := map[string]Member{}
	for _, v := range list {
		next[v.ID] = v
		old, known := m.lastList[v.ID]
		changed = changed || !known || old.In != v.In || old.Server != v.Server
	}
	changed = changed || len(next) != len(m.lastList)
	m.lastList = next
	return list, changed
}

// Logs are what an operator should read, once each.
func (m *Module) Logs() []string {
	l := m.logs
	m.logs = nil
	return l
}

func (m *Module) source(name string) *source {
	for _, s := range m.sources {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func (s *source) heard(now time.Duration) {
	if !s.known {
		s.began, s.without = now, map[string]time.Duration{}
	}
	s.known, s.failing, s.viewAt = true, false, now
}

// lacks notes that a source no longer has a server.
func (s *source) lacks(id string, now time.Duration) {
	delete(s.entries, id)
	if s.without == nil || len(s.without) > maxRemovals {
		s.without, s.began = map[string]time.Duration{}, now
	}
	s.without[id] = now
}

// announce notes that a source has a server again, and for how long it did not.
func (s *source) announce(e *entry, now time.Duration) {
	e.announced, e.missed, e.absent = now, s.viewAt, s.began
	if since, ok := s.without[e.ID]; ok {
		e.absent = since
		delete(s.without, e.ID)
	}
}

// applySnapshot takes a whole view of a source.
func (m *Module) applySnapshot(s *source, servers []Server) {
	named := map[string]bool{}
	for _, v := range servers {
		named[v.ID] = true
	}
	missing := 0
	for id, e := range s.entries {
		if !named[id] && !e.lost {
			missing++
		}
	}
	sudden := !s.Exact && missing > 2 && 2*missing > len(s.entries)
	if sudden {
		m.logs = append(m.logs, fmt.Sprintf("%s lacks %d of %d servers at once: they stay for %v", s.Name, missing, len(s.entries), m.settings.Guard))
	}
	for id, e := range s.entries {
		switch {
		case named[id]:
		case s.Exact:
			m.recordRemoval(s, e, Removed)
			s.lacks(id, m.latest)
		case sudden && !e.lost:
			e.lost, e.lostAt = true, m.latest
		case e.lost && m.latest-e.lostAt < m.settings.Guard:
		default:
			s.lacks(id, m.latest)
		}
	}
	for _, v := range servers {
		m.applyServer(s, v)
	}
	s.heard(m.latest)
}

// applyServer takes what a source says of one server.
func (m *Module) applyServer(s *source, v Server) {
	e := s.entries[v.ID]
	if e == nil {
		e = &entry{Server: v}
		s.announce(e, m.latest)
		if v.State == Removed || v.State == Absent {
			m.recordRemoval(s, e, v.State)
			return
		}
		s.entries[v.ID] = e
	}
	old := e.State
	e.Server, e.lost = v, false
	switch {
	case v.State == Removed:
		m.recordRemoval(s, e, Removed)
		s.lacks(v.ID, m.latest)
	case v.State == Absent:
		s.lacks(v.ID, m.latest)
	case v.State == Draining:
		m.recordRemoval(s, e, Draining)
	case old != Up: // it came back by the word of the very source that had it drain
		s.announce(e, m.latest)
	}
	if v.State == Up {
		m.removals = slices.DeleteFunc(m.removals, func(g *removal) bool { return g.same(v) && g.by == s.Name })
	}
}

// recordRemoval notes that a source says a server drains, or is gone.
func (m *Module) recordRemoval(s *source, e *entry, state State) {
	if state != Draining && state != Removed {
		return
	}
	for _, g := range m.removals {
		if g.same(e.Server) && g.by == s.Name {
			g.state, g.at = state, m.latest // said again, it is as new as that
			g.started = max(g.started, e.Started)
			return
		}
	}
	m.removals = append(m.removals, &removal{e.ID, e.Addr, state, s.Name, m.latest, e.Started})
	if len(m.removals) > maxRemovals {
		m.removals = m.removals[1:] // the oldest: of thousands, no record advertises it any more
	}
}

const maxRemovals = 20000

// same reports whether a verdict is of a server: by its ID, or by its address. A process that started
// later is another.
func (g *removal) same(v Server) bool { return g.id == v.ID || g.addr != "" && g.addr == v.Addr }

// overruled reports whether what a source says of a server is newer than the verdict: a later start, or a
// withdrawal and a new announcement after it.
func (g *removal) overruled(e *entry, guard time.Duration) bool {
	if e.State != Up || e.lost {
		return false
	}
	if e.Started > 0 && g.started > 0 {
		return e.Started > g.started
	}
	// Its source must have been heard without it since, for as long as the guard takes: a record that was
	// published before the report may be read for the first time after it, and one reading that loses
	// records without a word, with the next one whole, is no withdrawal and new announcement.
	return e.announced > g.at && e.missed > g.at && e.missed-max(e.absent, g.at) >= guard
}

// fresh reports whether a source has a say: it has been heard, and does not fail for too long.
func (m *Module) fresh(s *source) bool {
	return s.known && (!s.failing || m.latest-s.since <= s.Hold)
}

// group is one server, by all that sources say of it.
type group struct {
	entries []*entry
	by      []*source
}

// merge makes the list.
func (m *Module) merge() []Member {
	var groups []*group
	byID, byAddr := map[string]*group{}, map[string]*group{}
	for _, s := range m.sources {
		for _, id := range sorted(s.entries) {
			e := s.entries[id]
			g := byID[e.ID]
			if g == nil && e.Addr != "" {
				if o := byAddr[e.Addr]; o != nil && !o.another(e) {
					g = o
				}
			}
			if g == nil {
				g = &group{}
				groups = append(groups, g)
			}
			g.entries, g.by = append(g.entries, e), append(g.by, s)
			byID[e.ID] = g
			if e.Addr != "" {
				if o := byAddr[e.Addr]; o == nil || o.another(e) && e.Started > o.started() {
					byAddr[e.Addr] = g
				}
			}
		}
	}
	var list []Member
	for _, g := range groups {
		list = append(list, m.resolve(g, byAddr))
	}
	// Failures alone never empty the fleet: with nobody left, what a silent source last said still holds.
	if !slices.ContainsFunc(list, func(v Member) bool { return v.In }) {
		for i := range list {
			if list[i].State == Up && strings.HasPrefix(list[i].Why, silent) {
				list[i].In, list[i].Why = true, "kept: nothing else is known"
			}
		}
	}
	best := math.MaxInt
	for _, v := range list {
		if v.In && v.State == Up {
			best = min(best, v.Priority)
		}
	}
	for i, v := range list {
		if v.In && v.State == Up && v.Priority > best {
			list[i].In, list[i].Why = false, fmt.Sprintf("stands by: one of priority %d is up", best)
		}
	}
	if len(m.pods) > 4*len(list)+1000 { // of those that nobody names any more
		known := map[string]bool{}
		for _, v := range list {
			known[v.ID] = true
		}
		for id := range m.pods {
			if !known[id] {
				delete(m.pods, id)
			}
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

const silent = "its sources are silent"

// another reports whether an entry is of a process that took over the group's address, or had it before.
func (g *group) another(e *entry) bool {
	s := g.started()
	return s > 0 && e.Started > 0 && s != e.Started
}

func (g *group) started() (s int64) {
	for _, e := range g.entries {
		s = max(s, e.Started)
	}
	return s
}

// resolve says what comes of one server.
func (m *Module) resolve(g *group, byAddr map[string]*group) Member {
	v := Member{Server: g.entries[0].Server}
	for _, e := range g.entries[1:] { // the first that tells a thing is believed
		v.Zone, v.Kind = cmp.Or(v.Zone, e.Zone), cmp.Or(v.Kind, e.Kind)
		v.Pod, v.Weight, v.Started = cmp.Or(v.Pod, e.Pod), cmp.Or(v.Weight, e.Weight), max(v.Started, e.Started)
	}
	v.Pod = m.podOf(v.ID, v.Pod)
	var up, said []string
	stale := 0
	for i, e := range g.entries {
		switch {
		case !m.fresh(g.by[i]):
			stale++
		case e.State == Up:
			up = append(up, g.by[i].Name)
		}
		said = append(said, g.by[i].Name)
	}
	v.State = Up
	// Drained or gone by any source wins and holds, also by one that is silent by now, until there is newer
	// evidence.
	var worst *removal
	for _, d := range m.removals {
		hit, overruled := false, false
		for _, e := range g.entries {
			hit = hit || d.same(e.Server)
			overruled = overruled || d.overruled(e, m.settings.Guard)
		}
		if hit && !overruled && (worst == nil || d.state > worst.state) {
			worst = d
		}
	}
	switch {
	case worst != nil:
		v.State = worst.state
		v.In = worst.state == Draining // decide hears of it, and sends nothing new
		v.Why = fmt.Sprintf("%s by %s", worst.state, worst.by)
	case v.Addr != "" && byAddr[v.Addr] != g && byAddr[v.Addr] != nil:
		v.State, v.Why = Removed, "another process has its address"
	case len(up) == 0 && stale > 0:
		v.Why = silent + ": " + strings.Join(said, ", ")
	case len(up) > 0:
		v.In, v.Why = true, "up by "+strings.Join(up, ", ")
	default:
		v.State, v.Why = Absent, "nobody says that it is up"
	}
	return v
}

// podOf is the pod that counts: a change takes effect at once, and the next one not before it has settled.
func (m *Module) podOf(id string, said int) int {
	p := m.pods[id]
	if p == nil {
		m.pods[id] = &pod{pod: said, changed: m.latest - m.settings.Settle}
		return said
	}
	switch {
	case said == p.pod:
		p.said = false
	case m.latest-p.changed >= m.settings.Settle:
		m.logs = append(m.logs, fmt.Sprintf("%s moves from pod %d to pod %d", id, p.pod, said))
		p.pod, p.changed, p.said = said, m.latest, false
	case !p.said:
		m.logs = append(m.logs, fmt.Sprintf("%s is said to be in pod %d so soon after its last move: it stays in pod %d for now", id, said, p.pod))
		p.said = true
	}
	return p.pod
}

func sorted(entries map[string]*entry) []string {
	var ids []string
	for id := range entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
