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
	agent      *core.Agent        // nil: no agent runs
	stop       context.CancelFunc // makes the agent end once everything it admitted is answered
	number     uint32             // identifies the agent to the transport; never reused
	pastTotals core.Totals        // the totals of earlier agents

	// What was last passed to the agent.
	limits          []quota.Limit
	floorAgents     int      // the number of agents that its floors were computed for
	disabledServers []string // servers that the file or the policy disables
}

// agentHandle is a running agent, for goroutines other than Run's.
type agentHandle struct {
	agent       *core.Agent
	source      string
	fingerprint string // the fingerprint of the policy that the agent was built for: see policy.Serving.Fingerprint
}

// rangeAgents calls f with each running agent. It may be called from any goroutine.
func (d *Daemon) rangeAgents(f func(agentHandle)) {
	d.agents.Range(func(_, handle any) bool {
		f(handle.(agentHandle))
		return true
	})
}

// start starts an agent for an instance. If that fails, the supervisor decides what happens next.
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

// launch makes an agent for an instance, passes it everything that it needs before it serves, and runs it.
func (d *Daemon) launch(instance *hostedInstance) error {
	listener, err := d.listenerFor(instance)
	if err != nil {
		return err
	}
	var size *membership.BalancerCount // the size of the fleet; nil: not known
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

// listenerFor returns a copy of an instance's listener. It opens the listener again if it was closed because the
// instance was left down.
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

// newAgent makes an agent for the instance's protocol.
func (d *Daemon) newAgent(instance *hostedInstance, size *membership.BalancerCount, parts core.Options) (*core.Agent, error) {
	spec := &instance.spec
	cfg := spec.Agent
	cfg.Seed = d.rng.Uint64()
	cfg.Learned = d.memories[spec.Name]
	if size != nil {
		cfg.Settings.Balancers = size.MaxBalancers
	}
	log := d.log.With("instance", spec.Name)
	if spec.LDAP != nil {
		parts.IDs = nil // its IDs are the agent's own, and start anew in each process
		return ldap.New(&cfg, *spec.LDAP, log, parts)
	}
	return http1.New(&cfg, log, parts)
}

// agentParts returns what an agent shares with the daemon. The agent's loop calls the functions in it.
func (d *Daemon) agentParts(instance *hostedInstance, number uint32, listener net.Listener) core.Options {
	source := instance.spec.Source
	parts := core.Options{
		Listener:          listener,
		Hub:               d.hubs[source].Hub,
		NoLateConnections: true,
		ListWait:          readyTimeout,
		IDs:               d.options.IDs,
		MemoryShort:       d.options.MemoryShort,
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

// prepareAgent passes a new agent everything that it needs before it serves. The agent's loop handles this first.
func (d *Daemon) prepareAgent(instance *hostedInstance, size *membership.BalancerCount) {
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
	d.applyLimits(instance) // before the agent serves, so that it sends no limited request without a lease
	if p := d.activePeering.Load(); p != nil && d.cfg.Limits != nil {
		p.transport.AddAgent(instance.number)
	}
}

// runAgent runs an agent in a goroutine of its own, and reports the agent's end to Run's goroutine.
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
		if p := d.activePeering.Load(); p != nil && err == nil { // the agent has no request in flight
			p.transport.RemoveAgent(number)
		}
	})
}

// agentEnd describes the end of an agent.
type agentEnd struct {
	name    string // the name of the agent's instance
	agent   *core.Agent
	err     error
	stopped bool // the daemon stopped the agent
}

// agentEnded handles the end of an agent.
func (d *Daemon) agentEnded(end agentEnd) {
	instance := d.instances[end.name]
	if instance == nil || instance.agent != end.agent {
		// The agent has drained after its instance was removed or the agent replaced. Another instance may have the
		// name now.
		return
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

// supervise starts the instances whose backoff is over.
func (d *Daemon) supervise() { d.execute(d.supervisor.Step(d.now())) }

// execute carries out the supervisor's actions.
func (d *Daemon) execute(actions []supervise.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case supervise.ReportDown:
			d.log.Error("instance left down: it keeps failing", "instance", action.Name, "error", action.Reason)
			// Without the socket, clients' connections are refused at once instead of waiting in its queue.
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
