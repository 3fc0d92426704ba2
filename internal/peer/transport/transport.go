// Package transport is the sockets under a daemon's view of its fleet: a UDP socket for datagrams, a TCP listener for
// exchanges, the file of the last view, timers. It believes little of what comes in, decides nothing, and turns each
// thing that happens into one event. One goroutine owns the view; nothing that serves clients ever waits for it.
package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

// Options are what a member is started with.
type Options struct {
	Fleet       string
	Membership  membership.Settings // but for boot, life and what is known: the carrier sees to these
	UDP         *net.UDPConn        // both are the carrier's from now on, and closed at its end
	TCP         *net.TCPListener
	Dir         string // where the last view is kept; empty: nowhere
	Saved       *Saved // from the process before, which this one replaces; nil: the file is read
	Log         *slog.Logger
	Events      io.Writer             // lines of what changed, for drills; nil: none
	SizeChanged func(membership.Size) // the head count has changed; must not wait
	Inject      func()                // a test's: called in each step
	WallSkew    time.Duration         // a drill's: the wall clock is off by so much
	Leases      *lease.Settings       // shared by the fleet; nil: none
	Previous    *Transport            // of this process, which has ended: what it held and lent is this one's now; nil: none
	Ejection    *ejection.Settings    // what members know of servers is shared; but for name and life; nil: it is not
	// EjectionsChanged gives the verdicts that hold from now on, in place of the last ones. It must not wait.
	EjectionsChanged func(all []ejection.Ejection, base time.Time)
	NewPolicyDriver  func(life uint64) *PolicyDriver // on the fleet's policy, for a member's life; nil: there is none
	PolicyDriver     *PolicyDriver                   // it, from the carrier before, if the member goes on with its life; nil: Agree makes one
	// LeasesGranted gives an agent rights, which it may use until what Until says after base. It must not wait.
	LeasesGranted func(agent uint32, all []quota.Lease, base time.Time)
}

// Transport is one member of a fleet, on its sockets.
type Transport struct {
	o      Options
	log    *slog.Logger
	v      *membership.View
	base   time.Time
	events *events
	disk   *disk

	inbox    chan input
	calls    chan func()
	done     chan struct{}
	streams  chan struct{} // places
	next     uint64        // stream
	replies  map[uint64]chan *membership.Exchange
	opened   map[uint64]chan *membership.Exchange
	frozen   atomic.Bool
	mu       sync.Mutex
	thaw     chan struct{} // closed when it is no longer frozen; under mu
	failed   chan error    // a panic beside the loop
	left     chan struct{} // closed once it has said that it goes
	sharing  *sharing
	judging  *judging
	agreeing *agreeing
	self     membership.LocalInfo // as it was last told

	dropped, odd, huge, foreign, damaged, formats atomic.Uint64
	datagrams, written                            atomic.Uint64 // of the view and of what is shared: how many were written, and their bytes
}

// input is an event, and where the answer to an Asked goes.
type input struct {
	event  membership.Event
	reply  chan *membership.Exchange
	shared any // in place of an event: what concerns limits
}

const (
	inboxMost   = 512
	streamsMost = 16 // open at a time, each way together
	streamTime  = 3 * time.Second
	batchMost   = 64 // events of one step
	callWithin  = 2 * time.Second
)

