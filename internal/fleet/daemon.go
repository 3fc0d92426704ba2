package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"slices"
	"sync"
	"syscall"
	"time"

	"vetchhaven/internal/catalog"
	"vetchhaven/internal/core"
	"vetchhaven/internal/http1"
	"vetchhaven/internal/laststate"
	"vetchhaven/internal/ldap"
	"vetchhaven/internal/supervise"
)

// Options are what a daemon is started with.
type Options struct {
	Config  *Config
	Log     *slog.Logger
	Inherit map[Address]*os.File // sockets of the daemon before, listening already
	State   []byte               // its last state, if it hands over; else the state directory is read
	// Ready is called once every instance runs and has a list, or has waited long enough for one.
	Ready func()
	// Upgrade starts a successor with these sockets and this state, and returns when it is ready; nil:
	// this daemon can't hand over.
	Upgrade func(ctx context.Context, sockets map[Address]*os.File, state []byte) error
	// Fault may make an instance panic: tests do.
	Fault func(name string) func(core.Totals)
}

// Daemon is a fleet of instances. One goroutine, Run's, owns all of it.
type Daemon struct {
	o       Options
	cfg     *Config
	log     *slog.Logger
	base    time.Time
	calls   chan func() // for Run's goroutine
	done    chan struct{}
	sockets map[Address]net.Listener // nobody accepts on these: instances do, on copies
	hubs    map[string]*hub
	parts   map[string]*part
	sup     *supervise.Supervisor
	store   *store
	memory  map[string]*core.Memory // from the last state
	given   map[string]*catalog.Members
	running sync.WaitGroup // instances, draining ones too
	others  sync.WaitGroup
	stop    context.Context
	reloads int
	handing bool
	seed    *rand.Rand
}

// hub is one list that is followed.
type hub struct {
	*catalog.Hub
	source Source
	end    context.CancelFunc
}

// part is one instance, running or not.
type part struct {
	spec  Instance
	agent *core.Agent
	end   context.CancelFunc
	life  int // copies so far: what an earlier one tells is not this one's end
	past  core.Totals
}

// readyWait is how long a start waits for lists: the list service may be down, and the saved one, or
// none, serves then.
const readyWait = 5 * time.Second

// New opens what a daemon needs: sockets, inherited or new, and its last state. Nothing runs yet.
func New(o Options) (*Daemon, error) {
	d := &Daemon{o: o, cfg: o.Config, log: o.Log, base: time.Now(), calls: make(chan func(), 64), done: make(chan struct{}),
		sockets: map[Address]net.Listener{}, hubs: map[string]*hub{}, parts: map[string]*part{},
		memory: map[string]*core.Memory{}, given: map[string]*catalog.Members{},
		seed: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	d.sup = supervise.New(o.Config.Supervise, d.seed.Uint64())
	d.store = newStore(o.Config.StateDir, o.Log)
	d.restore()
	for a, f := range o.Inherit {
		ln, err := net.FileListener(f)
		if err != nil {
			d.closeSockets()
			return nil, fmt.Errorf("inherited socket %s: %w", a, err)
		}
		_ = f.Close()
		d.sockets[a] = ln
	}
	if _, err := d.listen(o.Config); err != nil {
		d.closeSockets()
		return nil, err
	}
	return d, nil
}

// restore takes over the last state, as far as it may be believed.
func (d *Daemon) restore() {
	data, from := d.o.State, "the daemon before"
	saved := data == nil
	if saved {
		if data, from = d.store.read(); data == nil {
			return
		}
	}
	s, err := laststate.Decode(data, time.Now(), d.cfg.StateMost)
	if err != nil {
		d.log.Warn("the last state is not used", "from", from, "error", err)
		return
	}
	if saved {
		s.AfterPause()
	}
	for list, m := range s.Sources {
		d.given[list] = m
	}
	for name, m := range s.Instances {
		if m != nil {
			d.memory[name] = m
		}
	}
	d.log.Info("last state", "from", from, "lists", len(s.Sources), "instances", len(s.Instances),
		"saved", time.UnixMilli(s.Saved).Format(time.RFC3339))
}

// wanted is every address that a configuration names.
func wanted(cfg *Config) []Address {
	all := []Address{cfg.Admin}
	for _, i := range cfg.Instances {
		all = append(all, i.Listen)
	}
	return all
}

// listen opens what is not open yet. After an error nothing has changed.
func (d *Daemon) listen(cfg *Config) (opened []Address, err error) {
	for _, a := range wanted(cfg) {
		if d.sockets[a] != nil {
			continue
		}
		ln, err := listenOn(a)
		if err != nil {
			for _, b := range opened {
				d.closeSocket(b)
			}
			return nil, fmt.Errorf("listen %s: %w", a, err)
		}
		d.sockets[a] = ln
		opened = append(opened, a)
	}
	return opened, nil
}

// listenOn opens one address. A unix socket that nobody listens on any more is one that a daemon
// left when it was killed: it goes.
func listenOn(a Address) (net.Listener, error) {
	ln, err := net.Listen(a.Network, a.Addr)
	if err != nil && a.Network == "unix" {
		if info, stat := os.Stat(a.Addr); stat == nil && info.Mode()&os.ModeSocket != 0 {
			if c, dial := net.DialTimeout("unix", a.Addr, time.Second); dial == nil {
				_ = c.Close() // someone listens
			} else if os.Remove(a.Addr) == nil {
				ln, err = net.Listen(a.Network, a.Addr)
			}
		}
	}
	if u, ok := ln.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(false) // a successor may listen on it
	}
	return ln, err
}

