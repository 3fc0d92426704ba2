package daemon

import (
	"context"
	"errors"
	"os"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/policystore"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/peer/transport"
)

// handoverGrace is how long this process admits requests after its successor is ready: those that come on connections that it
// still has. It learns of no other policy meanwhile.
const handoverGrace = time.Second

// policyReopenInterval is after which the policy's file is tried again that another process has.
const policyReopenInterval = time.Second

// Errors of a handover.
var (
	// ErrHandedOver says that a successor serves.
	ErrHandedOver = errors.New("handed over")

	errStopping      = errors.New("the daemon is stopping")
	errNoHandover    = errors.New("this daemon can't hand over")
	errHandoverBegun = errors.New("a successor is being started already")
)

// Handover starts a successor that takes over the sockets, and ends this daemon once that one is ready. A successor that
// fails to get ready leaves this one serving. The steps:
//
//  1. Policy switches are held off. Reloads wait for the end, and are applied by whichever process serves then.
//  2. The transport is frozen: it is silent from here on. policy.db is closed.
//  3. The sockets are duplicated, and the state is encoded.
//  4. The successor is started with a pipe, the state and the sockets. It accepts connections before it is ready.
//  5. This one waits for its byte on the pipe, ReadyWithin at most.
//  6. This one drains, and ends. Under a policy it admits requests for a second more.
//
// If step 4 or 5 fails, the successor is killed, with the connections that it has accepted, policy.db is opened again, the
// transport thaws, and this daemon goes on.
func (d *Daemon) Handover(ctx context.Context) error {
	if d.options.Upgrade == nil {
		return errNoHandover
	}
	p, err := d.beginHandover()
	if err != nil {
		return err
	}
	defer d.background.Done()
	files := map[daemonconfig.Address]*os.File{}
	defer closeFiles(files)
	saved, err := d.freezePeering(p)
	var state []byte
	if err == nil && !d.call(func() { state, err = d.handoverState(files, saved) }) {
		return errStopping
	}
	if err != nil {
		d.abortHandover(p)
		return err
	}
	if err := d.options.Upgrade(ctx, files, state); err != nil {
		d.log.Error("handover failed: this daemon goes on", "error", err)
		d.abortHandover(p)
		return err
	}
	d.call(d.completeHandover)
	return nil
}

// beginHandover returns the daemon's part in its fleet, which may be nil. From here on the configuration does not change, and
// a daemon that is stopped waits until background.Done is called: it ends after the successor that it has killed.
func (d *Daemon) beginHandover() (p *peering, err error) {
	running := d.call(func() {
		switch {
		case d.stopping:
			err = errStopping
			return
		case d.handingOver:
			err = errHandoverBegun
			return
		}
		d.handingOver = true
		d.handoverEnded = make(chan struct{})
		d.background.Add(1)
		p = d.peering
	})
	if !running {
		return nil, errStopping
	}
	return p, err
}

// freezePeering has the daemon's part in its fleet send nothing more, and returns what the successor goes on from as the same
// member.
func (d *Daemon) freezePeering(p *peering) (saved []byte, err error) {
	if p == nil {
		return nil, nil
	}
	if frozen := p.transport.Freeze(); frozen != nil {
		saved, err = transport.EncodeSaved(frozen)
	}
	if store := d.policy.store; store != nil {
		store.Close()
	}
	return saved, err
}

// handoverState copies the sockets into files, and returns the snapshot for the successor.
func (d *Daemon) handoverState(files map[daemonconfig.Address]*os.File, peers []byte) ([]byte, error) {
	for address, listener := range d.listeners {
		file, err := fileOf(listener, address.String())
		if err != nil {
			return nil, err
		}
		files[address] = file
	}
	for address, conn := range d.packetConns {
		file, err := fileOf(conn, address)
		if err != nil {
			return nil, err
		}
		files[daemonconfig.Address{Network: "udp", Addr: address}] = file
	}
	s := d.snapshot()
	s.Peers = peers
	return snapshot.Encode(s)
}

// abortHandover has this daemon go on: the successor did not come up.
func (d *Daemon) abortHandover(p *peering) {
	d.call(func() {
		d.handingOver = false
		close(d.handoverEnded)
		d.handoverEnded = nil
		if store := d.policy.store; store != nil {
			closes := store.Closes()
			d.background.Go(func() { d.reopenPolicy(store, closes) })
		}
		d.scheduleSwitch()
		d.startPeering(nil, 0) // if it failed meanwhile
	})
	if p != nil {
		p.transport.Thaw()
	}
}

// reopenPolicy opens the policy's file again, and tries until it can: another process may still have it. Until then a voter's
// writes fail, and are repeated.
func (d *Daemon) reopenPolicy(store *policystore.Store, closes int) {
	for failed := false; ; failed = true {
		err := store.Reopen(closes)
		if err == nil {
			return
		}
		if !failed {
			d.log.Error("the policy's file can't be opened again yet; it is tried until it can", "error", err)
		}
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(policyReopenInterval):
		}
	}
}

// completeHandover has Run end: the successor serves.
func (d *Daemon) completeHandover() {
	d.log.Info("a successor is ready")
	d.successorServes.Store(true)
	close(d.handoverEnded)
	if d.cfg.Policy != nil {
		d.rangeAgents(func(h agentHandle) {
			d.replaced.Store(h.agent, true)
			h.agent.ShortenAdmission(time.Now().Add(handoverGrace), reasonPolicySwitched)
		})
	}
	d.options.Upgrade = nil // Run's loop sees that it is over
}

func closeFiles(files map[daemonconfig.Address]*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}
