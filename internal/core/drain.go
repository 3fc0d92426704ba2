package core

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// AcceptAfterStop is how long new connections are accepted after a SIGTERM, because clients are notified of a
	// planned restart up to 0.4 s late. With a shorter time some of them are refused; a longer one delays the restart.
	AcceptAfterStop = 450 * time.Millisecond
	// maxQueueTime is the longest time for which a stopping agent accepts connections from its listener's queue, which
	// does not become empty while no slot is free. A longer time delays the restart.
	maxQueueTime = 250 * time.Millisecond
	// closeSilentAfterStop is how long after the close of the listener a client may still begin its first request.
	closeSilentAfterStop = 250 * time.Millisecond
	// drainSlack is the time by which a drain may exceed the longest deadline. The platform kills the process 0.7 s
	// after the longest deadline.
	drainSlack = 600 * time.Millisecond
	// finalAnswersReserve is the time reserved at the end of a drain in which answers are written and read: 0.1 s, and
	// the 0.15 s for which an agent may be paused before the write. A request that arrives late in the drain, because
	// its client writes slowly, is answered before this reserve even if its own deadline is later: otherwise it would
	// be lost when the process ends.
	finalAnswersReserve = 250 * time.Millisecond
	// clientDrainPeriod is how long clients may still use their connections once an operator drains the agent: each
	// connection is closed after its next answer, and connections without a request are closed after this period. It is
	// longer than a load balancer in front of the agent needs to detect the drain and to open new connections to other
	// agents, and shorter than the time after which no connection may be open.
	clientDrainPeriod = 1200 * time.Millisecond
	// drainCheckInterval is how often idle connections are closed after clientDrainPeriod.
	drainCheckInterval = 100 * time.Millisecond
)

// drain ends the agent's service in these steps, all within maxDrain from its start:
//
//  1. New requests get deadlines of finalAnswersReserve before the end.
//  2. Unless Options.NoLateConnections is set: idle connections are closed, new ones are accepted for AcceptAfterStop
//     or as long as Options.StopAccepting specifies, and after that those in the listener's queue.
//  3. The listener is closed. Each connection is closed once it has its answer. Connections on which no byte has
//     arrived are closed after closeSilentAfterStop.
//  4. drain returns when no connection is open, or at the latest after maxDrain, shortly before the platform kills the
//     process.
func (a *Agent) drain(served <-chan error) {
	a.log.Info("stopping")
	end := time.Now().Add(a.maxDrain())
	limit, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	finalAnswers := end.Add(-finalAnswersReserve)
	a.loop.drainDeadline.Store(&finalAnswers)
	unanswered := time.AfterFunc(time.Until(finalAnswers), func() { a.loop.post(stopEnds{}) })
	defer unanswered.Stop()
	// Idle connections are closed at once: a client that sends a request just before it receives the close opens a new
	// connection, which is still accepted.
	a.stopping.Store(true)
	if late := a.lateConnections(); late != nil {
		a.updateDraining()
		a.limiter.EvictIdle()
		select {
		case <-served: // the listener has failed; requests that were read are still answered
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

// lateConnections returns the function described at stopAcceptingOf. If it is nil, another agent accepts the
// connections in the listener's queue.
func (a *Agent) lateConnections() func() <-chan time.Time {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	return a.stopAccepting
}

// AcceptUntil makes the agent, once it is stopped, accept connections until a channel is closed, and then those in the
// listener's queue. It is for an agent that was created with NoLateConnections, if no other agent has taken over its
// listener. It must be called before the agent is stopped.
func (a *Agent) AcceptUntil(closed <-chan time.Time) {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	a.stopAccepting = func() <-chan time.Time { return closed }
}

// LeaveQueue makes an agent not accept the connections in the listener's queue when it stops, because another agent has
// become available that accepts them. It must be called before the channel of Options.StopAccepting or AcceptUntil is
// closed.
func (a *Agent) LeaveQueue() { a.queueLeft.Store(true) }

// acceptQueue accepts the connections in the listener's queue, and closes the listener. It does nothing if other
// processes accept the connections in the queue, as with an inherited listener, or after LeaveQueue.
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

// MaxStopDeadline is the longest deadline that the platform waits for before it may kill a process that it has told to
// stop.
const MaxStopDeadline = 3 * time.Second

// BoundStop bounds the deadlines that the agent's stop waits for, because its process may be killed drainSlack and 0.1 s
// after them. It must be called before the agent is stopped.
func (a *Agent) BoundStop(longest time.Duration) {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	a.maxStopDeadline = longest
}

// maxDrain returns how long a drain may take: the longest deadline that it waits for, plus drainSlack. Requests with
// later deadlines are answered as failed before its end.
func (a *Agent) maxDrain() time.Duration {
	a.drainMu.Lock()
	defer a.drainMu.Unlock()
	longest := a.cfg.MaxDeadline()
	if a.maxStopDeadline > 0 {
		longest = min(longest, a.maxStopDeadline)
	}
	return longest + drainSlack
}

// closeConnections closes the listener, and returns when all connections have had their answers and are closed, or with
// an error when ctx ends. A connection whose request has been read but not yet submitted to the loop is not closed
// before its answer, because the request would be lost.
func (a *Agent) closeConnections(ctx context.Context, served <-chan error) error {
	_ = a.limiter.Close()
	a.stopping.Store(true)
	a.updateDraining()
	select {
	case <-served: // from now on the limiter's list of accepted connections is complete
	case <-ctx.Done():
	}
	// A client that has sent no byte by that time will most likely not send a request.
	silent := time.AfterFunc(closeSilentAfterStop, func() { a.limiter.EvictSilent(0) })
	defer silent.Stop()
	err := a.limiter.waitUntilEmpty(ctx)
	if closeErr := a.protocol.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		a.log.Warn("closing", "error", closeErr)
	}
	return err
}

// stopAfterPanic ends an agent whose state may be corrupt. Before the connections are closed, the open requests are
// answered as failed, which leaves open whether they were executed.
func (a *Agent) stopAfterPanic(cancel func(), served <-chan error) {
	cancel() // ends the loop, and so every wait for its answers
	limit, stop := context.WithTimeout(context.Background(), HeadTimeout)
	defer stop()
	if err := a.closeConnections(limit, served); err != nil {
		a.log.Error("ending with connections open", "error", err)
	}
}

// SetDrained drains the agent for an operator, or returns it to service. A drained agent continues to run and to answer
// requests.
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

// scheduleIdleClose closes idle connections after a time, and then repeatedly while the agent is drained. drainMu must
// be held.
func (a *Agent) scheduleIdleClose(after time.Duration) {
	a.idleCloser = time.AfterFunc(after, func() {
		a.limiter.EvictIdle()
		a.limiter.EvictSilent(minSilent) // spares new connections, which are still accepted and served
		a.drainMu.Lock()
		defer a.drainMu.Unlock()
		if a.loop.drained.Load() {
			a.scheduleIdleClose(drainCheckInterval)
		}
	})
}

// updateDraining makes the protocol close connections after their next answer if the agent is drained or stopping.
func (a *Agent) updateDraining() { a.protocol.SetDraining(a.loop.drained.Load() || a.stopping.Load()) }

// Drained reports whether an operator drains the agent.
func (a *Agent) Drained() bool { return a.loop.drained.Load() }