// copyOf is another descriptor of the same socket: accepting on it, and closing it, leaves the
// first one alone, and with it what waits to be accepted.
func copyOf(ln net.Listener) (net.Listener, error) {
	f, err := fileOf(ln)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

// fileOf is a copy of the socket's descriptor. The listener's own File would do, but for what exec makes
// of it: it hands such a file on in blocking mode, which holds for every copy, and an accept that begins
// then waits in the kernel, where closing its descriptor does not wake it.
func fileOf(ln net.Listener) (*os.File, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no descriptor", ln)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	var copied int
	var fail error
	err = raw.Control(func(fd uintptr) {
		syscall.ForkLock.RLock() // no child is started before it is marked
		defer syscall.ForkLock.RUnlock()
		if copied, fail = syscall.Dup(int(fd)); fail == nil {
			syscall.CloseOnExec(copied)
		}
	})
	if err == nil {
		err = os.NewSyscallError("dup", fail)
	}
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(copied), ln.Addr().String()), nil
}

// closeSocket gives an address up for good.
func (d *Daemon) closeSocket(a Address) {
	ln := d.sockets[a]
	if u, ok := ln.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(true)
	}
	_ = ln.Close()
	delete(d.sockets, a)
}

func (d *Daemon) closeSockets() {
	for _, ln := range d.sockets {
		_ = ln.Close()
	}
}

// now is the daemon's monotonic time.
func (d *Daemon) now() time.Duration { return time.Since(d.base) }

// do has f run on Run's goroutine, and waits. It reports false where the daemon has ended.
func (d *Daemon) do(f func()) bool {
	ran := make(chan struct{})
	select {
	case d.calls <- func() { f(); close(ran) }:
	case <-d.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-d.done:
		return false
	}
}

// later has f run on Run's goroutine, without waiting.
func (d *Daemon) later(f func()) {
	select {
	case d.calls <- f:
	case <-d.done:
	}
}

// ErrHandedOver says that a successor serves.
var ErrHandedOver = errors.New("handed over")

// Run serves until stop ends, or until a successor has taken over; then everything taken is
// answered.
func (d *Daemon) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = ctx
	admin := d.serveAdmin(d.sockets[d.cfg.Admin])
	d.follow(d.cfg)
	var names []string
	for _, i := range d.cfg.Instances {
		d.parts[i.Name] = &part{spec: i}
		names = append(names, i.Name)
	}
	for _, n := range names {
		d.start(n)
	}
	d.others.Go(func() { d.awaitReady(ctx) })
	d.others.Go(func() { d.store.run(ctx) })
	save := time.NewTicker(saveEvery)
	defer save.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	handed := false
	for !handed && stop.Err() == nil {
		if at, any := d.sup.NextAt(); any {
			wake.Reset(max(0, at-d.now()))
		} else {
			wake.Stop()
		}
		select {
		case f := <-d.calls:
			f()
		case <-wake.C:
			d.supervise()
		case <-save.C:
			d.save()
		case <-stop.Done():
		}
		handed = d.handing && d.o.Upgrade == nil
	}
	d.log.Info("stopping", "handed_over", handed)
	if !handed {
		d.save()
	}
	for _, p := range d.parts {
		if p.end != nil {
			p.end()
		}
	}
	for _, ln := range d.sockets { // a successor has copies
		if u, ok := ln.(*net.UnixListener); ok && !handed {
			u.SetUnlinkOnClose(true)
		}
		_ = ln.Close()
	}
	drained := make(chan struct{})
	go func() { d.running.Wait(); close(drained) }()
	for ended := false; !ended; {
		select {
		case f := <-d.calls: // instances tell of their ends, an operator asks how it goes
			f()
		case <-drained:
			ended = true
		}
	}
	cancel()
	for _, h := range d.hubs {
		h.end()
	}
	close(d.done)
	answering, enough := context.WithTimeout(context.Background(), time.Second)
	_ = admin.Shutdown(answering) // who asked for the handover is told that it worked
	enough()
	_ = admin.Close()
	ended := make(chan struct{})
	go func() { d.others.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(3 * time.Second): // everything is answered: nothing else may keep the process
		d.log.Warn("ending though not all of the daemon's own work has ended")
	}
	d.log.Info("stopped")
	if handed {
		return ErrHandedOver
	}
	return nil
}