// New makes a member ready. Its boot is a new one, on the disk if that can be had soon, unless it replaces a process.
func New(o Options) (*Transport, error) {
	if !membership.ValidFleet(o.Fleet) {
		return nil, fmt.Errorf("fleet %q: 1 to 32 printable characters without spaces are allowed", o.Fleet)
	}
	c := &Transport{o: o, log: o.Log, base: time.Now(), inbox: make(chan input, inboxMost), calls: make(chan func(), 16), done: make(chan struct{}),
		streams: make(chan struct{}, streamsMost), replies: map[uint64]chan *membership.Exchange{}, opened: map[uint64]chan *membership.Exchange{},
		left: make(chan struct{}), thaw: make(chan struct{}), failed: make(chan error, 1)}
	c.disk = newDisk(o.Dir, o.Log)
	s := &c.o.Membership
	saved := o.Saved
	if saved != nil && saved.TakesOver {
		s.TakesOver, s.Boot, s.RunID, s.Incarnation, s.DatagramNumber, s.Uptime = true, saved.Boot, saved.RunID, saved.Incarnation+1, saved.DatagramNumber, time.Duration(saved.UptimeMS)*time.Millisecond
		s.KnownMembers = saved.Records
	} else {
		if saved == nil {
			saved = c.disk.read()
		}
		was := uint64(0)
		if saved != nil {
			was, s.KnownMembers = saved.Boot, saved.Records
		}
		s.Boot, s.RunID = membership.NextBootNumber(was, time.Now().Add(o.WallSkew).Unix()), rand.Uint64()|1
	}
	v, err := membership.New(*s, rand.Uint64())
	if err != nil {
		return nil, err
	}
	c.v, c.self = v, membership.LocalInfo{Instances: s.Instances, Balancers: s.Balancers}
	if o.Previous != nil {
		c.base = o.Previous.base // what it holds is by that clock
	}
	if c.sharing, err = newSharing(c, saved); err != nil {
		return nil, err
	}
	if c.judging, err = newJudging(c); err != nil {
		return nil, err
	}
	if c.o.PolicyDriver == nil && o.NewPolicyDriver != nil {
		c.o.PolicyDriver = o.NewPolicyDriver(s.RunID)
	}
	c.agreeing = newAgreeing(c)
	c.events = newEvents(o.Events, s.Name, os.Getpid())
	return c, nil
}

func (c *Transport) now() time.Duration { return time.Since(c.base) }

// Run is a member until ctx ends; it returns then, or with what went wrong. A panic in it is an error here and
// nobody else's.
func (c *Transport) Run(ctx context.Context) (err error) {
	stop, cancel := context.WithCancel(ctx)
	var others sync.WaitGroup
	stopped := make(chan struct{})
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
		cancel()
		_ = c.o.UDP.Close()
		_ = c.o.TCP.Close()
		close(c.done)
		close(stopped)
		others.Wait()
		c.events.close()
	}()
	others.Go(func() { c.disk.Run(stopped) })
	c.save(true)
	c.awaitBoot()
	own := c.v.Local()
	c.events.put(event{What: "start", Life: hex(own.RunID), Boot: own.Boot, Inc: own.Incarnation})
	c.beside(&others, func() { c.hear(stop) })
	c.beside(&others, func() { c.accept(stop, &others) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []membership.Event
		select {
		case <-ctx.Done():
			if !c.frozen.Load() { // else the process that follows has the file
				c.save(false)
			}
			return nil
		case err := <-c.failed:
			return err
		case f := <-c.calls:
			f()
		case i := <-c.inbox:
			batch = c.sort(batch, i)
		case <-timer.C:
		}
		for len(batch) < batchMost && len(c.inbox) > 0 {
			batch = c.sort(batch, <-c.inbox)
		}
		if c.frozen.Load() {
			timer.Stop()
			continue
		}
		if c.judging.untold {
			batch = append(batch, c.take(input{event: c.self}))
		}
		c.step(stop, &others, batch...)
		c.sharing.due(c.now())
		c.judging.due(c.now())
		c.agreeing.due(c.now())
		timer.Reset(max(0, min(c.v.Next(), c.sharing.next(), c.judging.next(), c.agreeing.next())-c.now()))
	}
}

// sort adds an event to those of the next step, or has what is shared taken at once.
func (c *Transport) sort(batch []membership.Event, i input) []membership.Event {
	if i.shared != nil {
		if !c.judging.take(c.now(), i.shared) && !c.agreeing.take(c.now(), i.shared) {
			c.sharing.take(c.now(), i.shared)
		}
		return batch
	}
	return append(batch, c.take(i))
}

// beside runs f in a goroutine that Run waits for. A panic in it ends the member, and nothing else.
func (c *Transport) beside(others *sync.WaitGroup, f func()) {
	others.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				select {
				case c.failed <- fmt.Errorf("panic: %v\n%s", p, debug.Stack()):
				default:
				}
			}
		}()
		f()
	})
}

// awaitBoot waits a little for the boot to be on the disk.
func (c *Transport) awaitBoot() {
	if c.o.Dir == "" || c.o.Membership.TakesOver {
		return
	}
	for limit := time.Now().Add(bootWithin); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		if !c.disk.Pending() {
			return
		}
	}
	c.log.Warn("the disk is slow: this start's number is announced before it is saved")
}

func (c *Transport) take(i input) membership.Event {
	switch e := i.event.(type) {
	case membership.ExchangeRequest:
		c.next++
		e.Stream = c.next
		c.replies[e.Stream] = i.reply
		return e
	case membership.ExchangeFailed:
		delete(c.opened, e.ID)
	case membership.LocalInfo:
		e.Metadata = c.judging.note
		c.self, c.judging.untold = e, false
		return e
	}
	return i.event
}

