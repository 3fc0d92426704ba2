package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/protocol/http1"
	"vetchhaven/internal/protocol/ldap"
)

// hostedInstance is one instance, running or not. Run's goroutine owns it.
type hostedInstance struct {
	spec       daemonconfig.Instance
	agent      *core.Agent        // nil: it does not run
	stop       context.CancelFunc // has the agent end once everything it admitted is answered
	number     uint32             // of the agent, towards the transport; never used again
	pastTotals core.Totals        // of earlier agents

	// What the agent was last passed.
	limits          []quota.Limit
	floorAgents     int      // how many agents its floors are for
	disabledServers []string // out of use by the file or the policy
}

// agentHandle is a running agent, for goroutines besides Run's.
type agentHandle struct {
	agent       *core.Agent
	source      string
	fingerprint string // of the policy that it was built by: see policy.Serving.Fingerprint
}

// rangeAgents calls f with all running agents. It may be called from any goroutine.
func (d *Daemon) rangeAgents(f func(agentHandle)) {
	d.agents.Range(func(_, handle any) bool {
		f(handle.(agentHandle))
		return true
	})
}

// start starts an agent of an instance. The supervisor decides what happens if that fails.
func (d *Daemon) start(name string) {
	instance := d.instances[name]
	if instance == nil {
		return
	}
	if err := d.launch(instance); err != nil {
		d.log.Error("instance not started", "instance", name, "error", err)
		d.execute(d.supervisor.Step(d.now(), supervise.Failed{Name: name, Reason: err.Error()}))
		return
	}
	d.supervisor.Step(d.now(), supervise.Started{Name: name})
}

