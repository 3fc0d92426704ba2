package daemon

import (
	"strings"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/source/discovery"
)

// agentHandle is a running copy of an instance, for the carrier's loop.
type agentHandle struct {
	agent       *core.Agent
	source      string
	fingerprint string // the sum of the texts of the policy that it was built by
}

// A server is named in the fleet by its source's name, a slash, and its id there: sources of one name are one list,
// whatever the address at which each daemon reads it.
func fleetServerID(source, server string) string { return source + "/" + server }

// watchLists has peers told of each list's changes, where that is not so yet.
func (d *Daemon) watchLists() {
	if d.cfg.Peers == nil || d.cfg.Peers.Ejection == nil {
		return
	}
	for name, h := range d.hubs {
		if h.unwatch == nil {
			h.unwatch = h.Join(func(*discovery.Members) { d.reportList(name, h) })
		}
	}
}

// reportList tells the carrier what a source says now. It may wait a little.
func (d *Daemon) reportList(source string, h *hub) {
	p := d.activePeering.Load()
	if p == nil || p.spec.Ejection == nil {
		return
	}
	m := h.Snapshot()
	if m == nil {
		return
	}
	p.transport.ListUpdated(ejection.ListUpdated{Source: source, Servers: ejectionServers(source, m)})
}

func ejectionServers(source string, m *discovery.Members) []ejection.Server {
	all := make([]ejection.Server, 0, len(m.Servers))
	for _, s := range m.Servers {
		one := ejection.Server{ID: fleetServerID(source, s.ID), StartedMS: s.Started, Zone: s.Zone, Pod: s.Cell}
		if s.State != "ready" {
			one.State = ejection.Draining
		}
		all = append(all, one)
	}
	return all
}

func outcomeSamples(source string, all []core.OutcomeSample) []ejection.OutcomeSample {
	out := make([]ejection.OutcomeSample, 0, len(all))
	for _, s := range all {
		out = append(out, ejection.OutcomeSample{Server: fleetServerID(source, s.Server), StartedMS: s.StartedMS, Succeeded: s.Succeeded, Failed: s.Failed, ErrorResponses: s.ErrorResponses})
	}
	return out
}

// ejectionSet are the verdicts that hold.
type ejectionSet struct {
	ejections []ejection.Ejection
	base      time.Time // of their times
}

// forSource are those about the servers of a source.
func (h *ejectionSet) forSource(source string) []core.Ejection {
	var all []core.Ejection
	for _, v := range h.ejections {
		if id, ok := strings.CutPrefix(v.Server, source+"/"); ok {
			all = append(all, core.Ejection{Server: id, StartedMS: v.StartedMS, Draining: v.Draining, ExpiresAt: h.base.Add(v.Until)})
		}
	}
	return all
}

// ejectionsChanged has all instances go by these verdicts. The carrier's loop calls it; it does not wait. An instance that is too
// busy to hear of them is told again.
func (d *Daemon) ejectionsChanged(all []ejection.Ejection, base time.Time) {
	h := &ejectionSet{all, base}
	d.ejections.Store(h)
	d.applyEjections(h)
}

func (d *Daemon) applyEjections(h *ejectionSet) {
	again := false
	d.agents.Range(func(_, a any) bool {
		if one := a.(agentHandle); !one.agent.SetEjections(h.forSource(one.source)) {
			again = true
		}
		return true
	})
	if again {
		time.AfterFunc(shareRetryInterval, func() {
			if d.ejections.Load() == h {
				d.applyEjections(h)
			}
		})
	}
}

// EjectionStatus are what this daemon holds of servers; ok is false where nothing is shared, or nobody answers.
func (d *Daemon) EjectionStatus() (s transport.EjectionStatus, ok bool) {
	p := d.activePeering.Load()
	if p == nil {
		return s, false
	}
	return p.transport.EjectionStatus()
}
