package core

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// AcceptAfterStop is how long new connections are accepted after a SIGTERM, because clients learn of a planned
	// restart up to 0.4 s late. A shorter time refuses some of them; a longer one delays the restart.
	AcceptAfterStop = 450 * time.Millisecond
	// maxQueueTime is the longest time for which a stopping agent accepts connections from its listener's queue,
	// which can't empty while no slot is free. A longer time delays the restart.
	maxQueueTime = 250 * time.Millisecond
	// closeSilentAfterStop is how long after the listener is closed a connection may still send its first request.
	closeSilentAfterStop = 250 * time.Millisecond
	// drainSlack is how much longer than the longest deadline a drain may take. The platform kills the process 0.7 s
	// after the longest deadline.
	drainSlack = 600 * time.Millisecond
	// finalAnswersReserve is the time kept free at a drain's end for answers to be written and read: 0.1 s, and the
	// 0.15 s for which an agent may be held up before the write. A request that comes late in the drain, on a
	// connection whose client writes slowly, is answered before this reserve and not by its own deadline: otherwise
	// it would be lost when the process ends.
	finalAnswersReserve = 250 * time.Millisecond
	// clientDrainPeriod is how long clients may still use their connections once an operator drains the agent: each
	// connection is closed after its next answer, and those without a request after this period. It is longer than a
	// load balancer in front of the agent needs to notice the drain and to send new connections elsewhere, and
	// shorter than the time by which no connection may be open.
	clientDrainPeriod = 1200 * time.Millisecond
	// drainCheckInterval is how often idle connections are closed after clientDrainPeriod.
	drainCheckInterval = 100 * time.Millisecond
)

// drain ends the agent's service in these steps, all within maxDrain from its start:
//
//  1. New requests get deadlines of finalAnswersReserve before the end.
//  2. Idle connections are closed. New ones are accepted for AcceptAfterStop, unless NoLateConnections is set.
//  3. Connections in the listener's queue are accepted, unless NoLateConnections is set, and the listener is closed.
//     Each connection is closed once it has its answer. Connections on which no byte has come are closed after
//     closeSilentAfterStop.
//  4. It returns when no connection is open, or when the platform is about to kill the process.
func (a *Agent) drain(served <-chan error) {
	a.log.Info("stopping")
	end := time.Now().Add(a.maxDrain())
	limit, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	finalAnswers := end.Add(-finalAnswersReserve)
	a.loop.drainDeadline.Store(&finalAnswers)
	// Idle connections are closed at once: a client whose request crosses the close opens a new connection, which is
	// still accepted.
	a.stopping.Store(true)
	if late := a.lateConnections(); late != nil {
		a.updateDraining()
		a.limiter.CloseIdle()
		select {
		case <-served: // the listener is broken; requests that were read are still answered
		case <-late():
			a.acceptQueue(limit, served)
		}
	}
	err := a.closeConnections(limit, served)
	if open := a.protocol.OpenRequests(); err != nil && open > 0 {
		a.log.Error("stopping with requests unanswered", "open", open, "error", err)
	}
	a.log.Info("stopped")
}

// lateConnections returns what ends the time in which the stopping agent accepts connections; nil: that time ends at
// once, and another agent accepts from the listener's queue.
func (a *Agent) lateConnections() func() <-chan time.Time {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	return a.stopAccepting
}

// AcceptUntil makes the agent, once it is stopped, accept connections until a channel is closed, and then those in
// the listener's queue. It is for an agent that was made with NoLateConnections and whose listener has not passed to
// another agent after all. It must be called before the agent is stopped.
func (a *Agent) AcceptUntil(closed <-chan time.Time) {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	a.stopAccepting = func() <-chan time.Time { return closed }
}

// LeaveQueue makes an agent that accepts until a channel is closed leave the listener's queue to another agent,
// which has become available since. It must be called before that channel is closed.
func (a *Agent) LeaveQueue() { a.queueLeft.Store(true) }

// acceptQueue accepts the connections in the listener's queue, and closes the listener. A listener that the platform
// passed on stays open in other processes, which accept the connections in its queue.
func (a *Agent) acceptQueue(ctx context.Context, served <-chan error) {
	if a.cfg.InheritedFD != 0 || a.queueLeft.Load() {
		return
	}
	a.limiter.CloseAfterQueue(maxQueueTime)
	select {
	case <-served:
	case <-ctx.Done():
	}
}

// maxDrain returns how long a drain may take: the longest deadline, however long, and a little more. A fixed bound
// of 3 s lost requests of sites with longer deadlines.
func (a *Agent) maxDrain() time.Duration { return a.cfg.MaxDeadline() + drainSlack }

// closeConnections accepts no more connections, and returns when all have had their answers and are closed, or with
// an error when ctx ends. A connection whose request has been read but not yet submitted to the loop is not closed:
// the request would be lost.
func (a *Agent) closeConnections(ctx context.Context, served <-chan error) error {
	_ = a.limiter.Close()
	a.stopping.Store(true)
	a.updateDraining()
	select {
	case <-served: // the limiter knows every accepted connection now
	case <-ctx.Done():
	}
	// A connection that has sent nothing by then will most likely never send anything.
	silent := time.AfterFunc(closeSilentAfterStop, func() { a.limiter.CloseSilent(0) })
	defer silent.Stop()
	err := a.limiter.waitUntilEmpty(ctx)
	if closeErr := a.protocol.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		a.log.Warn("closing", "error", closeErr)
	}
	return err
}

// stopAfterPanic ends an agent whose state can't be trusted any more. Its open requests are answered as failed,
// which promises nothing about their effect, before their connections are closed.
func (a *Agent) stopAfterPanic(cancel func(), served <-chan error) {
	cancel() // the loop ends, and with it every wait for an answer
	limit, stop := context.WithTimeout(context.Background(), HeadTimeout)
	defer stop()
	if err := a.closeConnections(limit, served); err != nil {
		a.log.Error("ending with connections open", "error", err)
	}
}

// SetDrained drains the agent for an operator, or puts it back into service. A drained agent goes on running, and
// requests are answered.
func (a *Agent) SetDrained(drained bool) {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	if a.loop.drained.Swap(drained) == drained {
		return
	}
	a.log.Info("drained or taken back by an operator", "drained", drained)
	a.updateDraining()
	if a.idleCloser != nil {
		a.idleCloser.Stop()
		a.idleCloser = nil
	}
	if drained {
		a.scheduleIdleClose(clientDrainPeriod)
	}
}

// scheduleIdleClose closes idle connections after a while, and repeatedly while the agent is drained. drainMu is
// held.
func (a *Agent) scheduleIdleClose(after time.Duration) {
	a.idleCloser = time.AfterFunc(after, func() {
		a.limiter.CloseIdle()
		a.limiter.CloseSilent(minSilent) // new connections still come, and are served
		a.drainMu.Lock()
		defer a.drainMu.Unlock()
		if a.loop.drained.Load() {
			a.scheduleIdleClose(drainCheckInterval)
		}
	})
}

// updateDraining sets whether the protocol closes connections after their next answer.
func (a *Agent) updateDraining() { a.protocol.SetDraining(a.loop.drained.Load() || a.stopping.Load()) }

// Drained reports whether an operator drains the agent.
func (a *Agent) Drained() bool { return a.loop.drained.Load() }