// awaitReady calls Ready once each hub has a list and each instance that runs has heard it.
func (d *Daemon) awaitReady(ctx context.Context) {
	limit := time.After(readyWait)
	var hubs []*hub
	d.do(func() {
		for _, h := range d.hubs {
			hubs = append(hubs, h)
		}
	})
	for _, h := range hubs {
		select {
		case <-h.Told():
		case <-limit:
			d.log.Warn("no list yet; instances refuse until there is one", "list", h.source.List)
		case <-ctx.Done():
			return
		}
	}
	look := time.NewTicker(2 * time.Millisecond)
	defer look.Stop()
	for heard := false; !heard; {
		d.do(func() {
			heard = true
			for _, p := range d.parts {
				told := d.hubs[p.spec.Source].Snapshot()
				heard = heard && (p.agent == nil || p.agent.Ready() || told == nil || len(told.Servers) == 0)
			}
		})
		select {
		case <-look.C:
		case <-limit:
			heard = true
		case <-ctx.Done():
			return
		}
	}
	if d.o.Ready != nil {
		d.o.Ready()
	}
}

// follow sees to a hub for each source of a configuration, and to none besides. Instances move by
// themselves afterwards.
func (d *Daemon) follow(cfg *Config) (dropped []*hub) {
	for name, s := range cfg.Sources {
		old := d.hubs[name]
		if old != nil && reflect.DeepEqual(old.source, s) {
			continue
		}
		h := &hub{source: s}
		options := catalog.HubOptions{Addr: s.List, Spread: s.Spread, First: s.First,
			ConnectTimeout: cfg.Instances[0].Agent.Settings.ConnectTimeout, Log: d.log,
			Urgent: func() { go d.later(d.save) }}
		h.Hub = catalog.NewHub(options)
		saved := d.given[s.Key()]
		if old != nil {
			dropped = append(dropped, old)
			// What the old list said goes on to hold until the new one is heard.
			saved = old.Snapshot()
		}
		if saved != nil {
			h.Give(saved)
		}
		ctx, end := context.WithCancel(context.Background())
		h.end = end
		if s.Records() {
			var list *catalog.Hub
			if s.List != "" {
				options.Spread, options.Urgent = 0, nil // the merged list is spread, not its parts
				list = catalog.NewHub(options)
			}
			m := NewMerger(s, h.Hub, saved, d.log, nil)
			d.others.Go(func() { m.Run(ctx, list) })
		} else {
			d.others.Go(func() { h.Run(ctx) })
		}
		d.hubs[name] = h
	}
	for name, h := range d.hubs {
		if _, ok := cfg.Sources[name]; !ok {
			dropped = append(dropped, h)
			delete(d.hubs, name)
		}
	}
	return dropped
}

