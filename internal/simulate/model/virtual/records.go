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

// records plays a second source beside the list: one reading for all agents, of what was true a while ago, that
// fails, is cut short or comes empty now and then.
type records struct {
	d     *driver
	spec  model.RecordsSpec
	past  []published
	drawn int
}

type published struct {
	at  time.Duration
	all []endpoints.Server
}

const (
	fromList    = "list"
	fromRecords = "records"
)

// look keeps what is true now, and gives agents what they read of it. It comes again by itself.
func (r *records) look() {
	d := r.d
	var all []endpoints.Server
	for _, p := range d.world.Procs {
		if p.Dead || p.Draining() || d.world.Find(p.Name) != p {
			continue
		}
		all = append(all, member(model.Entry{Server: p.Spec, State: decide.Up, Started: p.Born()}))
	}
	r.past = append(r.past, published{d.now, all})
	for len(r.past) > 1 && r.past[1].at <= d.now-r.spec.Late {
		r.past = r.past[1:]
	}
	r.drawn++
	c := d.chance.Sub(model.Name("records"), uint64(r.drawn))
	luck, s := c.Float(), r.spec
	var report endpoints.Report = endpoints.Snapshot{Source: fromRecords, Servers: r.past[0].all}
	switch {
	case luck < s.Fail:
		report = endpoints.Failed{Source: fromRecords}
	case luck < s.Fail+s.Cut:
		report = endpoints.Snapshot{Source: fromRecords, Servers: r.past[0].all[:len(r.past[0].all)/2]}
	case luck < s.Fail+s.Cut+s.Empty:
		report = endpoints.Snapshot{Source: fromRecords}
	}
	for _, a := range d.agents {
		if a.up {
			a.merge(report)
		}
	}
	d.at(d.now+s.Every, r.look)
}

// member is a server as a source tells of it. Places stand for addresses.
func member(e model.Entry) endpoints.Server {
	v := endpoints.Server{ID: e.Server.Name, Addr: "place:" + strconv.Itoa(e.Server.Place), Zone: strconv.Itoa(e.Server.Zone),
		Kind: strconv.Itoa(e.Server.Kind), Pod: e.Server.Pod, Weight: 1, Started: e.Started.Milliseconds()}
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

// entry is the way back.
func entry(m endpoints.Member) (model.Entry, error) {
	e := model.Entry{Server: model.ServerSpec{Name: m.ID, Pod: m.Pod}, Started: time.Duration(m.Started) * time.Millisecond}
	if m.State == endpoints.Draining {
		e.State = decide.Draining
	}
	for _, x := range []struct {
		text string
		to   *int
	}{{m.Zone, &e.Server.Zone}, {m.Kind, &e.Server.Kind}, {m.Addr[len("place:"):], &e.Server.Place}} {
		n, err := strconv.Atoi(x.text)
		if err != nil {
			return e, fmt.Errorf("a member of the rehearsal: %w", err)
		}
		*x.to = n
	}
	return e, nil
}

// newMembers is what merges for one agent, which is told the list as it had it last.
func newMembers(s model.RecordsSpec) *endpoints.Module {
	return endpoints.New(endpoints.Settings{Guard: s.Guard, Settle: s.Settle, Sources: []endpoints.Source{
		{Name: fromList, Exact: true, Hold: 100 * time.Hour}, {Name: fromRecords, Hold: s.Hold}}})
}

// merge gives an agent what a source said, and its policy the list that comes of it.
func (a *agent) merge(report endpoints.Report) {
	var list []endpoints.Member
	changed := false
	if a.d.o.Believe { // a resolver that believes each answer, and knows of nothing else
		v, whole := report.(endpoints.Snapshot)
		if !whole || v.Source != fromRecords {
			return
		}
		for _, s := range v.Servers {
			list = append(list, endpoints.Member{Server: s, In: true})
		}
		changed = true
	} else {
		list, changed = a.members.Step(a.d.now, report)
	}
	if !changed {
		return
	}
	var entries []model.Entry
	for _, m := range list {
		if !m.In {
			continue
		}
		e, err := entry(m)
		if err != nil {
			a.d.err = err
			return
		}
		entries = append(entries, e)
	}
	if len(entries) == 0 {
		a.d.emptied++
	}
	a.view.set(a.view.version, entries)
	a.post(decide.ListUpdate{Kind: decide.ListFull, Backends: backends(entries)})
}

// listed passes on what the list told, as a report.
func (a *agent) listed(t model.Tell) {
	all := make([]endpoints.Server, 0, len(t.Entries))
	for _, e := range t.Entries {
		all = append(all, member(e))
	}
	a.view.version = t.Version
	if t.Full {
		a.merge(endpoints.Snapshot{Source: fromList, Servers: slices.Clip(all)})
	} else {
		a.merge(endpoints.Delta{Source: fromList, Servers: all})
	}
}
