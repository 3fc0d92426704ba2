package daemon

import (
	"context"
	"errors"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/core"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/protocol/http1"
	"vetchhaven/internal/protocol/ldap"
)

// part is one instance, running or not.
type part struct {
	spec   Instance
	agent  *core.Agent
	end    context.CancelFunc
	number uint32        // of the running copy, towards the carrier; never used again
	told   []quota.Limit // what it was last told
	banned []string      // servers that are out of use by the file or the policy
	floors int           // and for how many agents its floors are
	life   int           // copies so far: what an earlier one tells is not this one's end
	past   core.Totals
}

// start runs a copy of an instance. What fails is the supervisor's.
func (d *Daemon) start(name string) {
	p := d.parts[name]
	if p == nil {
		return
	}
	if err := d.launch(p); err != nil {
		d.log.Error("instance not started", "instance", name, "error", err)
		d.execute(d.sup.Step(d.now(), supervise.Failed{Name: name, Reason: err.Error()}))
		return
	}
	d.sup.Step(d.now(), supervise.Started{Name: name})
}

func (d *Daemon) launch(p *part) error {
	master := d.sockets[p.spec.Listen]
	if master == nil { // it was closed when the instance was left down
		ln, err := listenOn(p.spec.Listen)
		if err != nil {
			return err
		}
		master, d.sockets[p.spec.Listen] = ln, ln
	}
	ln, err := copyOf(master)
	if err != nil {
		return err
	}
	cfg := p.spec.Agent
	cfg.Seed = d.seed.Uint64()
	cfg.Memory = d.memory[p.spec.Name]
	count := d.count.Load()
	if count != nil && d.cfg.Peers != nil {
		cfg.Settings.Balancers = count.MaxBalancers
	}
	number := d.numbers.Add(1)
	held := func(all []quota.Usage) { // called by the agent's loop
		if p := d.sharing.Load(); p != nil {
			p.carrier.ReportUsage(number, all)
		}
	}
	source := p.spec.Source
	seen := func(all []core.OutcomeSample) {
		if p := d.sharing.Load(); p != nil && p.spec.Verdicts != nil {
			p.carrier.OutcomesObserved(sightsOf(source, all))
		}
	}
	log, parts := d.log.With("instance", p.spec.Name), core.Parts{Listener: ln, Hub: d.hubs[p.spec.Source].Hub, NoLateConnections: true, ListWait: readyWait, ReportUsage: held}
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
	if d.o.Fault != nil {
		if f := d.o.Fault(p.spec.Name); f != nil {
			a.SetStepHook(f)
		}
	}
	if count != nil && d.cfg.Peers != nil {
		a.SetFleetSize(count.MaxBalancers, min(count.MinBalancers, count.MaxBalancers))
	}
	ctx, end := context.WithCancel(context.Background())
	p.agent, p.end = a, end
	p.number, p.told, p.floors = number, nil, 0
	h := hosted{a, source, d.policy.serves}
	d.agents.Store(number, h)
	if v := d.verdicts.Load(); v != nil {
		a.SetEjections(v.of(source))
	}
	p.banned = nil
	if !d.ban(p) { // its loop takes this first
		time.AfterFunc(shareAgain, d.shareSoon)
	}
	d.gate(h)
	d.limit(p) // before it serves: nothing that is limited goes without a right
	if at := d.sharing.Load(); at != nil && d.cfg.Limits != nil {
		at.carrier.AddAgent(number)
	}
	p.life++
	life, name := p.life, p.spec.Name
	d.running.Go(func() {
		err := a.Run(ctx)
		ended := ctx.Err() != nil // it was told to
		end()
		d.agents.Delete(number)
		d.closing.Delete(a)
		d.later(func() { d.ended(name, life, a, err, ended) })
		if p := d.sharing.Load(); p != nil && err == nil { // nothing of it is in flight
			p.carrier.RemoveAgent(number)
		}
	})
	return nil
}

// ended takes note of the end of a copy of an instance.
func (d *Daemon) ended(name string, life int, a *core.Agent, err error, told bool) {
	p := d.parts[name]
	if p == nil || p.life != life {
		return // it was removed or replaced, and has drained
	}
	p.past = sum(p.past, a.Totals())
	p.agent, p.end = nil, nil
	if told {
		return
	}
	if err == nil {
		err = errors.New("it ended by itself")
	}
	d.log.Error("instance failed", "instance", name, "error", err)
	d.execute(d.sup.Step(d.now(), supervise.Failed{Name: name, Reason: err.Error()}))
}

func (d *Daemon) supervise() { d.execute(d.sup.Step(d.now())) }

func (d *Daemon) execute(actions []supervise.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case supervise.LeaveDown:
			d.log.Error("instance left down: it keeps failing", "instance", a.Name, "error", a.Reason)
			// Clients are refused a connection rather than kept waiting for one.
			if p := d.parts[a.Name]; p != nil && d.sockets[p.spec.Listen] != nil {
				d.closeSocket(p.spec.Listen)
			}
		case supervise.Start:
			d.start(a.Name)
		}
	}
}

func sum(a, b core.Totals) core.Totals {
	a.Requests += b.Requests
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.ClientDisconnects += b.ClientDisconnects
	a.Attempts += b.Attempts
	a.Late += b.Late
	return a
}
