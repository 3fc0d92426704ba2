package daemon

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/dnssource"
	"vetchhaven/internal/source/endpoints"
)

// Names of a source's origins, as they appear in lists of members and in logs.
const (
	fromList      = "the list"
	fromRecords   = "records"
	fromMulticast = "multicast"
	fromSaved     = "the saved list"
)

const (
	// removalGuard is how long endpoints that are suddenly missing from a complete view of records are kept: see
	// endpoints.Settings.
	removalGuard = 30 * time.Second
	// settleSpan is the minimum time between two changes of an endpoint's pod that take effect: the deduplication
	// window of requests in a pod.
	settleSpan = 12 * time.Second
	// unlimitedHold keeps the last list valid while the list service is silent, as for a source without other origins.
	unlimitedHold = 100 * 365 * 24 * time.Hour
	// mergeInterval is how often the merger checks whether a delayed change is due.
	mergeInterval = time.Second
	// maxQueuedReports bounds the reports that wait to be merged before their origins block.
	maxQueuedReports = 16
)

// Merger makes one endpoint list from a source's list service and its records, and applies it to a hub. The goroutine
// of Merger.Run drives it. Members may be called from any goroutine.
type Merger struct {
	source    daemonconfig.Source
	log       *slog.Logger
	hub       *discovery.Hub
	startedAt time.Time
	reports   chan endpoints.Report
	required  []string                       // the names of the origins, without the saved list
	onChange  func([]endpoints.ListedServer) // may be nil

	mu        sync.Mutex
	module    *endpoints.Module
	list      []endpoints.ListedServer
	reported  map[string]bool             // origins that have reported a complete view
	version   int64                       // the version of the published list
	published map[string]discovery.Server // by ID
	continues bool                        // the merger began with what was known earlier
	usesSaved bool                        // the saved list is used: see needsSaved
}

// NewMerger returns a merger that does not run yet and continues from the source's earlier state. onChange, which may
// be nil, is called with each new list.
func NewMerger(source daemonconfig.Source, hub *discovery.Hub, earlier EarlierSource, log *slog.Logger, onChange func([]endpoints.ListedServer)) *Merger {
	origins := originsOf(source)
	var required []string
	for _, origin := range origins {
		required = append(required, origin.Name)
	}
	origins = append(origins, endpoints.Source{Name: fromSaved, Transient: true, Hold: source.Hold})
	m := &Merger{
		source:    source,
		log:       log,
		hub:       hub,
		startedAt: time.Now(),
		reports:   make(chan endpoints.Report, maxQueuedReports),
		required:  required,
		onChange:  onChange,
		module:    endpoints.New(endpoints.Settings{Sources: origins, SuddenLossGuard: removalGuard, Settle: settleSpan}),
		reported:  map[string]bool{},
		published: map[string]discovery.Server{},
	}
	switch {
	case earlier.Merge != nil:
		m.continueWith(m.module.Restore(earlier.Merge))
	case earlier.List != nil: // which of its servers came from which origin is not known
		m.continueWith(endpointsOf(earlier.List))
	}
	return m
}

// continueWith publishes the list of what was restored, and of servers that no present origin has reported.
func (m *Merger) continueWith(saved []endpoints.Server) {
	m.continues = true
	m.usesSaved = len(saved) > 0
	if m.usesSaved {
		m.apply(endpoints.Snapshot{Source: fromSaved, Servers: saved})
		m.apply(endpoints.Failed{Source: fromSaved})
		return
	}
	m.apply(nil)
}

// originsOf returns the origins of a source's endpoints.
func originsOf(source daemonconfig.Source) []endpoints.Source {
	var origins []endpoints.Source
	if source.List != "" {
		origins = append(origins, endpoints.Source{Name: fromList, Origin: source.List, Exact: true, Hold: unlimitedHold})
	}
	if len(source.SRV)+len(source.Browse) > 0 {
		origins = append(origins, endpoints.Source{Name: fromRecords, Origin: strings.Join(slices.Concat(source.SRV, source.Browse), " "), Hold: source.Hold})
	}
	if source.Multicast != "" {
		origins = append(origins, endpoints.Source{Name: fromMulticast, Origin: source.Multicast + " " + source.Group, Hold: source.Hold})
	}
	return origins
}

// endpointStates translates the states of a list's members. Members in another state are ignored.
var endpointStates = map[string]endpoints.State{
	"ready":    endpoints.Up,
	"draining": endpoints.Draining,
	"gone":     endpoints.Removed,
}

// endpointsOf translates a list into endpoints.
func endpointsOf(list *discovery.Update) []endpoints.Server {
	var servers []endpoints.Server
	for _, listed := range list.Servers {
		state, ok := endpointStates[listed.State]
		if !ok || listed.ID == "" {
			continue
		}
		servers = append(servers, endpoints.Server{
			ID:      listed.ID,
			Addr:    listed.Addr,
			Zone:    listed.Zone,
			Kind:    listed.Kind,
			Pod:     podOf(listed.Cell),
			Weight:  listed.Weight,
			State:   state,
			Started: listed.Started,
		})
	}
	return servers
}

