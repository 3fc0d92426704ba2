package endpoints

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// group holds all entries of one server.
type group struct {
	entries []*entry
	sources []*source // the sources of the entries, in the same order
}

// reasonSourcesFailed begins the reason for a server whose sources have all failed for longer than their hold.
const reasonSourcesFailed = "its sources have failed"

// merge returns the list that results from the current reports.
func (m *Module) merge() []ListedServer {
	groups, byAddr := m.groupEntries()
	var list []ListedServer
	for _, g := range groups {
		list = append(list, m.resolve(g, byAddr))
	}
	retainIfEmpty(list)
	applyPriorities(list)
	m.prunePods(list)
	slices.SortFunc(list, func(a, b ListedServer) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// groupEntries groups the entries of all sources by server. Two entries belong to the same server if they have the
// same ID, or if they have the same address and not two known start times that differ. byAddr has the group that
// currently uses each address.
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

// isDifferentProcess reports whether an entry describes a process that used the group's address at another time: both
// start times are known and differ.
func (g *group) isDifferentProcess(e *entry) bool {
	started := g.started()
	return started > 0 && e.Started > 0 && started != e.Started
}

// started returns the latest start that any source reports; 0 if no source reports one.
func (g *group) started() int64 {
	var latest int64
	for _, e := range g.entries {
		latest = max(latest, e.Started)
	}
	return latest
}

// retainIfEmpty puts the servers of failed sources back into a list that would otherwise be empty: failures alone
// never remove all servers.
func retainIfEmpty(list []ListedServer) {
	if slices.ContainsFunc(list, func(member ListedServer) bool { return member.In }) {
		return
	}
	for i := range list {
		if list[i].State == Up && strings.HasPrefix(list[i].Why, reasonSourcesFailed) {
			list[i].In = true
			list[i].Why = "kept: the list would be empty without it"
		}
	}
}

// applyPriorities takes standby servers out of the list: those whose priority number is higher than the lowest one
// of the servers that are up (RFC 2782).
func applyPriorities(list []ListedServer) {
	lowest := math.MaxInt
	for _, member := range list {
		if member.In && member.State == Up {
			lowest = min(lowest, member.Priority)
		}
	}
	for i, member := range list {
		if member.In && member.State == Up && member.Priority > lowest {
			list[i].In = false
			list[i].Why = fmt.Sprintf("on standby: a server of priority %d is up", lowest)
		}
	}
}

// resolve merges the entries of one server.
func (m *Module) resolve(g *group, byAddr map[string]*group) ListedServer {
	member := ListedServer{Server: g.mergeAttributes()}
	member.Pod = m.dampPod(member.ID, member.Pod)
	var up []string
	var named []string
	failedCount := 0
	for i, e := range g.entries {
		switch {
		case !g.sources[i].isUsable(m.latest):
			failedCount++
		case e.State == Up:
			up = append(up, g.sources[i].Name)
		}
		named = append(named, g.sources[i].Name)
	}
	member.State = Up
	// A removal overrules any number of sources that report the server as up, even if the source of the removal has
	// failed since.
	removal := m.removalOf(g.entries)
	switch {
	case removal != nil:
		member.State = removal.state
		member.In = removal.state == Draining // package decide sends no new requests to it
		member.Why = fmt.Sprintf("%s by %s", removal.state, removal.source)
	case member.Addr != "" && byAddr[member.Addr] != g && byAddr[member.Addr] != nil:
		member.State = Removed
		member.Why = "another process has its address"
	case len(up) == 0 && failedCount > 0:
		member.Why = reasonSourcesFailed + ": " + strings.Join(named, ", ")
	case len(up) > 0:
		member.In = true
		member.Why = "up by " + strings.Join(up, ", ")
	default:
		member.State = Absent
		member.Why = "no source reports it as up"
	}
	return member
}

// mergeAttributes takes each attribute from the first source that specifies it, except the start, of which it takes
// the latest.
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
