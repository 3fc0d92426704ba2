package transport

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
)

// input is a message from another goroutine to the loop.
type input interface{ isInput() }

type (
	// viewInput is an event of the membership view. If it is a request, the loop sends the response to the channel,
	// which is buffered so that the loop does not block.
	viewInput struct {
		event    membership.Event
		response chan *membership.Exchange
	}
	// ejectionInput is an event of outlier ejection.
	ejectionInput struct{ event ejection.Event }
)

func (viewInput) isInput()       {}
func (ejectionInput) isInput()   {}
func (*sharedPacket) isInput()   {}
func (agentAdded) isInput()      {}
func (agentRemoved) isInput()    {}
func (usageReported) isInput()   {}
func (*policyPacket) isInput()   {}
func (policyPersisted) isInput() {}

// Run takes part in the fleet until ctx ends, and then returns nil. A panic of the loop, or of a goroutine that
// runInBackground starts, ends Run with an error. A panic of the event log's writer is only logged.
func (tr *Transport) Run(ctx context.Context) (err error) {
	running, cancel := context.WithCancel(ctx)
	diskStop := make(chan struct{})
	defer func() {
		if p := recover(); p != nil {
			err = panicError(p)
		}
		cancel()
		_ = tr.options.UDP.Close()
		_ = tr.options.TCP.Close()
		close(tr.done)
		close(diskStop)
		tr.background.Wait()
		tr.eventLog.close()
	}()
	tr.running = running
	tr.runInBackground(func() { tr.viewFile.Run(diskStop) })
	tr.saveBoot()
	tr.awaitBootSaved()
	own := tr.view.Local()
	tr.eventLog.write(eventLine{Kind: "start", RunID: hex(own.RunID), Boot: own.Boot, Incarnation: own.Incarnation})
	tr.runInBackground(func() { tr.readDatagrams(running) })
	tr.runInBackground(func() { tr.acceptStreams(running) })
	return tr.loop(running)
}

// loop takes inputs and steps the state machines until ctx ends.
func (tr *Transport) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []membership.Event
		select {
		case <-ctx.Done():
			if !tr.frozen.Load() { // otherwise the file belongs to the successor
				tr.saveView()
			}
			return nil
		case err := <-tr.failed:
			return err
		case call := <-tr.calls:
			call()
		case i := <-tr.inputs:
			batch = tr.dispatch(batch, i)
		case <-timer.C:
		}
		for len(batch) < maxBatch && len(tr.inputs) > 0 {
			batch = tr.dispatch(batch, <-tr.inputs)
		}
		if tr.frozen.Load() {
			timer.Stop()
			continue
		}
		if tr.ejection.unannounced {
			batch = append(batch, tr.prepare(viewInput{event: tr.localInfo}))
		}
		tr.stepView(ctx, batch)
		tr.leases.runDue(tr.now())
		tr.ejection.runDue(tr.now())
		tr.policy.runDue(tr.now())
		next := min(tr.view.Next(), tr.leases.next(), tr.ejection.next(), tr.policy.next())
		timer.Reset(max(0, next-tr.now()))
	}
}

// dispatch passes an input to its state machine at once, or appends it to the batch of the view's next step.
func (tr *Transport) dispatch(batch []membership.Event, i input) []membership.Event {
	now := tr.now()
	switch i := i.(type) {
	case viewInput:
		return append(batch, tr.prepare(i))
	case ejectionInput:
		tr.ejection.step(now, i.event)
	case *sharedPacket:
		if i.Ejection != nil {
			tr.ejection.step(now, ejection.Received{From: i.From, Message: i.Ejection})
		} else {
			tr.leases.handlePacket(now, i)
		}
	case agentAdded:
		tr.leases.addAgent(now, i.agent)
	case agentRemoved:
		tr.leases.removeAgent(i.agent)
	case usageReported:
		tr.leases.reportUsage(now, i)
	case *policyPacket:
		tr.policy.handlePacket(now, i)
	case policyPersisted:
		tr.policy.runDue(now)
	}
	return batch
}

// prepare adds the fields that only the loop can set to an event, and updates the loop's state for it.
func (tr *Transport) prepare(i viewInput) membership.Event {
	switch e := i.event.(type) {
	case membership.ExchangeRequest:
		tr.streamID++
		e.Stream = tr.streamID
		tr.responses[e.Stream] = i.response
		return e
	case membership.ExchangeFailed:
		delete(tr.exchanges, e.ID)
	case membership.LocalInfo:
		e.Metadata = tr.ejection.subscriptions
		tr.localInfo = e
		tr.ejection.unannounced = false
		return e
	}
	return i.event
}

// stepView steps the membership view, and executes its actions.
func (tr *Transport) stepView(ctx context.Context, batch []membership.Event) {
	if tr.options.Inject != nil {
		tr.options.Inject()
	}
	for _, e := range batch {
		if _, ok := e.(membership.Leave); ok { // written before the leave is sent, so that other members' lines are later
			tr.eventLog.write(eventLine{Kind: "leave"})
		}
	}
	for _, a := range tr.view.Step(tr.now(), batch...) {
		tr.executeAction(ctx, a)
	}
	for _, e := range batch {
		if response, ok := e.(membership.ExchangeResponse); ok { // if the view sent no last message: the response was late, or none was needed
			tr.finishExchange(response.ID, nil)
		}
	}
	if tr.view.HasLeft() {
		select {
		case <-tr.leaveSent:
		default:
			close(tr.leaveSent)
		}
	}
}