// step steps the view, and does what it wants done.
func (c *Transport) step(ctx context.Context, others *sync.WaitGroup, batch ...membership.Event) {
	if c.o.Inject != nil {
		c.o.Inject()
	}
	for _, e := range batch {
		if _, ok := e.(membership.Leave); ok { // before the view says so to others: what they write of it is later
			c.events.put(event{What: "leave"})
		}
	}
	for _, a := range c.v.Step(c.now(), batch...) {
		switch a := a.(type) {
		case membership.Send:
			c.send(a)
		case membership.OpenExchange:
			finish := make(chan *membership.Exchange, 1)
			c.opened[a.ID] = finish
			c.beside(others, func() { c.ask(ctx, a, finish) })
		case membership.ExchangeReply:
			if r := c.replies[a.Stream]; r != nil {
				delete(c.replies, a.Stream)
				r <- a.Message // it has room for one
			}
		case membership.FinishExchange:
			if f := c.opened[a.ID]; f != nil {
				delete(c.opened, a.ID)
				f <- a.Message
			}
		case membership.SaveView:
			c.save(a.BootOnly)
		case membership.SizeChanged:
			c.events.did(a)
			if c.o.SizeChanged != nil {
				c.o.SizeChanged(a.Size)
			}
		default:
			c.judging.stale = true
			c.events.did(a)
			c.say(a)
		}
	}
	for _, e := range batch {
		if e, ok := e.(membership.ExchangeResponse); ok && c.opened[e.ID] != nil { // it came too late, or there is nothing to add
			c.opened[e.ID] <- nil
			delete(c.opened, e.ID)
		}
	}
	if c.v.HasLeft() {
		select {
		case <-c.left:
		default:
			close(c.left)
		}
	}
}

// say logs what an operator would know: changes, each once.
func (c *Transport) say(a membership.Action) {
	switch a := a.(type) {
	case membership.RegionReachability:
		if a.Unreachable {
			c.log.Warn("fleet: region "+strconv.Quote(a.Region)+" is not reached; nothing of its members is known until it is", "members", a.Members)
		} else {
			c.log.Info("fleet: region "+strconv.Quote(a.Region)+" is reached again", "members", a.Members)
		}
	case membership.Isolated:
		if a.Ended {
			c.log.Info("fleet: others are heard again", "members", a.Members)
		} else {
			c.log.Warn("fleet: nobody is heard any more; this process serves on, and all others count as silent", "members", a.Members)
		}
	case membership.MemberChanged:
		r := &a.Record
		switch {
		case a.Reason == membership.ReasonRegionUnreachable, a.Reason == membership.ReasonRegionReachable: // said in one line for all of them
		case r.State == membership.Suspect, r.State == membership.Alive && a.Previous == membership.Suspect && !a.FirstSeen:
		default:
			c.log.Info("fleet: "+r.Name+" is "+r.State.String(), "addr", r.Addr, "zone", r.Zone, "was", a.Previous.String(), "by", r.Reporter, "why", a.Reason)
		}
	case membership.NameConflict:
		if a.Yield {
			c.log.Error("fleet: another process has this name; this one stands back, and serves on without the fleet", "name", c.o.Membership.Name, "other", a.Other.Addr, "why", a.Reason)
		} else {
			c.log.Warn("fleet: another process had this name, and lost it", "name", c.o.Membership.Name, "other", a.Other.Addr, "why", a.Reason)
		}
	case membership.SelfSuspected:
		c.log.Warn("fleet: this process was paused or starved", "for", a.Pause.Round(time.Millisecond), "health", a.Health)
	}
}

func (c *Transport) send(s membership.Send) {
	to, err := netip.ParseAddrPort(s.To)
	if err != nil {
		return
	}
	data, err := encode(c.o.Fleet, s.Message)
	if err != nil {
		return
	}
	c.datagrams.Add(1)
	c.written.Add(uint64(len(data)))
	_, _ = c.o.UDP.WriteToUDPAddrPort(data, to) // what is lost is lost: the protocol is made for it
}

// Sent is how many datagrams of the view, limits and verdicts this member has written, and their bytes.
func (c *Transport) Sent() (datagrams, bytes uint64) { return c.datagrams.Load(), c.written.Load() }

