package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
	"vetchhaven/internal/source/discovery"
)

// ListFault is a kind of misbehaviour of a list service.
type ListFault int

// The faults of list services.
const (
	ListServes ListFault = iota
	ListDown             // calls are reset, watches end
	ListSilent           // open watches send nothing, not even heartbeats
	ListSlow             // calls and changes are delayed by a second
	ListBusy             // calls get 503 after a delay
	ListCuts             // watches are cut off within a JSON object
)

const (
	heartbeat = 2 * time.Second
	listDelay = time.Second // delay of ListSlow and ListBusy
)

// catalog is the true state of all servers. Each agent has a list service of its own that serves it.
type catalog struct {
	mu      sync.Mutex
	version int64
	members map[string]entry
	changed map[string]int64 // version of each server's last change, also of removed servers
	bump    chan struct{}    // closed at each change
}

type entry struct {
	discovery.Server
	process int
	began   time.Duration // run time at which that process began
}

func newCatalog() *catalog {
	return &catalog{members: map[string]entry{}, changed: map[string]int64{}, bump: make(chan struct{})}
}

// set changes a server's state.
func (d *catalog) set(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.changed[e.ID] = d.version
	if d.members[e.ID] = e; e.State == check.Gone {
		delete(d.members, e.ID)
	}
	close(d.bump)
	d.bump = make(chan struct{})
}

// since returns the changes after a version, or the full list for version 0, and a channel that is closed at the next
// change.
func (d *catalog) since(version int64) (m discovery.Update, entries map[string]entry, bump chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m = discovery.Update{Version: d.version, Full: version == 0 || version > d.version, Servers: []discovery.Server{}}
	for id, at := range d.changed {
		if !m.Full && at <= version {
			continue
		}
		e, there := d.members[id]
		if !there && m.Full {
			continue
		}
		if !there {
			e = entry{Server: discovery.Server{ID: id, State: check.Gone, Weight: 1}}
		}
		m.Servers = append(m.Servers, e.Server)
	}
	return m, maps.Clone(d.members), d.bump
}

// full returns the full list.
func (d *catalog) full() discovery.Update {
	m, _, _ := d.since(0)
	return m
}

// ids returns the IDs of all servers, including removed ones.
func (d *catalog) ids() (all []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.changed {
		all = append(all, id)
	}
	return all
}

// list is one agent's list service.
type list struct {
	agent int
	dir   *catalog
	rec   *Recorder

	mu           sync.Mutex
	server       *http.Server
	addrs        []string // all listening addresses; a reload may move an agent from one to another
	fault        ListFault
	faultChanged chan struct{} // closed when the fault changes
}

func newList(agent int, dir *catalog, rec *Recorder) (*list, error) {
	l := &list{agent: agent, dir: dir, rec: rec, faultChanged: make(chan struct{})}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: 10 * time.Second}
	for range listAddrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("list of agent %d: %w", agent, err)
		}
		l.addrs = append(l.addrs, ln.Addr().String())
		go func() { _ = l.server.Serve(ln) }()
	}
	return l, nil
}

const listAddrs = 2

// setFault changes the list service's fault.
func (l *list) setFault(t ListFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = t
	close(l.faultChanged)
	l.faultChanged = make(chan struct{})
}

func (l *list) now() (ListFault, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.faultChanged
}

func (l *list) close() { _ = l.server.Close() }

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	fault, _ := l.now()
	switch fault {
	case ListDown:
		l.reset(w)
		return
	case ListBusy:
		time.Sleep(listDelay)
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	case ListSlow:
		time.Sleep(listDelay)
	}
	version, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	for first := true; ; first = false {
		m, entries, bump := l.dir.since(version)
		fault, faultChanged := l.now()
		switch fault {
		case ListDown:
			l.reset(w)
			return
		case ListSilent:
			if !first {
				select {
				case <-faultChanged:
				case <-r.Context().Done():
					return
				}
				continue
			}
		case ListSlow:
			time.Sleep(listDelay)
		}
		// The agent may have ended this call in order to watch at another address. Then it receives nothing here.
		if r.Context().Err() != nil {
			return
		}
		if first || len(m.Servers) > 0 {
			raw, err := json.Marshal(m)
			if err != nil {
				return
			}
			if fault == ListCuts && !first {
				_, _ = w.Write(raw[:len(raw)/2])
				_ = out.Flush()
				l.reset(w)
				return
			}
			if _, err := w.Write(append(raw, '\n')); err != nil || out.Flush() != nil {
				return
			}
			l.recordNotified(m, entries)
			version = m.Version
		} else if _, err := w.Write([]byte("\n")); err != nil || out.Flush() != nil {
			return
		}
		if r.URL.Query().Get("follow") == "" {
			return
		}
		heartbeatTimer := time.NewTimer(heartbeat)
		select {
		case <-bump:
		case <-heartbeatTimer.C:
		case <-faultChanged:
		case <-r.Context().Done():
			heartbeatTimer.Stop()
			return
		}
		heartbeatTimer.Stop()
	}
}

// reset ends a call with a connection reset.
func (l *list) reset(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		abort(c)
	}
}

// recordNotified records the states that were written, and the state Gone for each server that a full list omits.
func (l *list) recordNotified(m discovery.Update, entries map[string]entry) {
	named := map[string]bool{}
	for _, s := range m.Servers {
		named[s.ID] = true
		e := entries[s.ID]
		l.rec.Put(check.Event{Kind: check.StateNotified, Agent: l.agent, Server: s.ID, State: s.State, Process: e.process, Began: e.began})
	}
	if !m.Full {
		return
	}
	for _, id := range l.dir.ids() {
		if !named[id] {
			l.rec.Put(check.Event{Kind: check.StateNotified, Agent: l.agent, Server: id, State: check.Gone})
		}
	}
}