func (tr *Transport) executeAction(ctx context.Context, a membership.Action) {
	switch a := a.(type) {
	case membership.Send:
		tr.sendDatagram(a)
	case membership.OpenExchange:
		finish := make(chan *membership.Exchange, 1)
		tr.exchanges[a.ID] = finish
		tr.runInBackground(func() { tr.runExchange(ctx, a, finish) })
	case membership.ExchangeReply:
		if response := tr.responses[a.Stream]; response != nil {
			delete(tr.responses, a.Stream)
			response <- a.Message
		}
	case membership.FinishExchange:
		tr.finishExchange(a.ID, a.Message)
	case membership.SaveView:
		if a.KeepKnownMembers {
			tr.saveBoot()
		} else {
			tr.saveView()
		}
	case membership.BalancerCountChanged:
		tr.eventLog.writeAction(a)
		if tr.options.SizeChanged != nil {
			tr.options.SizeChanged(a.Size)
		}
	default:
		tr.ejection.membersStale = true
		tr.eventLog.writeAction(a)
		tr.logAction(a)
	}
}

// finishExchange ends an exchange that this member opened, with a last message or nil. If the exchange has already
// ended, the call has no effect.
func (tr *Transport) finishExchange(id uint64, last *membership.Exchange) {
	finish := tr.exchanges[id]
	if finish == nil {
		return
	}
	delete(tr.exchanges, id)
	finish <- last
}

// runInBackground runs f in a goroutine that Run waits for. A panic in f ends this member, but not the process.
func (tr *Transport) runInBackground(f func()) {
	tr.background.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				select {
				case tr.failed <- panicError(p):
				default:
				}
			}
		}()
		f()
	})
}

func panicError(p any) error { return fmt.Errorf("panic: %v\n%s", p, debug.Stack()) }

// awaitBootSaved waits until the boot number is on the disk, up to bootSaveTimeout.
func (tr *Transport) awaitBootSaved() {
	if tr.options.Dir == "" || tr.options.Membership.TakesOver {
		return
	}
	for deadline := time.Now().Add(bootSaveTimeout); time.Now().Before(deadline); time.Sleep(bootSavePoll) {
		if !tr.viewFile.Pending() {
			return
		}
	}
	tr.log.Warn("the disk is slow: this start's boot number is announced before it is saved")
}

// saveView queues the view to be written to the disk.
func (tr *Transport) saveView() { tr.viewFile.put(tr.saved()) }

// saveBoot queues the boot number to be written to the disk. While the view has no records of other members, the
// records of Membership.KnownMembers are written with it.
func (tr *Transport) saveBoot() {
	s := tr.saved()
	if !tr.options.Membership.TakesOver && len(s.Records) <= 1 {
		s.Records = append(s.Records, tr.options.Membership.KnownMembers...)
	}
	tr.viewFile.put(s)
}

func (tr *Transport) saved() *Saved {
	return &Saved{Boot: tr.view.Local().Boot, Records: tr.view.Records(), SavedMS: time.Now().UnixMilli()}
}

// post sends an input to the loop, and waits up to streamTimeout while the queue is full. It reports whether the
// input was queued.
func (tr *Transport) post(i input) bool {
	timer := time.NewTimer(streamTimeout)
	defer timer.Stop()
	select {
	case tr.inputs <- i:
		return true
	case <-tr.done:
	case <-timer.C:
	}
	return false
}

// offer sends an input to the loop without waiting. If the queue is full, the input is dropped and counted.
func (tr *Transport) offer(i input) {
	select {
	case tr.inputs <- i:
	default:
		tr.dropped.Add(1)
	}
}

// do runs f on the loop, and waits up to callTimeout for f to start. It reports true once f has returned. It reports
// false if f has not run and will not run later, or if the loop ended during f: the caller must not read what f
// writes then.
func (tr *Transport) do(f func()) bool {
	var claimed atomic.Bool // set by the loop when it runs f, or by the caller when it abandons the call
	ran := make(chan struct{})
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	call := func() {
		if claimed.CompareAndSwap(false, true) {
			f()
			close(ran)
		}
	}
	select {
	case tr.calls <- call:
	case <-tr.done:
		return false
	case <-timer.C:
		return false
	}
	select {
	case <-ran:
		return true
	case <-tr.done:
		return false
	case <-timer.C:
	}
	if claimed.CompareAndSwap(false, true) {
		return false
	}
	select { // f is running; functions on the loop do not block, so it returns soon
	case <-ran:
		return true
	case <-tr.done:
		return false
	}
}

// rejectedCounts counts rejected messages by reason.
type rejectedCounts struct {
	malformed, tooLarge, otherFleet, damaged, unknownFormat atomic.Uint64
}
