package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/dnssource"
	"vetchhaven/internal/source/endpoints"
)

// Names of a source's parts in what membership says.
const (
	fromList    = "the list"
	fromRecords = "records"
	fromNearby  = "multicast"
	fromSaved   = "the saved list"
)

const (
	guardTime  = 30 * time.Second
	settleTime = 12 * time.Second // the window of a pod's keyed requests
	forGood    = 100 * 365 * 24 * time.Hour
)

// Merger makes one list of what a source's list service and its records say, and tells it to a hub.
type Merger struct {
	source  Source
	log     *slog.Logger
	out     *discovery.Hub
	module  *endpoints.Module
	began   time.Time
	reports chan endpoints.Report

	mu      sync.Mutex
	list    []endpoints.Member
	heard   map[string]bool
	version int64
	told    map[string]discovery.Member
	saved   bool
	needed  []string                 // the parts that speak for themselves
	changed func([]endpoints.Member) // may be nil
}

// NewMerger sets one up. saved is the list of before, and may be nil. Changed, which may be nil, is called
// with each new list.
func NewMerger(s Source, out *discovery.Hub, saved *discovery.Members, log *slog.Logger, changed func([]endpoints.Member)) *Merger {
	var parts []endpoints.Source
	if s.List != "" {
		parts = append(parts, endpoints.Source{Name: fromList, Exact: true, Hold: forGood}) // the list's own rule: the last one holds
	}
	if len(s.SRV)+len(s.Browse) > 0 {
		parts = append(parts, endpoints.Source{Name: fromRecords, Hold: s.Hold})
	}
	if s.Multicast != "" {
		parts = append(parts, endpoints.Source{Name: fromNearby, Hold: s.Hold})
	}
	var needed []string
	for _, p := range parts {
		needed = append(needed, p.Name)
	}
	parts = append(parts, endpoints.Source{Name: fromSaved, Hold: s.Hold})
	m := &Merger{source: s, log: log, out: out, began: time.Now(), reports: make(chan endpoints.Report, 16), heard: map[string]bool{}, needed: needed,
		told: map[string]discovery.Member{}, changed: changed,
		module: endpoints.New(endpoints.Settings{Sources: parts, Guard: guardTime, Settle: settleTime})}
	if saved != nil {
		m.saved = true
		m.take(endpoints.View{Source: fromSaved, Servers: servers(saved)})
		m.take(endpoints.Failed{Source: fromSaved})
	}
	return m
}

func servers(m *discovery.Members) (all []endpoints.Server) {
	for _, s := range m.Servers {
		state, ok := map[string]endpoints.State{"ready": endpoints.Up, "draining": endpoints.Draining, "gone": endpoints.Gone}[s.State]
		if ok && s.ID != "" {
			all = append(all, endpoints.Server{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Kind: s.Kind, Pod: s.Cell, Weight: s.Weight, State: state, Started: s.Started})
		}
	}
	return all
}

// Run reads the parts until ctx ends.
func (m *Merger) Run(ctx context.Context, list *discovery.Hub) {
	var parts sync.WaitGroup
	defer parts.Wait()
	post := func(r endpoints.Report) {
		select {
		case m.reports <- r:
		case <-ctx.Done():
		}
	}
	if list != nil {
		leave := list.Join(func(v *discovery.Members) {
			if v.Full {
				post(endpoints.View{Source: fromList, Servers: servers(v)})
			} else {
				post(endpoints.Change{Source: fromList, Servers: servers(v)})
			}
		})
		defer leave()
		parts.Go(func() { list.Run(ctx) })
	}
	if len(m.source.SRV)+len(m.source.Browse) > 0 {
		d := dnssource.New(dnssource.Options{Name: fromRecords, SRV: m.source.SRV, Browse: m.source.Browse, Resolvers: m.source.Resolvers, Log: m.log})
		parts.Go(func() { d.Run(ctx, post) })
	}
	if m.source.Multicast != "" {
		d := dnssource.NewMulticast(dnssource.Options{Name: fromNearby, Log: m.log}, m.source.Multicast, m.source.Group)
		parts.Go(func() { d.Run(ctx, post) })
	}
	tick := time.NewTicker(time.Second) // what is held back for a while
	defer tick.Stop()
	for {
		select {
		case r := <-m.reports:
			m.take(r)
		case <-tick.C:
			m.take(nil)
		case <-ctx.Done():
			return
		}
	}
}

// take hands a report to the module, and tells the hub what has changed.
func (m *Merger) take(r endpoints.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Since(m.began)
	var all []endpoints.Report
	if v, whole := r.(endpoints.View); whole {
		m.heard[v.Source] = true
	}
	if r != nil {
		all = append(all, r)
	}
	if m.saved && m.whole() { // all speak for themselves
		m.saved = false
		all = append(all, endpoints.Forget{Source: fromSaved})
	}
	list, changed := m.module.Step(now, all...)
	for _, line := range m.module.Logs() {
		m.log.Info(line, "source", m.source.Name)
	}
	m.list = list
	if len(m.heard) == 0 || !changed && m.version > 0 {
		return
	}
	next := map[string]discovery.Member{}
	for _, v := range list {
		if !v.In {
			continue
		}
		state := "ready"
		if v.State == endpoints.Draining {
			state = "draining"
		}
		next[v.ID] = discovery.Member{ID: v.ID, Addr: v.Addr, Zone: v.Zone, Kind: v.Kind, Cell: v.Pod, State: state, Weight: v.Weight, Started: v.Started}
	}
	out := &discovery.Members{Version: m.version + 1, Full: m.version == 0, Servers: []discovery.Member{}}
	for id, v := range next {
		if m.told[id] != v {
			out.Servers = append(out.Servers, v)
		}
	}
	for id, v := range m.told {
		if _, in := next[id]; !in {
			v.State = "gone"
			out.Servers = append(out.Servers, v)
		}
	}
	if len(out.Servers) > 0 || out.Full {
		m.version++
		m.told = next
		m.out.Apply(out)
	}
	if m.changed != nil {
		m.changed(list)
	}
}

// Members is the list as it is now, with the reasons, and whether every part has been heard.
func (m *Merger) Members() (list []endpoints.Member, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list, m.whole()
}

// whole reports whether every part has been heard. The lock is held.
func (m *Merger) whole() bool {
	for _, n := range m.needed {
		if !m.heard[n] {
			return false
		}
	}
	return true
}
