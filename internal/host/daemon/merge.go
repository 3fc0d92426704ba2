package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/dnssource"
	"vetchhaven/internal/source/endpoints"
)

// Names of a source's parts in what membership says.
const (
	fromList      = "the list"
	fromRecords   = "records"
	fromMulticast = "multicast"
	fromSaved     = "the saved list"
)

const (
	removalGuard  = 30 * time.Second
	settleSpan    = 12 * time.Second // the window of a pod's keyed requests
	unlimitedHold = 100 * 365 * 24 * time.Hour
)

// Merger makes one list of what a source's list service and its records say, and tells it to a hub.
type Merger struct {
	source    daemonconfig.Source
	log       *slog.Logger
	hub       *discovery.Hub
	module    *endpoints.Module
	startedAt time.Time
	reports   chan endpoints.Report

	mu        sync.Mutex
	list      []endpoints.Member
	reported  map[string]bool
	version   int64
	published map[string]discovery.Member
	usesSaved bool
	required  []string                 // the parts that speak for themselves
	onChange  func([]endpoints.Member) // may be nil
}

// NewMerger sets one up. saved is the list of before, and may be nil. Changed, which may be nil, is called
// with each new list.
func NewMerger(s daemonconfig.Source, out *discovery.Hub, saved *discovery.Members, log *slog.Logger, changed func([]endpoints.Member)) *Merger {
	var parts []endpoints.Source
	if s.List != "" {
		parts = append(parts, endpoints.Source{Name: fromList, Exact: true, Hold: unlimitedHold}) // the list's own rule: the last one holds
	}
	if len(s.SRV)+len(s.Browse) > 0 {
		parts = append(parts, endpoints.Source{Name: fromRecords, Hold: s.Hold})
	}
	if s.Multicast != "" {
		parts = append(parts, endpoints.Source{Name: fromMulticast, Hold: s.Hold})
	}
	var needed []string
	for _, p := range parts {
		needed = append(needed, p.Name)
	}
	parts = append(parts, endpoints.Source{Name: fromSaved, Hold: s.Hold})
	m := &Merger{source: s, log: log, hub: out, startedAt: time.Now(), reports: make(chan endpoints.Report, 16), reported: map[string]bool{}, required: needed,
		published: map[string]discovery.Member{}, onChange: changed,
		module: endpoints.New(endpoints.Settings{Sources: parts, Guard: removalGuard, Settle: settleSpan})}
	if saved != nil {
		m.usesSaved = true
		m.apply(endpoints.View{Source: fromSaved, Servers: servers(saved)})
		m.apply(endpoints.Failed{Source: fromSaved})
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
		d := dnssource.NewMulticast(dnssource.Options{Name: fromMulticast, Log: m.log}, m.source.Multicast, m.source.Group)
		parts.Go(func() { d.Run(ctx, post) })
	}
	tick := time.NewTicker(time.Second) // what is held back for a while
	defer tick.Stop()
	for {
		select {
		case r := <-m.reports:
			m.apply(r)
		case <-tick.C:
			m.apply(nil)
		case <-ctx.Done():
			return
		}
	}
}

// apply hands a report to the module, and tells the hub what has changed.
func (m *Merger) apply(r endpoints.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Since(m.startedAt)
	var all []endpoints.Report
	if v, whole := r.(endpoints.View); whole {
		m.reported[v.Source] = true
	}
	if r != nil {
		all = append(all, r)
	}
	if m.usesSaved && m.complete() { // all speak for themselves
		m.usesSaved = false
		all = append(all, endpoints.Forget{Source: fromSaved})
	}
	list, changed := m.module.Step(now, all...)
	for _, line := range m.module.Logs() {
		m.log.Info(line, "source", m.source.Name)
	}
	m.list = list
	if len(m.reported) == 0 || !changed && m.version > 0 {
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
		if m.published[id] != v {
			out.Servers = append(out.Servers, v)
		}
	}
	for id, v := range m.published {
		if _, in := next[id]; !in {
			v.State = "gone"
			out.Servers = append(out.Servers, v)
		}
	}
	if len(out.Servers) > 0 || out.Full {
		m.version++
		m.published = next
		m.hub.Apply(out)
	}
	if m.onChange != nil {
		m.onChange(list)
	}
}

// Members is the list as it is now, with the reasons, and whether every part has been heard.
func (m *Merger) Members() (list []endpoints.Member, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list, m.complete()
}

// complete reports whether every part has been heard. The lock is held.
func (m *Merger) complete() bool {
	for _, n := range m.required {
		if !m.reported[n] {
			return false
		}
	}
	return true
}
