package daemon

import (
	"strings"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/source/discovery"
)

// hosted is a running copy of an instance, for the carrier's loop.
type hosted struct {
	agent  *core.Agent
	source string
	serves string // the sum of the texts of the policy that it was built by
}

// A server is named in the fleet by its source's name, a slash, and its id there: sources of one name are one list,
// whatever the address at which each daemon reads it.
func fleetID(source, server string) string { return source + "/" + server }

// watchLists has peers told of each list's changes, where that is not so yet.
func (d *Daemon) watchLists() {
	if d.cfg.Peers == nil || d.cfg.Peers.Verdicts == nil {
		return
	}
	for name, h := range d.hubs {
		if h.leave == nil {
			h.leave = h.Join(func(*discovery.Members) { d.listed(name, h) })
		}
	}
}

// listed tells the carrier what a source says now. It may wait a little.
func (d *Daemon) listed(source string, h *hub) {
	p := d.sharing.Load()
	if p == nil || p.spec.Verdicts == nil {
		return
	}
	m := h.Snapshot()
	if m == nil {
		return
	}
	p.carrier.ListUpdated(ejection.ListUpdated{Source: source, Servers: serversOf(source, m)})
}

func serversOf(source string, m *discovery.Members) []ejection.Server {
	all := make([]ejection.Server, 0, len(m.Servers))
	for _, s := range m.Servers {
		one := ejection.Server{ID: fleetID(source, s.ID), StartedMS: s.Started, Zone: s.Zone, Pod: s.Cell}
		if s.State != "ready" {
			one.State = ejection.Draining
		}
		all = append(all, one)
	}
	return all
}

func sightsOf(source string, all []core.OutcomeSample) []ejection.OutcomeSample {
	out := make([]ejection.OutcomeSample, 0, len(all))
	for _, s := range all {
		out = append(out, ejection.OutcomeSample{Server: fleetID(source, s.Server), StartedMS: s.StartedMS, Succeeded: s.Succeeded, Failed: s.Failed, ErrorResponses: s.ErrorResponses})
	}
	return out
}

// held are the verdicts that hold.
type held struct {
	all  []ejection.Ejection
	base time.Time // of their times
}

// of are those about the servers of a source.
func (h *held) of(source string) []core.Ejection {
	var all []core.Ejection
	for _, v := range h.all {
		if id, ok := strings.CutPrefix(v.Server, source+"/"); ok {
			all = append(all, core.Ejection{Server: id, StartedMS: v.StartedMS, Draining: v.Draining, ExpiresAt: h.base.Add(v.Until)})
		}
	}
	return all
}

// judged has all instances go by these verdicts. The carrier's loop calls it; it does not wait. An instance that is too
// busy to hear of them is told again.
func (d *Daemon) judged(all []ejection.Ejection, base time.Time) {
	h := &held{all, base}
	d.verdicts.Store(h)
	d.judge(h)
}

func (d *Daemon) judge(h *held) {
	again := false
	d.agents.Range(func(_, a any) bool {
		if one := a.(hosted); !one.agent.SetEjections(h.of(one.source)) {
			again = true
		}
		return true
	})
	if again {
		time.AfterFunc(shareAgain, func() {
			if d.verdicts.Load() == h {
				d.judge(h)
			}
		})
	}
}

// Verdicts are what this daemon holds of servers; ok is false where nothing is shared, or nobody answers.
func (d *Daemon) Verdicts() (s transport.EjectionStatus, ok bool) {
	p := d.sharing.Load()
	if p == nil {
		return s, false
	}
	return p.carrier.EjectionStatus()
}
