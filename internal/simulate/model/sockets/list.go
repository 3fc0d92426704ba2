package sockets

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/model"
)

// watch holds the server names that the list has sent to one agent, and the agent's present call.
type watch struct {
	names map[int]string         // names of servers by place
	out   chan model.ListMessage // of the present call; nil: none
}

type member struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type members struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []member `json:"servers"`
}

// members converts entries into the list's message format, with this agent's addresses of the servers.
// The lock is held.
func (g *driver) members(agent int, version int64, full bool, entries []model.Entry) members {
	m := members{Version: version, Full: full, Servers: []member{}}
	for _, e := range entries {
		s := member{ID: e.Server.Name, Addr: g.places[e.Server.Place].listeners[min(agent, g.listenersPerPlace()-1)].addr, Zone: g.s.Zones[e.Server.Zone],
			Kind: g.s.Kinds[e.Server.Kind].Name, Cell: e.Server.Pod, Weight: 1, State: [...]string{"ready", "draining", "gone"}[e.State]}
		if e.Started > 0 {
			s.Started = g.wall(e.Started).UnixMilli()
		}
		m.Servers = append(m.Servers, s)
	}
	return m
}

// recordListed records the entries that are sent to an agent. The lock is held.
func (g *driver) recordListed(agent int, full bool, entries []model.Entry) {
	now := g.now()
	w := g.watches[agent]
	if w == nil {
		w = &watch{names: map[int]string{}}
		g.watches[agent] = w
	}
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.Server.Name] = true
		for _, a := range g.agentsOfReader(agent) {
			g.checker.Listed(now, a, e.Server.Name, e.State, e.Server.Zone, e.Server.Pod, e.Started)
		}
		if e.State == decide.Removed {
			if w.names[e.Server.Place] == e.Server.Name {
				delete(w.names, e.Server.Place)
			}
		} else {
			w.names[e.Server.Place] = e.Server.Name
		}
	}
	if full {
		for _, a := range g.agentsOfReader(agent) {
			g.checker.Unlisted(now, a, func(name string) bool { return listed[name] })
		}
	}
}

// agentsOfReader returns the agents that receive the entries sent to one reader: an external daemon reads for all agents.
func (g *driver) agentsOfReader(reader int) []int {
	if !g.external() {
		return []int{reader}
	}
	all := make([]int, g.s.Agents)
	for i := range all {
		all[i] = i
	}
	return all
}

// deliver sends the list's messages, each at its time. The lock is held.
func (g *driver) deliver(messages []model.ListMessage) {
	for _, t := range messages {
		w := g.watches[t.Agent]
		if w == nil || w.out == nil {
			continue
		}
		out := w.out
		if t.Failed {
			w.out = nil
		}
		time.AfterFunc(t.At-g.now(), func() {
			select {
			case out <- t:
			case <-g.quit.Done():
			}
		})
	}
	if g.listTimer != nil {
		g.listTimer.Stop()
	}
	if next := g.world.List.NextWake(); next > 0 && g.quit.Err() == nil {
		g.listTimer = time.AfterFunc(next-g.now(), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.quit.Err() == nil {
				g.deliver(g.world.List.Step(g.now(), model.Wake{}))
			}
		})
	}
}

const keepAlive = 2 * time.Second // interval of empty lines while no entry changes

// list returns the handler of one agent's calls.
func (g *driver) list(agent int) http.Handler {
	var one sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/catalog/members" {
			http.NotFound(w, r)
			return
		}
		if r.URL.Query().Get("follow") != "1" {
			g.mu.Lock()
			version, entries := g.world.List.Snapshot()
			g.recordListed(agent, true, entries)
			m := g.members(agent, version, true, entries)
			g.mu.Unlock()
			_ = json.NewEncoder(w).Encode(m)
			return
		}
		since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		if err != nil {
			http.Error(w, "since: a version number is needed", http.StatusBadRequest)
			return
		}
		one.Lock() // a new watch begins only after the previous one has ended
		defer one.Unlock()
		out := make(chan model.ListMessage, 64)
		g.mu.Lock()
		if !g.started() { // the scenario's time has not begun, so its delays would not pass: the first list is sent at once
			version, entries := g.world.List.Snapshot()
			out <- model.ListMessage{Agent: agent, Version: version, Full: true, Entries: entries}
			since = version
		}
		if g.watches[agent] == nil {
			g.watches[agent] = &watch{names: map[int]string{}}
		}
		g.watches[agent].out = out
		g.deliver(g.world.List.Step(g.now(), model.Subscribe{Agent: agent, Since: since}))
		g.mu.Unlock()
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if x := g.watches[agent]; x.out == out {
				x.out = nil
				g.world.List.Step(g.now(), model.Unsubscribe{Agent: agent})
			}
		}()
		begun := false
		alive := time.NewTimer(keepAlive)
		defer alive.Stop()
		for {
			var line []byte
			select {
			case t := <-out:
				if t.Failed {
					if !begun {
						w.WriteHeader(http.StatusServiceUnavailable)
					}
					return
				}
				g.mu.Lock()
				g.recordListed(agent, t.Full, t.Entries)
				line, err = json.Marshal(g.members(agent, t.Version, t.Full, t.Entries))
				g.mu.Unlock()
				if err != nil {
					return
				}
				begun = true
			case <-alive.C:
				if !begun {
					alive.Reset(keepAlive)
					continue // the call is still waiting for its answer
				}
			case <-r.Context().Done():
				return
			case <-g.quit.Done():
				return
			}
			alive.Reset(keepAlive)
			if _, err := w.Write(append(line, '\n')); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
		}
	})
}
