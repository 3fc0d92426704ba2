package endpoints

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// group holds all entries of one server.
type group struct {
	entries []*entry
	sources []*source // of the entries, in the same order
}

// pod is the pod of a server that is in effect.
type pod struct {
	number  int
	changed time.Duration // when it took effect
	logged  bool          // another one is reported meanwhile, and that has been logged
}

// whySilent begins the reason for a server of which all sources have failed for longer than their hold.
const whySilent = "its sources are silent"

// merge returns the list as the reports are now.
func (m *Module) merge() []Member {
	groups, byAddr := m.groupEntries()
	var list []Member
	for _, g := range groups {
		list = append(list, m.resolve(g, byAddr))
	}
	retainIfEmpty(list)
	applyPriorities(list)
	m.prunePods(list)
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// groupEntries groups the entries of all sources by server: entries belong together that have the same ID, or the
// same address unless both know starts that differ. byAddr has the group that an address belongs to now.
func (m *Module) groupEntries() (groups []*group, byAddr map[string]*group) {
	byID := map[string]*group{}
	byAddr = map[string]*group{}
	for _, s := range m.sources {
		for _, id := range slices.Sorted(maps.Keys(s.entries)) {
			e := s.entries[id]
			g := byID[e.ID]
			if g == nil && e.Addr != "" {
				if sameAddr := byAddr[e.Addr]; sameAddr != nil && !sameAddr.isDifferentProcess(e) {
					g = sameAddr
				}
			}
			if g == nil {
				g = &group{}
				groups = append(groups, g)
			}
			g.entries = append(g.entries, e)
			g.sources = append(g.sources, s)
			byID[e.ID] = g
			if e.Addr != "" {
				owner := byAddr[e.Addr]
				if owner == nil || owner.isDifferentProcess(e) && e.Started > owner.started() {
					byAddr[e.Addr] = g
				}
			}
		}
	}
	return groups, byAddr
}

// isDifferentProcess reports whether an entry is of a process that had the group's address earlier, or has it later.
func (g *group) isDifferentProcess(e *entry) bool {
	started := g.started()
	return started > 0 && e.Started > 0 && started != e.Started
}

// started returns the latest start that a source knows; 0: none does.
func (g *group) started() int64 {
	var latest int64
	for _, e := range g.entries {
		latest = max(latest, e.Started)
	}
	return latest
}

// retainIfEmpty puts servers of silent sources back into a list that would be empty: failures alone never remove
// all servers.
func retainIfEmpty(list []Member) {
	if slices.ContainsFunc(list, func(member Member) bool { return member.In }) {
		return
	}
	for i := range list {
		if list[i].State == Up && strings.HasPrefix(list[i].Why, whySilent) {
			list[i].In = true
			list[i].Why = "kept: nothing else is known"
		}
	}
}

// applyPriorities takes out servers that stand by: those with a higher number than the lowest that is up
// (RFC 2782).
func applyPriorities(list []Member) {
	lowest := math.MaxInt
	for _, member := range list {
		if member.In && member.State == Up {
			lowest = min(lowest, member.Priority)
		}
	}
	for i, member := range list {
		if member.In && member.State == Up && member.Priority > lowest {
			list[i].In = false
			list[i].Why = fmt.Sprintf("stands by: one of priority %d is up", lowest)
		}
	}
}

// resolve merges the entries of one server.
func (m *Module) resolve(g *group, byAddr map[string]*group) Member {
	member := Member{Server: g.mergeAttributes()}
	member.Pod = m.dampPod(member.ID, member.Pod)
	var up []string
	var named []string
	silentCount := 0
	for i, e := range g.entries {
		switch {
		case !g.sources[i].isUsable(m.latest):
			silentCount++
		case e.State == Up:
			up = append(up, g.sources[i].Name)
		}
		named = append(named, g.sources[i].Name)
	}
	member.State = Up
	// A removal wins over any number of sources that have the server up, also if its own source is silent by now.
	removal := m.removalOf(g.entries)
	switch {
	case removal != nil:
		member.State = removal.state
		member.In = removal.state == Draining // package decide sends it nothing new
		member.Why = fmt.Sprintf("%s by %s", removal.state, removal.source)
	case member.Addr != "" && byAddr[member.Addr] != g && byAddr[member.Addr] != nil:
		member.State = Removed
		member.Why = "another process has its address"
	case len(up) == 0 && silentCount > 0:
		member.Why = whySilent + ": " + strings.Join(named, ", ")
	case len(up) > 0:
		member.In = true
		member.Why = "up by " + strings.Join(up, ", ")
	default:
		member.State = Absent
		member.Why = "nobody says that it is up"
	}
	return member
}

// mergeAttributes takes each attribute from the first source that knows it, but the latest start.
func (g *group) mergeAttributes() Server {
	server := g.entries[0].Server
	for _, e := range g.entries[1:] {
		server.Zone = cmp.Or(server.Zone, e.Zone)
		server.Kind = cmp.Or(server.Kind, e.Kind)
		server.Pod = cmp.Or(server.Pod, e.Pod)
		server.Weight = cmp.Or(server.Weight, e.Weight)
		server.Started = max(server.Started, e.Started)
	}
	return server
}

// dampPod returns the pod of a server that is in effect, given the reported one: a change takes effect at once,
// and the next one not before Settings.Settle is over.
func (m *Module) dampPod(id string, reported int) int {
	p := m.pods[id]
	if p == nil {
		m.pods[id] = &pod{number: reported, changed: m.latest - m.settings.Settle}
		return reported
	}
	switch {
	case reported == p.number:
		p.logged = false
	case m.latest-p.changed >= m.settings.Settle:
		m.logs = append(m.logs, fmt.Sprintf("%s moves from pod %d to pod %d", id, p.number, reported))
		p.number = reported
		p.changed = m.latest
		p.logged = false
	case !p.logged:
		m.logs = append(m.logs, fmt.Sprintf("%s is said to be in pod %d so soon after its last move: it stays in pod %d for now",
			id, reported, p.number))
		p.logged = true
	}
	return p.number
}

// Bounds of Module.pods, which pruning keeps below maxPodsPerServer for each listed server and podsSlack more.
// Larger values prune less often and hold more memory for servers that are gone.
const (
	maxPodsPerServer = 4
	podsSlack        = 1000
)

// prunePods drops the pods of servers that no source names any more, once there are many.
func (m *Module) prunePods(list []Member) {
	if len(m.pods) <= maxPodsPerServer*len(list)+podsSlack {
		return
	}
	listed := map[string]bool{}
	for _, member := range list {
		listed[member.ID] = true
	}
	for id := range m.pods {
		if !listed[id] {
			delete(m.pods, id)
		}
	}
}