// podOf translates a list's cell, which is a server's pod.
func podOf(cell *int) endpoints.Pod {
	if cell == nil || *cell < 0 {
		return endpoints.Pod{}
	}
	return endpoints.PodNumber(*cell)
}

// cellOf translates a pod into a list's cell.
func cellOf(pod endpoints.Pod) *int {
	number, known := pod.Number()
	if !known {
		return nil
	}
	return &number
}

// Run follows the origins until ctx ends. list is the list service's hub, and may be nil.
func (m *Merger) Run(ctx context.Context, list *discovery.Hub) {
	var origins sync.WaitGroup
	defer origins.Wait()
	post := func(r endpoints.Report) {
		select {
		case m.reports <- r:
		case <-ctx.Done():
		}
	}
	if list != nil {
		unwatch := list.Subscribe(func(v *discovery.Update) { post(listReport(v)) })
		defer unwatch()
		origins.Go(func() { list.Run(ctx) })
	}
	if len(m.source.SRV)+len(m.source.Browse) > 0 {
		records := dnssource.New(dnssource.Options{
			Name:      fromRecords,
			SRV:       m.source.SRV,
			Browse:    m.source.Browse,
			Resolvers: m.source.Resolvers,
			Log:       m.log,
		})
		origins.Go(func() { records.Run(ctx, post) })
	}
	if m.source.Multicast != "" {
		options := dnssource.Options{Name: fromMulticast, Log: m.log}
		multicast := dnssource.NewMulticast(options, m.source.Multicast, m.source.Group)
		origins.Go(func() { multicast.Run(ctx, post) })
	}
	tick := time.NewTicker(mergeInterval)
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

// listReport translates an update from the list service: a complete list (a snapshot) or a change of it (a delta).
func listReport(list *discovery.Update) endpoints.Report {
	if list.Full {
		return endpoints.Snapshot{Source: fromList, Servers: endpointsOf(list)}
	}
	return endpoints.Delta{Source: fromList, Servers: endpointsOf(list)}
}

// apply merges a report and publishes the resulting changes. With a nil report it only checks whether delayed changes
// are due.
func (m *Merger) apply(r endpoints.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reports []endpoints.Report
	if r != nil {
		reports = append(reports, r)
	}
	if view, ok := r.(endpoints.Snapshot); ok {
		m.reported[view.Source] = true
	}
	if m.usesSaved && !m.needsSaved() {
		m.usesSaved = false
		reports = append(reports, endpoints.Reset{Source: fromSaved})
	}
	list, changed := m.module.Step(time.Since(m.startedAt), reports...)
	for _, line := range m.module.Logs() {
		m.log.Info(line, "source", m.source.Name)
	}
	m.list = list
	if len(m.reported) == 0 && !m.continues || !changed && m.version > 0 {
		return
	}
	m.publish(list)
	if m.onChange != nil {
		m.onChange(list)
	}
}

// publish applies to the hub the differences from the last published list.
func (m *Merger) publish(list []endpoints.ListedServer) {
	next := map[string]discovery.Server{}
	for _, endpoint := range list {
		if endpoint.In {
			next[endpoint.ID] = memberOf(endpoint)
		}
	}
	delta := &discovery.Update{Version: m.version + 1, Full: m.version == 0, Servers: []discovery.Server{}}
	for id, member := range next {
		if !m.published[id].Equal(member) {
			delta.Servers = append(delta.Servers, member)
		}
	}
	for id, member := range m.published {
		if _, remains := next[id]; !remains {
			member.State = "gone"
			delta.Servers = append(delta.Servers, member)
		}
	}
	if len(delta.Servers) > 0 || delta.Full {
		m.version++
		m.published = next
		m.hub.Apply(delta)
	}
}

func memberOf(endpoint endpoints.ListedServer) discovery.Server {
	state := "ready"
	if endpoint.State == endpoints.Draining {
		state = "draining"
	}
	return discovery.Server{
		ID:      endpoint.ID,
		Addr:    endpoint.Addr,
		Zone:    endpoint.Zone,
		Kind:    endpoint.Kind,
		Cell:    cellOf(endpoint.Pod),
		State:   state,
		Weight:  endpoint.Weight,
		Started: endpoint.Started,
	}
}

// Members returns the current list, with the reasons for each member's state, and whether every origin has reported.
func (m *Merger) Members() (list []endpoints.ListedServer, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list, m.isComplete()
}

// Save returns what the origins have reported, for a merger that continues later.
func (m *Merger) Save() *endpoints.SavedState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.module.Save()
}

// needsSaved reports whether servers of the saved list may still be in use: until the list service, whose complete list
// shows what has been removed, has reported, or else all origins have. The caller holds the lock.
func (m *Merger) needsSaved() bool { return !m.reported[fromList] && !m.isComplete() }

// isComplete reports whether every origin has reported. The caller holds the lock.
func (m *Merger) isComplete() bool {
	for _, name := range m.required {
		if !m.reported[name] {
			return false
		}
	}
	return true
}