// launch makes an agent of an instance, passes it what it is to know before it serves, and runs it.
func (d *Daemon) launch(instance *hostedInstance) error {
	listener, err := d.listenerFor(instance)
	if err != nil {
		return err
	}
	var size *membership.Size // of the fleet; nil: not known
	if d.cfg.Peers != nil {
		size = d.size.Load()
	}
	number := d.lastAgentNumber.Add(1)
	agent, err := d.newAgent(instance, size, d.agentParts(instance, number, listener))
	if err != nil {
		_ = listener.Close()
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	instance.agent = agent
	instance.stop = stop
	instance.number = number
	d.prepareAgent(instance, size)
	d.runAgent(ctx, instance)
	return nil
}

// listenerFor returns a copy of an instance's listener. The listener was closed if the instance was left down.
func (d *Daemon) listenerFor(instance *hostedInstance) (net.Listener, error) {
	address := instance.spec.Listen
	if d.listeners[address] == nil {
		listener, err := listenOn(address)
		if err != nil {
			return nil, err
		}
		d.listeners[address] = listener
	}
	return copyOf(d.listeners[address])
}

// newAgent makes an agent that speaks the instance's protocol.
func (d *Daemon) newAgent(instance *hostedInstance, size *membership.Size, parts core.Parts) (*core.Agent, error) {
	spec := &instance.spec
	cfg := spec.Agent
	cfg.Seed = d.rng.Uint64()
	cfg.Memory = d.memories[spec.Name]
	if size != nil {
		cfg.Settings.Balancers = size.MaxBalancers
	}
	log := d.log.With("instance", spec.Name)
	if spec.LDAP != nil {
		return ldap.New(&cfg, *spec.LDAP, log, parts)
	}
	return http1.New(&cfg, log, parts)
}

// agentParts returns what an agent shares with the daemon. Its loop calls the functions.
func (d *Daemon) agentParts(instance *hostedInstance, number uint32, listener net.Listener) core.Parts {
	source := instance.spec.Source
	parts := core.Parts{
		Listener:          listener,
		Hub:               d.hubs[source].Hub,
		NoLateConnections: true,
		ListWait:          readyTimeout,
		ReportUsage: func(usage []quota.Usage) {
			if p := d.activePeering.Load(); p != nil {
				p.transport.ReportUsage(number, usage)
			}
		},
	}
	if d.cfg.Peers != nil {
		parts.ReportOutcomes = func(observed []core.OutcomeSample) {
			if p := d.activePeering.Load(); p != nil && p.spec.Ejection != nil {
				p.transport.OutcomesObserved(outcomeSamples(source, observed))
			}
		}
	}
	return parts
}

// prepareAgent passes a new agent what it is to know before it serves. Its loop takes this first.
func (d *Daemon) prepareAgent(instance *hostedInstance, size *membership.Size) {
	agent := instance.agent
	if d.options.Fault != nil {
		if fault := d.options.Fault(instance.spec.Name); fault != nil {
			agent.SetStepHook(fault)
		}
	}
	if size != nil {
		agent.SetFleetSize(size.MaxBalancers, min(size.MinBalancers, size.MaxBalancers))
	}
	handle := agentHandle{agent, instance.spec.Source, d.policy.fingerprint}
	d.agents.Store(instance.number, handle)
	if ejections := d.ejections.Load(); ejections != nil {
		agent.SetEjections(ejections.forSource(instance.spec.Source))
	}
	instance.disabledServers = nil
	if !d.applyBans(instance) {
		time.AfterFunc(busyRetryInterval, d.scheduleUpdate)
	}
	d.applyAdmission(handle)
	instance.limits = nil
	instance.floorAgents = 0
	d.applyLimits(instance) // before it serves: nothing that is limited goes without a lease
	if p := d.activePeering.Load(); p != nil && d.cfg.Limits != nil {
		p.transport.AddAgent(instance.number)
	}
}

// runAgent runs an agent in a goroutine of its own, and reports its end to Run's.
func (d *Daemon) runAgent(ctx context.Context, instance *hostedInstance) {
	name := instance.spec.Name
	agent := instance.agent
	stop := instance.stop
	number := instance.number
	d.running.Go(func() {
		err := agent.Run(ctx)
		stopped := ctx.Err() != nil
		stop()
		d.agents.Delete(number)
		d.replaced.Delete(agent)
		d.post(func() { d.agentEnded(agentEnd{name, agent, err, stopped}) })
		if p := d.activePeering.Load(); p != nil && err == nil { // nothing of it is in flight
			p.transport.RemoveAgent(number)
		}
	})
}

// agentEnd is the end of an agent.
type agentEnd struct {
	name    string // of its instance
	agent   *core.Agent
	err     error
	stopped bool // it was asked to end
}

// agentEnded takes note of the end of an agent.
func (d *Daemon) agentEnded(end agentEnd) {
	instance := d.instances[end.name]
	if instance == nil || instance.agent != end.agent {
		return // the instance was removed, or the agent replaced, and it has drained; another instance may have its name
	}
	instance.pastTotals = addTotals(instance.pastTotals, end.agent.Totals())
	instance.agent = nil
	instance.stop = nil
	if end.stopped {
		return
	}
	err := end.err
	if err == nil {
		err = errors.New("it ended by itself")
	}
	d.log.Error("instance failed", "instance", end.name, "error", err)
	d.execute(d.supervisor.Step(d.now(), supervise.Failed{Name: end.name, Reason: err.Error()}))
}

// supervise starts the instances whose wait is over.
func (d *Daemon) supervise() { d.execute(d.supervisor.Step(d.now())) }

// execute does what the supervisor decided.
func (d *Daemon) execute(actions []supervise.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case supervise.ReportDown:
			d.log.Error("instance left down: it keeps failing", "instance", action.Name, "error", action.Reason)
			// Clients are refused a connection rather than kept waiting for one.
			if instance := d.instances[action.Name]; instance != nil && d.listeners[instance.spec.Listen] != nil {
				d.closeSocket(instance.spec.Listen)
			}
		case supervise.Start:
			d.start(action.Name)
		}
	}
}

func addTotals(a, b core.Totals) core.Totals {
	a.Requests += b.Requests
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.ClientDisconnects += b.ClientDisconnects
	a.Attempts += b.Attempts
	a.Late += b.Late
	return a
}
