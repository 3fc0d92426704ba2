package virtual

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/model"
	"vetchhaven/internal/source/endpoints"
)

// records simulates a second discovery source in addition to the list. All agents share one reading, which shows an
// earlier state and sometimes fails, is truncated or is empty.
type records struct {
	d       *driver
	spec    model.RecordsSpec
	history []published
	reads   int
}

type published struct {
	at  time.Duration
	all []endpoints.Server
}

const (
	fromList    = "list"
	fromRecords = "records"
)

// read stores the present state of the servers, passes the state that is published by now to the agents, and schedules
// the next reading.
func (r *records) read() {
	d := r.d
	var all []endpoints.Server
	for _, p := range d.world.Procs {
		if p.Dead || p.Draining() || d.world.Find(p.Name) != p {
			continue
		}
		server := endpointOf(model.Entry{Server: p.Spec, State: decide.Up, Started: p.StartedAt()})
		if r.spec.NoPods {
			server.Pod = endpoints.Pod{}
		}
		all = append(all, server)
	}
	r.history = append(r.history, published{d.now, all})
	for len(r.history) > 1 && r.history[1].at <= d.now-r.spec.Late {
		r.history = r.history[1:]
	}
	r.reads++
	c := d.seed.Derive(model.HashName("records"), uint64(r.reads))
	draw, s := c.Float(), r.spec
	var report endpoints.Report = endpoints.Snapshot{Source: fromRecords, Servers: r.history[0].all}
	switch {
	case draw < s.Fail:
		report = endpoints.Failed{Source: fromRecords}
	case draw < s.Fail+s.Cut:
		report = endpoints.Snapshot{Source: fromRecords, Servers: r.history[0].all[:len(r.history[0].all)/2]}
	case draw < s.Fail+s.Cut+s.Empty:
		report = endpoints.Snapshot{Source: fromRecords}
	}
	for _, a := range d.agents {
		if a.up {
			a.merge(report)
		}
	}
	d.at(d.now+s.Every, r.read)
}

// endpointOf converts an entry into a source's form, in which a server's place is its address.
func endpointOf(e model.Entry) endpoints.Server {
	v := endpoints.Server{ID: e.Server.Name, Addr: "place:" + strconv.Itoa(e.Server.Place), Zone: strconv.Itoa(e.Server.Zone),
		Kind: strconv.Itoa(e.Server.Kind), Weight: 1, Started: e.Started.Milliseconds()}
	if e.Server.Pod != decide.Unknown {
		v.Pod = endpoints.PodNumber(e.Server.Pod)
	}
	switch e.State {
	case decide.Draining:
		v.State = endpoints.Draining
	case decide.Removed:
		v.State = endpoints.Removed
	default:
		v.State = endpoints.Up
	}
	return v
}

// entryOf converts a merged member back into an entry.
func entryOf(m endpoints.ListedServer) (model.Entry, error) {
	e := model.Entry{Server: model.ServerSpec{Name: m.ID, Pod: decide.Unknown}, Started: time.Duration(m.Started) * time.Millisecond}
	if pod, known := m.Pod.Number(); known {
		e.Server.Pod = pod
	}
	if m.State == endpoints.Draining {
		e.State = decide.Draining
	}
	for _, x := range []struct {
		text string
		to   *int
	}{{m.Zone, &e.Server.Zone}, {m.Kind, &e.Server.Kind}, {m.Addr[len("place:"):], &e.Server.Place}} {
		n, err := strconv.Atoi(x.text)
		if err != nil {
			return e, fmt.Errorf("convert a member of the simulation: %w", err)
		}
		*x.to = n
	}
	return e, nil
}

// newMerger returns the module that merges the sources of one agent.
func newMerger(s model.RecordsSpec) *endpoints.Module {
	return endpoints.New(endpoints.Settings{SuddenLossGuard: s.Guard, Settle: s.Settle, Sources: []endpoints.Source{
		{Name: fromList, Exact: true, Hold: 100 * time.Hour}, {Name: fromRecords, Hold: s.Hold}}})
}

// merge passes a source's report to an agent, and the merged list to its policy.
func (a *agent) merge(report endpoints.Report) {
	var list []endpoints.ListedServer
	changed := false
	if a.d.o.Believe { // like a resolver that uses each answer as it is, without other sources
		v, whole := report.(endpoints.Snapshot)
		if !whole || v.Source != fromRecords {
			return
		}
		for _, s := range v.Servers {
			list = append(list, endpoints.ListedServer{Server: s, In: true})
		}
		changed = true
	} else {
		list, changed = a.merger.Step(a.d.now, report)
	}
	if !changed {
		return
	}
	var entries []model.Entry
	for _, m := range list {
		if !m.In {
			continue
		}
		e, err := entryOf(m)
		if err != nil {
			a.d.err = err
			return
		}
		entries = append(entries, e)
		if e.Server.Pod == decide.Unknown { // the checker has the others from the list itself
			a.recordListed(e)
		}
	}
	if len(entries) == 0 {
		a.d.emptied++
	}
	a.view.set(a.view.version, entries)
	a.post(decide.ListUpdate{Kind: decide.ListFull, Backends: backends(entries)})
}

// mergeList passes on a message of the list as a report.
func (a *agent) mergeList(t model.ListMessage) {
	all := make([]endpoints.Server, 0, len(t.Entries))
	for _, e := range t.Entries {
		all = append(all, endpointOf(e))
	}
	a.view.version = t.Version
	if t.Full {
		a.merge(endpoints.Snapshot{Source: fromList, Servers: slices.Clip(all)})
	} else {
		a.merge(endpoints.Delta{Source: fromList, Servers: all})
	}
}
