package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"vetchhaven/internal/core"
)

const (
	// readyTimeout is how long a start waits for lists. The list service may be down; the daemon then serves from the
	// saved list, if it has one. A longer timeout delays a restart of the daemon while the list service is down.
	readyTimeout = 5 * time.Second
	// readyPollInterval is how often a start checks whether the instances have their lists.
	readyPollInterval = 2 * time.Millisecond
	// adminShutdownTimeout is how long open admin requests may take when the daemon ends, so that an operator who
	// requested a handover learns that it succeeded.
	adminShutdownTimeout = time.Second
	// backgroundTimeout is how long other goroutines may take when the daemon ends. All requests are answered by then.
	backgroundTimeout = 3 * time.Second
)

// Run serves until stop ends or a successor has taken over, and returns after everything that was admitted is
// answered. It returns ErrHandedOver if there is a successor.
func (d *Daemon) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	admin := d.serveAdmin(d.listeners[d.cfg.Admin])
	d.startAll(ctx)
	if store := d.policy.store; store != nil {
		d.background.Go(func() { store.Run(ctx.Done()) })
		defer store.Close()
	}
	handedOver := d.loop(stop)
	d.log.Info("stopping", "handed_over", handedOver)
	if !handedOver {
		d.saveSnapshot()
	}
	handedOver = d.stopServing(handedOver)
	if p := d.peering; p != nil && !handedOver { // after a handover this process sends no messages to peers
		p.transport.Leave(leaveTimeout)
	}
	cancel()
	for _, h := range d.hubs {
		h.stop()
	}
	close(d.done)
	closeAdmin(admin)
	if !waitFor(&d.background, backgroundTimeout) { // all requests are answered, so no other work may delay the end
		d.log.Warn("ending although not all background work has ended")
	}
	d.log.Info("stopped")
	if handedOver {
		return ErrHandedOver
	}
	return nil
}

// startAll starts the hubs of the sources, the instances, the peering, and the other goroutines.
func (d *Daemon) startAll(ctx context.Context) {
	d.followSources(d.cfg)
	for _, spec := range d.cfg.Instances {
		d.instances[spec.Name] = &hostedInstance{spec: spec}
	}
	for _, spec := range d.cfg.Instances {
		d.start(spec.Name)
	}
	d.startPeering(d.savedPeers, 0)
	d.background.Go(func() { d.awaitReady(ctx) })
	d.background.Go(func() { d.snapshots.Run(ctx.Done()) })
}

// loop handles calls of other goroutines and timers, until stop ends or a successor has taken over.
func (d *Daemon) loop(stop context.Context) (handedOver bool) {
	save := time.NewTicker(saveInterval)
	defer save.Stop()
	restart := time.NewTimer(0)
	defer restart.Stop()
	for !handedOver && stop.Err() == nil {
		if at, waits := d.supervisor.NextAt(); waits {
			restart.Reset(max(0, at-d.now()))
		} else {
			restart.Stop()
		}
		select {
		case f := <-d.calls:
			f()
		case <-restart.C:
			d.supervise()
		case <-save.C:
			d.saveSnapshot()
		case <-d.sizeChanged:
			d.updateInstances()
		case <-d.servingUpdated:
			d.switchPolicy()
		case <-stop.Done():
		}
		handedOver = d.handingOver && d.options.StartSuccessor == nil
	}
	return handedOver
}

