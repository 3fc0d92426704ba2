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

// handoverGrace is how long this process admits requests after its successor is ready: those that arrive on
// connections that it still has. During this time it receives no policy changes.
const handoverGrace = time.Second

// policyReopenInterval is the interval between attempts to open the policy's file while another process has it open.
const policyReopenInterval = time.Second

// Errors of a handover.
var (
	// ErrHandedOver is returned by Run if a successor serves.
	ErrHandedOver = errors.New("handed over")

	errStopping      = errors.New("the daemon is stopping")
	errNoHandover    = errors.New("this daemon can't hand over")
	errHandoverBegun = errors.New("a successor is being started already")
)

// Handover starts a successor that takes over the sockets, and ends this daemon once the successor is ready. If the
// successor fails to become ready, this daemon goes on serving. The steps:
//
//  1. Policy switches are postponed. Reloads wait until the handover ends, and the process that serves then applies them.
//  2. The transport is frozen: it sends nothing from here on. policy.db is closed.
//  3. The sockets are duplicated, and the state is encoded.
//  4. The successor is started with a pipe, the state and the sockets. It accepts connections before it is ready.
//  5. This daemon waits for the successor's byte on the pipe, at most for ReadyTimeout.
//  6. This daemon drains and ends. Under a policy it admits requests for a second more.
//
// If step 4 or 5 fails, the successor is killed and the connections that it has accepted are lost. Then policy.db is
// opened again, the transport is thawed, and this daemon goes on serving.
func (d *Daemon) Handover(ctx context.Context) error {
	if d.options.StartSuccessor == nil {
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
	if err := d.options.StartSuccessor(ctx, files, state); err != nil {
		d.log.Error("handover failed: this daemon goes on", "error", err)
		d.abortHandover(p)
		return err
	}
	d.call(d.completeHandover)
	return nil
}

// beginHandover returns the daemon's peering, which may be nil. From here on the configuration does not change. A
// daemon that is stopped now waits until background.Done is called, so that it ends after the successor that it
// kills.
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

// freezePeering makes the peering send no further messages, closes the policy's file, and returns the state from which
// the successor continues as the same member.
func (d *Daemon) freezePeering(p *peering) (saved []byte, err error) {
	if p == nil {
		return nil, nil
	}
	if frozen := p.transport.Suspend(); frozen != nil {
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

// abortHandover makes this daemon continue to serve after the successor failed to become ready.
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
		d.startPeering(nil, 0) // has an effect only if the peering failed during the handover
	})
	if p != nil {
		p.transport.Resume()
	}
}

// reopenPolicy opens the policy's file again. It retries until it succeeds, since another process may still have the
// file open. Until then a voter's writes fail and are repeated.
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

// completeHandover makes Run end, since the successor serves.
func (d *Daemon) completeHandover() {
	d.log.Info("the successor is ready; this daemon drains and ends")
	d.successorServes.Store(true)
	close(d.handoverEnded)
	if d.cfg.Policy != nil {
		d.rangeAgents(func(h agentHandle) {
			d.replaced.Store(h.agent, true)
			h.agent.ShortenAdmission(time.Now().Add(handoverGrace), reasonPolicySwitched)
		})
	}
	d.options.StartSuccessor = nil // ends Run's loop
}

func closeFiles(files map[daemonconfig.Address]*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}
