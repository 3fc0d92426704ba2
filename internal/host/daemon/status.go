package daemon

import (
	"os"
	"runtime"
	"slices"
	"strings"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/metrics"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/source/discovery"
)

// Status is the state of a daemon as the admin endpoint shows it.
type Status struct {
	PID       int                  `json:"pid"`
	Up        float64              `json:"up_s"`
	State     string               `json:"state"`   // serving, or handing over
	Ready     int                  `json:"ready"`   // running instances that have at least one server
	Running   int                  `json:"running"` // instances that run
	Waiting   int                  `json:"waiting"` // instances that failed and will be started again
	Down      int                  `json:"down"`    // instances that are left down
	Reloads   int                  `json:"reloads"`
	Memory    uint64               `json:"heap_bytes"`
	Totals    core.Totals          `json:"totals"`
	Lists     []discovery.HubState `json:"lists"`
	Instances []InstanceStatus     `json:"instances"`
	Saving    string               `json:"saving,omitempty"` // why snapshots are not being saved
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Name     string      `json:"name"`
	Listen   string      `json:"listen"`
	State    string      `json:"state"` // one of the states below
	Failures int         `json:"failures,omitempty"`
	Reason   string      `json:"reason,omitempty"`
	Totals   core.Totals `json:"totals"`
}

// The states of an instance.
const (
	instanceReady    = "ready"
	instanceStarting = "starting" // the instance runs, but has no server yet
	instanceWaiting  = "waiting"  // the instance failed and will be started again
	instanceDown     = "down"     // the instance is left down after repeated failures
)

// Status returns the state of the daemon; ok is false if it has ended.
func (d *Daemon) Status() (s Status, ok bool) {
	ok = d.call(func() { s = d.status() })
	return s, ok
}

func (d *Daemon) status() Status {
	s := Status{
		PID:       os.Getpid(),
		Up:        d.now().Seconds(),
		State:     "serving",
		Reloads:   d.reloads,
		Instances: []InstanceStatus{},
	}
	if d.handingOver {
		s.State = "handing over"
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s.Memory = memory.HeapAlloc
	for name, instance := range d.instances {
		s.add(d.instanceStatus(name, instance))
	}
	slices.SortFunc(s.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range d.hubs {
		s.Lists = append(s.Lists, h.State())
	}
	slices.SortFunc(s.Lists, func(a, b discovery.HubState) int { return strings.Compare(a.Addr, b.Addr) })
	if d.snapshots.Failed() {
		s.Saving = "the state directory can't be written"
	}
	return s
}

// add adds an instance to the status and its counts.
func (s *Status) add(instance InstanceStatus) {
	switch instance.State {
	case instanceDown:
		s.Down++
	case instanceWaiting:
		s.Waiting++
	case instanceStarting:
		s.Running++
	case instanceReady:
		s.Running++
		s.Ready++
	}
	s.Totals = addTotals(s.Totals, instance.Totals)
	s.Instances = append(s.Instances, instance)
}

func (d *Daemon) instanceStatus(name string, instance *hostedInstance) InstanceStatus {
	supervised := d.supervisor.State(name)
	status := InstanceStatus{
		Name:     name,
		Listen:   instance.spec.Listen.String(),
		Failures: supervised.TotalFailures,
		Reason:   supervised.LastReason,
		Totals:   instance.pastTotals,
	}
	switch {
	case supervised.Phase == supervise.Down:
		status.State = instanceDown
		return status
	case instance.agent == nil:
		status.State = instanceWaiting
		return status
	case instance.agent.Ready():
		status.State = instanceReady
	default:
		status.State = instanceStarting
	}
	status.Totals = addTotals(instance.pastTotals, instance.agent.Totals())
	return status
}

// agentCounters returns the counters of the running agents since their starts.
func (d *Daemon) agentCounters() []metrics.Agent {
	var agents []metrics.Agent
	d.call(func() {
		for name, instance := range d.instances {
			if instance.agent != nil {
				agents = append(agents, metrics.Agent{Name: name, Totals: instance.agent.Totals(), Counters: instance.agent.Counters()})
			}
		}
	})
	return agents
}