// stopServing stops the instances, closes the sockets, and returns when all instances have answered what they admitted
// and have ended. A successor has copies of the sockets and accepts the connections in their queues. Without a
// successor the instances go on accepting for core.AcceptAfterStop, as a standalone agent does, and accept the
// connections in the queues before the last copies are closed. stopServing reports whether there is a successor: one
// that becomes ready just as the daemon is stopped keeps its sockets.
func (d *Daemon) stopServing(handedOver bool) bool {
	d.stopping = true
	acceptEnded := make(chan time.Time)
	for _, instance := range d.instances {
		if instance.stop == nil {
			continue
		}
		if !handedOver {
			instance.agent.AcceptUntil(acceptEnded)
			instance.agent.BoundStop(core.MaxStopDeadline)
		}
		instance.stop()
	}
	if !handedOver {
		accepting, cancel := context.WithTimeout(context.Background(), core.AcceptAfterStop)
		defer cancel()
		d.runCalls(accepting.Done())
		if ended := d.handoverEnded; ended != nil {
			d.runCalls(ended) // ends soon: the stop kills a successor that is not ready
		}
		handedOver = d.successorServes.Load()
	}
	if handedOver {
		d.rangeAgents(func(h agentHandle) { h.agent.LeaveQueue() }) // the successor accepts the connections in the queues
	}
	// A Unix socket's path is removed first, so that no client connects while the socket's queue is emptied.
	d.closeListeners(handedOver)
	close(acceptEnded)
	drained := make(chan struct{})
	go func() {
		d.running.Wait()
		close(drained)
	}()
	d.runCalls(drained)
	return handedOver
}

// closeListeners closes the daemon's own copies of the sockets.
func (d *Daemon) closeListeners(handedOver bool) {
	for _, listener := range d.listeners {
		if unix, ok := listener.(*net.UnixListener); ok && !handedOver {
			unix.SetUnlinkOnClose(true)
		}
		_ = listener.Close()
	}
	for _, conn := range d.packetConns {
		_ = conn.Close()
	}
}

// runCalls runs the calls of other goroutines, such as ends of instances and operators' requests, until a channel is
// closed.
func (d *Daemon) runCalls(until <-chan struct{}) {
	for {
		select {
		case f := <-d.calls:
			f()
		case <-until:
			return
		}
	}
}

func closeAdmin(admin *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancel()
	_ = admin.Shutdown(ctx)
	_ = admin.Close()
}

// waitFor waits for a group, and reports whether it ended within the timeout.
func waitFor(group *sync.WaitGroup, timeout time.Duration) bool {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// awaitReady calls Ready once each hub has its list and each running instance has taken the list, or after
// readyTimeout.
func (d *Daemon) awaitReady(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	d.awaitLists(timeoutCtx)
	d.awaitInstances(timeoutCtx)
	if ctx.Err() == nil && d.options.Ready != nil {
		d.options.Ready()
	}
}

// awaitLists waits until each hub has a list, or timeoutCtx ends. After a timeout it logs each list that is missing.
func (d *Daemon) awaitLists(timeoutCtx context.Context) {
	var hubs []*hub
	d.call(func() {
		for _, h := range d.hubs {
			hubs = append(hubs, h)
		}
	})
	for _, h := range hubs {
		select {
		case <-h.Ready():
		case <-timeoutCtx.Done():
		}
		if !h.hasList() && errors.Is(timeoutCtx.Err(), context.DeadlineExceeded) {
			d.log.Warn("no list yet; instances refuse until there is one", "list", h.source.List)
		}
	}
}

// awaitInstances waits until each instance has its list and the policy lets it admit requests, or timeoutCtx ends.
func (d *Daemon) awaitInstances(timeoutCtx context.Context) {
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	for timeoutCtx.Err() == nil {
		ready := false
		d.call(func() { ready = d.instancesReady() })
		if ready {
			return
		}
		select {
		case <-poll.C:
		case <-timeoutCtx.Done():
		}
	}
}

// instancesReady reports whether each running instance is ready and the policy lets instances admit requests. An
// instance whose list is missing or empty counts as ready.
func (d *Daemon) instancesReady() bool {
	for _, instance := range d.instances {
		list := d.hubs[instance.spec.Source].Snapshot()
		hasList := instance.agent == nil || instance.agent.Ready() || list == nil || len(list.Servers) == 0
		if !hasList || !d.policyAdmits() {
			return false
		}
	}
	return true
}