// start runs a copy of an instance. What fails is the supervisor's.
func (d *Daemon) start(name string) {
	p := d.parts[name]
	if p == nil {
		return
	}
	if err := d.launch(p); err != nil {
		d.log.Error("instance not started", "instance", name, "error", err)
		d.carryOut(d.sup.Step(d.now(), supervise.Failed{Name: name, Reason: err.Error()}))
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
	log, parts := d.log.With("instance", p.spec.Name), core.Parts{Listener: ln, Hub: d.hubs[p.spec.Source].Hub, NoLateConnections: true, ListWait: readyWait}
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
			a.Inject(f)
		}
	}
	ctx, end := context.WithCancel(context.Background())
	p.agent, p.end = a, end
	p.life++
	life, name := p.life, p.spec.Name
	d.running.Go(func() {
		err := a.Run(ctx)
		ended := ctx.Err() != nil // it was told to
		end()
		d.later(func() { d.ended(name, life, a, err, ended) })
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
	d.carryOut(d.sup.Step(d.now(), supervise.Failed{Name: name, Reason: err.Error()}))
}

func (d *Daemon) supervise() { d.carryOut(d.sup.Step(d.now())) }

func (d *Daemon) carryOut(actions []supervise.Action) {
	for _, a := range actions {
		switch {
		case a.LeaveDown:
			d.log.Error("instance left down: it keeps failing", "instance", a.Name, "error", a.Reason)
			// Clients are refused a connection rather than kept waiting for one.
			if p := d.parts[a.Name]; p != nil && d.sockets[p.spec.Listen] != nil {
				d.closeSocket(p.spec.Listen)
			}
		case a.Start:
			d.start(a.Name)
		}
	}
}

// ReloadResult says what a change did.
type ReloadResult struct {
	Added     int `json:"added"`
	Removed   int `json:"removed"`
	Replaced  int `json:"replaced"`
	Moved     int `json:"moved"` // follow another list, and go on
	Unchanged int `json:"unchanged"`
	Revived   int `json:"revived"` // were left down, and are tried again
}

// Reload reads the file again and changes what differs. If it makes no sense, or an address can't
// be had, nothing changes.
func (d *Daemon) Reload() (r ReloadResult, err error) {
	cfg, err := Load(d.cfg.Path)
	if err != nil {
		return r, err
	}
	if !d.do(func() { r, err = d.apply(cfg) }) {
		return r, errors.New("the daemon is stopping")
	}
	return r, err
}

func (d *Daemon) apply(cfg *Config) (r ReloadResult, err error) {
	if d.handing {
		return r, errors.New("a successor is being started: it reads the file itself")
	}
	if cfg.Admin != d.cfg.Admin || cfg.StateDir != d.cfg.StateDir {
		return r, fmt.Errorf("%s: admin and state_dir can't change in a running daemon: hand over instead", cfg.Path)
	}
	if _, err := d.listen(cfg); err != nil {
		return r, err
	}
	old := d.cfg
	d.cfg = cfg
	d.reloads++
	dropped := d.follow(cfg)
	keep := map[string]bool{}
	for _, spec := range cfg.Instances {
		keep[spec.Name] = true
		p := d.parts[spec.Name]
		switch {
		case p == nil:
			r.Added++
			d.parts[spec.Name] = &part{spec: spec}
			d.start(spec.Name)
		case !p.spec.same(spec):
			// The new copy accepts before the old one ends: both have the socket, or each its own.
			r.Replaced++
			end, a := p.end, p.agent
			p.spec = spec
			if a != nil {
				p.past = sum(p.past, a.Totals())
			}
			d.sup.Step(d.now(), supervise.Removed{Name: spec.Name})
			d.start(spec.Name)
			if end != nil {
				end()
			}
		default:
			moved := d.hubs[spec.Source].Hub != nil && (p.spec.Source != spec.Source || slices.ContainsFunc(dropped, func(h *hub) bool {
				return reflect.DeepEqual(old.Sources[p.spec.Source], h.source) && !reflect.DeepEqual(cfg.Sources[spec.Source], h.source)
			}))
			p.spec = spec
			switch st := d.sup.State(spec.Name); {
			case st.Down:
				r.Revived++
				d.carryOut(d.sup.Step(d.now(), supervise.Revived{Name: spec.Name}))
			case moved:
				r.Moved++
				if p.agent != nil {
					p.agent.Follow(d.hubs[spec.Source].Hub)
				}
			default:
				r.Unchanged++
			}
		}
	}
	for name, p := range d.parts {
		if keep[name] {
			continue
		}
		r.Removed++
		if p.end != nil {
			p.end() // everything taken is answered
		}
		d.sup.Step(d.now(), supervise.Removed{Name: name})
		delete(d.parts, name)
		delete(d.memory, name)
	}
	need := wanted(cfg)
	for a := range d.sockets {
		if !slices.Contains(need, a) {
			d.closeSocket(a)
		}
	}
	for _, h := range dropped {
		h.end()
	}
	d.log.Info("configuration applied", "added", r.Added, "removed", r.Removed, "replaced", r.Replaced, "moved", r.Moved,
		"unchanged", r.Unchanged, "revived", r.Revived)
	return r, nil
}

// Handover starts a successor that takes over the sockets, and ends this daemon once that one is
// ready. A successor that fails to get ready leaves this one serving.
func (d *Daemon) Handover(ctx context.Context) error {
	if d.o.Upgrade == nil {
		return errors.New("this daemon can't hand over")
	}
	files := map[Address]*os.File{}
	defer func() {
		for _, f := range files {
			_ = f.Close()
		}
	}()
	var state []byte
	var err error
	if !d.do(func() {
		if d.handing {
			err = errors.New("a successor is being started already")
			return
		}
		for a, ln := range d.sockets {
			if files[a], err = fileOf(ln); err != nil {
				return
			}
		}
		if state, err = laststate.Encode(d.state()); err == nil {
			d.handing = true
		}
	}) {
		return errors.New("the daemon is stopping")
	}
	if err != nil {
		return err
	}
	err = d.o.Upgrade(ctx, files, state)
	d.do(func() {
		if err != nil {
			d.handing = false
			d.log.Error("handover failed: this daemon goes on", "error", err)
			return
		}
		d.log.Info("a successor is ready")
		d.o.Upgrade = nil // Run sees that it is over
	})
	return err
}

func sum(a, b core.Totals) core.Totals {
	a.Requests += b.Requests
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.Gone += b.Gone
	a.Attempts += b.Attempts
	a.Late += b.Late
	return a
}
