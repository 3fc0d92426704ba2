package daemon

import (
	"strings"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/source/discovery"
)

// fleetServerID returns a server's name in the fleet: the name of its source, a slash, and its ID in the list.
// Sources with the same name are the same list, whatever the address at which each daemon reads it.
func fleetServerID(source, server string) string { return source + "/" + server }

// watchLists makes each hub report changes of its list to the transport, unless it does so already.
func (d *Daemon) watchLists() {
	if d.cfg.Peers == nil || d.cfg.Peers.Ejection == nil {
		return
	}
	for name, h := range d.hubs {
		if h.unwatch == nil {
			h.unwatch = h.Subscribe(func(*discovery.Update) { d.reportList(name, h) })
		}
	}
}

// reportList reports a source's list to the transport. It may block for a moment.
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

func ejectionServers(source string, m *discovery.Update) []ejection.Server {
	servers := make([]ejection.Server, 0, len(m.Servers))
	for _, listed := range m.Servers {
		server := ejection.Server{
			ID:        fleetServerID(source, listed.ID),
			StartedMS: listed.Started,
			Zone:      listed.Zone,
			Pod:       ejection.UnknownPod,
		}
		if listed.Cell != nil {
			server.Pod = *listed.Cell
		}
		if listed.State != "ready" {
			server.State = ejection.Draining
		}
		servers = append(servers, server)
	}
	return servers
}

// outcomeSamples translates an instance's outcome samples of a source's servers: servers get their names in the fleet.
func outcomeSamples(source string, observed []core.OutcomeSample) []ejection.OutcomeSample {
	samples := make([]ejection.OutcomeSample, 0, len(observed))
	for _, o := range observed {
		samples = append(samples, ejection.OutcomeSample{
			Server:         fleetServerID(source, o.Server),
			StartedMS:      o.StartedMS,
			Succeeded:      o.Succeeded,
			Failed:         o.Failed,
			ErrorResponses: o.ErrorResponses,
		})
	}
	return samples
}

// ejectionSet holds all current ejections.
type ejectionSet struct {
	ejections []ejection.Ejection
	base      time.Time // the time that the ejections' times count from
}

// forSource returns the ejections of a source's servers, in the form for its instances.
func (e *ejectionSet) forSource(source string) []core.Ejection {
	var ejections []core.Ejection
	for _, one := range e.ejections {
		if id, ok := strings.CutPrefix(one.Server, source+"/"); ok {
			ejections = append(ejections, core.Ejection{
				Server:    id,
				StartedMS: one.StartedMS,
				Draining:  one.Draining,
				ExpiresAt: e.base.Add(one.Until),
			})
		}
	}
	return ejections
}

// ejectionsChanged makes all instances use these ejections. The transport's goroutine calls it, and it does not block.
func (d *Daemon) ejectionsChanged(ejections []ejection.Ejection, base time.Time) {
	set := &ejectionSet{ejections, base}
	d.ejections.Store(set)
	d.applyEjections(set)
}

// applyEjections passes ejections to all instances. If an instance was too busy to take them, it tries again later,
// unless there are newer ejections by then.
func (d *Daemon) applyEjections(set *ejectionSet) {
	retry := false
	d.rangeAgents(func(h agentHandle) {
		if !h.agent.SetEjections(set.forSource(h.source)) {
			retry = true
		}
	})
	if !retry {
		return
	}
	time.AfterFunc(busyRetryInterval, func() {
		if d.ejections.Load() == set {
			d.applyEjections(set)
		}
	})
}

// EjectionStatus returns the state of the ejections at this daemon. ok is false if members share none, or the
// transport does not respond.
func (d *Daemon) EjectionStatus() (s transport.EjectionStatus, ok bool) {
	p := d.activePeering.Load()
	if p == nil {
		return s, false
	}
	return p.transport.EjectionStatus()
}