// save hands what is known to the disk. The boot alone goes with what was known when the process started.
func (c *Transport) save(boot bool) {
	s := c.saved()
	if boot && !c.o.Membership.TakesOver && len(s.Records) <= 1 {
		s.Records = append(s.Records, c.o.Membership.KnownMembers...)
	}
	c.disk.put(s)
}

func (c *Transport) saved() *Saved {
	return &Saved{Boot: c.v.Local().Boot, Records: c.v.Records(), SavedMS: time.Now().UnixMilli()}
}

// hear reads datagrams until the socket is closed.
func (c *Transport) hear(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := c.o.UDP.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			c.wait(ctx, time.Millisecond) // such as no memory: it passes
			continue
		}
		if n > datagram {
			c.refuse(ErrTooLarge)
			continue
		}
		if formOf(buf[:n]) == sharedForm {
			p := &packet{}
			if err := openAs(sharedForm, c.o.Fleet, buf[:n], p); err != nil {
				c.refuse(err)
				continue
			}
			c.share(p)
			continue
		}
		if formOf(buf[:n]) == policyForm {
			_ = c.heardPolicy(buf[:n])
			continue
		}
		m := &membership.Message{}
		if err := decode(c.o.Fleet, buf[:n], m); err != nil {
			c.refuse(err)
			continue
		}
		select {
		case c.inbox <- input{event: membership.DatagramReceived{Message: m, Size: n}}:
		default:
			c.dropped.Add(1)
		}
	}
}

// wait waits a little after an error, or, while another process has the sockets, until this one has them again.
func (c *Transport) wait(ctx context.Context, d time.Duration) {
	if c.frozen.Load() {
		c.mu.Lock()
		thaw := c.thaw
		c.mu.Unlock()
		select {
		case <-thaw:
		case <-ctx.Done():
		}
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// refuse counts what was not taken, and says it once a minute for each reason.
func (c *Transport) refuse(err error) {
	count := &c.odd
	for _, k := range []struct {
		err error
		n   *atomic.Uint64
	}{{ErrTooLarge, &c.huge}, {ErrOtherFleet, &c.foreign}, {ErrDamaged, &c.damaged}, {ErrUnknownFormat, &c.formats}} {
		if errors.Is(err, k.err) {
			count = k.n
		}
	}
	if n := count.Add(1); n == 1 || n%1000 == 0 {
		c.log.Warn("fleet: a message was not taken", "why", err, "so_far", n)
	}
}

// post hands an event to the loop, without waiting long.
func (c *Transport) post(i input) bool {
	t := time.NewTimer(streamTime)
	defer t.Stop()
	select {
	case c.inbox <- i:
		return true
	case <-c.done:
	case <-t.C:
	}
	return false
}

// place takes one of the places for streams.
func (c *Transport) place() bool {
	select {
	case c.streams <- struct{}{}:
		return true
	default:
		return false
	}
}

// accept answers exchanges that others open.
func (c *Transport) accept(ctx context.Context, others *sync.WaitGroup) {
	for {
		conn, err := c.o.TCP.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			c.wait(ctx, 10*time.Millisecond)
			continue
		}
		if !c.place() { // it tries another
			_ = conn.Close()
			continue
		}
		c.beside(others, func() {
			defer func() { <-c.streams }()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			if err := c.answer(conn); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
				c.odd.Add(1)
			}
		})
	}
}

