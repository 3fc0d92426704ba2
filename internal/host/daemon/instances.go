package daemon

import (
	"context"
	"errors"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/protocol/http1"
	"vetchhaven/internal/protocol/ldap"
)

// hostedInstance is one instance, running or not.
type hostedInstance struct {
	spec          daemonconfig.Instance
	agent         *core.Agent
	stop          context.CancelFunc
	number        uint32        // of the running copy, towards the carrier; never used again
	limits        []quota.Limit // what it was last told
	barredServers []string      // servers that are out of use by the file or the policy
	floorAgents   int           // and for how many agents its floors are
	generation    int           // copies so far: what an earlier one tells is not this one's end
	pastTotals    core.Totals
}

// start runs a copy of an instance. What fails is the supervisor's.
func (d *Daemon) start(name string) {
	p := d.instances[name]
	if p == nil {
		return
	}
	if err := d.launch(p); err != nil {
		d.log.Error("instance not started", "instance", name, "error", err)
		d.execute(d.supervisor.Step(d.now(), supervise.Failed{Name: name, Reason: err.Error()}))
		return
	}
	d.supervisor.Step(d.now(), supervise.Started{Name: name})
}

func (d *Daemon) launch(p *hostedInstance) error {
	master := d.listeners[p.spec.Listen]
	if master == nil { // it was closed when the instance was left down
		ln, err := listenOn(p.spec.Listen)
		if err != nil {
			return err
		}
		master, d.listeners[p.spec.Listen] = ln, ln
	}
	ln, err := copyOf(master)
	if err != nil {
		return err
	}
	cfg := p.spec.Agent
	cfg.Seed = d.rng.Uint64()
	cfg.Memory = d.memories[p.spec.Name]
	count := d.size.Load()
	if count != nil && d.cfg.Peers != nil {
		cfg.Settings.Balancers = count.MaxBalancers
	}
	number := d.lastAgentNumber.Add(1)
	held := func(all []quota.Usage) { // called by the agent's loop
		if p := d.activePeering.Load(); p != nil {
			p.transport.ReportUsage(number, all)
		}
	}
	source := p.spec.Source
	seen := func(all []core.OutcomeSample) {
		if p := d.activePeering.Load(); p != nil && p.spec.Ejection != nil {
			p.transport.OutcomesObserved(outcomeSamples(source, all))
		}
	}
	log, parts := d.log.With("instance", p.spec.Name), core.Parts{Listener: ln, Hub: d.hubs[p.spec.Source].Hub, NoLateConnections: true, ListWait: readyTimeout, ReportUsage: held}
	if d.cfg.Peers != nil {
		parts.ReportOutcomes = seen
	}
	var a *core.Agent
	if p.spec.LDAP != nil {
		a, err = ldap.New(&cfg, *p.spec.LDAP, log, parts)
	} else {
		a, err = http1.New(&cfg, log, parts)
	}
	if err != nil {
		_ = ln.Close()
		return err
	}
	if d.options.Fault != nil {
		if f := d.options.Fault(p.spec.Name); f != nil {
			a.SetStepHook(f)
		}
	}
	if count != nil && d.cfg.Peers != nil {
		a.SetFleetSize(count.MaxBalancers, min(count.MinBalancers, count.MaxBalancers))
	}
	ctx, end := context.WithCancel(context.Background())
	p.agent, p.stop = a, end
	p.number, p.limits, p.floorAgents = number, nil, 0
	h := agentHandle{a, source, d.policy.fingerprint}
	d.agents.Store(number, h)
	if v := d.ejections.Load(); v != nil {
		a.SetEjections(v.forSource(source))
	}
	p.barredServers = nil
	if !d.applyBans(p) { // its loop takes this first
		time.AfterFunc(shareRetryInterval, d.scheduleUpdate)
	}
	d.applyAdmission(h)
	d.applyLimits(p) // before it serves: nothing that is limited goes without a right
	if at := d.activePeering.Load(); at != nil && d.cfg.Limits != nil {
		at.transport.AddAgent(number)
	}
	p.generation++
	life, name := p.generation, p.spec.Name
	d.running.Go(func() {
		err := a.Run(ctx)
		ended := ctx.Err() != nil // it was told to
		end()
		d.agents.Delete(number)
		d.replaced.Delete(a)
		d.post(func() { d.instanceEnded(name, life, a, err, ended) })
		if p := d.activePeering.Load(); p != nil && err == nil { // nothing of it is in flight
			p.transport.RemoveAgent(number)
		}
	})
	return nil
}

// instanceEnded takes note of the end of a copy of an instance.
func (d *Daemon) instanceEnded(name string, life int, a *core.Agent, err error, told bool) {
	p := d.instances[name]
	if p == nil || p.generation != life {
		return // it was removed or replaced, and has drained
	}
	p.pastTotals = addTotals(p.pastTotals, a.Totals())
	p.agent, p.stop = nil, nil
	if told {
		return
	}
	if err == nil {
		err = errors.New("it ended by itself")
	}
	d.log.Error("instance failed", "instance", name, "error", err)
	d.execute(d.supervisor.Step(d.now(), supervise.Failed{Name: name, Reason: err.Error()}))
}

func (d *Daemon) supervise() { d.execute(d.supervisor.Step(d.now())) }

func (d *Daemon) execute(actions []supervise.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case supervise.ReportDown:
			d.log.Error("instance left down: it keeps failing", "instance", a.Name, "error", a.Reason)
			// Clients are refused a connection rather than kept waiting for one.
			if p := d.instances[a.Name]; p != nil && d.listeners[p.spec.Listen] != nil {
				d.closeSocket(p.spec.Listen)
			}
		case supervise.Start:
			d.start(a.Name)
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