func (c *Transport) answer(conn *net.TCPConn) error {
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	data, err := readRaw(conn)
	if err != nil {
		c.refuse(err)
		return err
	}
	if formOf(data) == policyForm {
		return c.heardPolicy(data)
	}
	asked := &membership.Exchange{}
	if err := decode(c.o.Fleet, data, asked); err != nil {
		c.refuse(err)
		return err
	}
	reply := make(chan *membership.Exchange, 1)
	if !c.post(input{event: membership.ExchangeRequest{Message: asked}, reply: reply}) {
		return nil
	}
	t := time.NewTimer(streamTime)
	defer t.Stop()
	select {
	case x := <-reply:
		if x == nil {
			return nil
		}
		if err := writeFrame(conn, c.o.Fleet, x); err != nil {
			return err
		}
	case <-t.C:
		return nil
	case <-c.done:
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	last, err := readFrame(conn, c.o.Fleet)
	if err != nil {
		return err
	}
	c.post(input{event: membership.ExchangeClosed{Message: last}})
	return nil
}

// ask opens an exchange. Whatever becomes of it, the loop hears of it once.
func (c *Transport) ask(ctx context.Context, o membership.OpenExchange, finish chan *membership.Exchange) {
	answer, conn, err := c.question(ctx, o)
	if conn != nil {
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	}
	if err != nil {
		c.post(input{event: membership.ExchangeFailed{ID: o.ID}})
		return
	}
	if !c.post(input{event: membership.ExchangeResponse{ID: o.ID, Message: answer}}) {
		return
	}
	t := time.NewTimer(streamTime)
	defer t.Stop()
	select {
	case x := <-finish:
		if x != nil {
			_ = conn.SetDeadline(time.Now().Add(streamTime))
			_ = writeFrame(conn, c.o.Fleet, x)
		}
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c *Transport) question(ctx context.Context, o membership.OpenExchange) (*membership.Exchange, net.Conn, error) {
	// From the address that it listens on: its datagrams come from there too.
	from := *c.o.TCP.Addr().(*net.TCPAddr)
	from.Port = 0
	dialer := net.Dialer{Timeout: streamTime / 2, LocalAddr: &from, KeepAlive: -1}
	if from.IP.IsUnspecified() {
		dialer.LocalAddr = nil
	}
	conn, err := dialer.DialContext(ctx, "tcp", o.To)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(streamTime))
	if err := writeFrame(conn, c.o.Fleet, o.Message); err != nil {
		return nil, conn, err
	}
	x, err := readFrame(conn, c.o.Fleet)
	if err != nil && (errors.Is(err, ErrOtherFleet) || errors.Is(err, ErrUnknownFormat)) {
		c.refuse(err)
	}
	return x, conn, err
}

// do has f run on the loop, and waits, but not for long. It reports false where it did not run.
func (c *Transport) do(f func()) bool {
	ran := make(chan struct{})
	t := time.NewTimer(callWithin)
	defer t.Stop()
	select {
	case c.calls <- func() { f(); close(ran) }:
	case <-c.done:
		return false
	case <-t.C:
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.done:
		return false
	case <-t.C:
		return false
	}
}

// SetLocalInfo changes what this member says of itself. It does not wait.
func (c *Transport) SetLocalInfo(s membership.LocalInfo) {
	select {
	case c.inbox <- input{event: s}:
	default: // full: what is told next says it again
		c.dropped.Add(1)
	}
}

// Leave says to the others that this member goes, and waits a moment for that.
func (c *Transport) Leave(within time.Duration) {
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case c.inbox <- input{event: membership.Leave{}}:
	case <-t.C:
		return
	case <-c.done:
		return
	}
	select {
	case <-c.left:
	case <-t.C:
	case <-c.done:
	}
}

// Forget passes on an operator's word that a dead member has gone for good. It reports what that member's state
// was, and whether it is known.
func (c *Transport) Forget(name string) (was membership.State, known bool) {
	c.do(func() {
		for _, r := range c.v.Members() {
			if r.Name == name {
				was, known = r.State, true
			}
		}
	})
	if known && was == membership.Dead {
		c.post(input{event: membership.ForgetMember{Name: name}})
	}
	return was, known
}

// Freeze has it do nothing more, since a process is about to take its place, and is what that one goes on from; nil
// where it can't be had.
func (c *Transport) Freeze() *Saved {
	var s *Saved
	c.do(func() {
		c.frozen.Store(true)
		past := time.Unix(1, 0) // who reads or accepts stops: what comes from now on is the other process's
		_ = c.o.UDP.SetReadDeadline(past)
		_ = c.o.TCP.SetDeadline(past)
		s = c.saved()
		own := c.v.Local()
		s.TakesOver, s.RunID, s.Incarnation, s.DatagramNumber, s.UptimeMS = true, own.RunID, own.Incarnation, c.v.DatagramNumber(), c.v.Uptime().Milliseconds()
		s.Leases = c.sharing.state(c.now())
		s.Policy, s.PolicyNanos = c.agreeing.handed(), MonotonicNanos()
	})
	return s
}

// Thaw has it go on: that process did not come up.
func (c *Transport) Thaw() {
	c.do(func() {
		if c.frozen.Swap(false) {
			_ = c.o.UDP.SetReadDeadline(time.Time{})
			_ = c.o.TCP.SetDeadline(time.Time{})
			c.mu.Lock()
			close(c.thaw)
			c.thaw = make(chan struct{})
			c.mu.Unlock()
		}
	})
	c.post(input{event: membership.TookOver{}})
}
