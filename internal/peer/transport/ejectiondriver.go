package transport

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
)

const (
	// membersInterval is the minimum interval between two times at which the membership is passed on, if the view has
	// changed. Without a change it is passed on after membersIdleInterval, because the subscriptions of other members
	// may change without an action of the view.
	membersInterval     = 250 * time.Millisecond
	membersIdleInterval = 5 * time.Second
	// localityRetention is the time for which the locality of a dead member is used. It is longer than partitions usually
	// last.
	localityRetention = time.Hour
)

// ejectionDriver drives outlier ejection. The transport's loop owns it.
type ejectionDriver struct {
	tr            *Transport
	member        *ejection.Member  // nil: members exchange no evidence
	membersAt     time.Duration     // when the membership was last passed on
	membersStale  bool              // the view has changed since membersAt
	lists         map[string]bool   // the endpoint lists that this member reads
	subscriptions []byte            // the filter of these lists that is announced to other members
	unannounced   bool              // subscriptions have changed since they were last announced
	packets       uint64            // packets sent
	written       map[string]string // by server: the state in its last event line
}

// newEjectionDriver returns a driver that takes over the lists and evidence of the previous Transport.
func newEjectionDriver(tr *Transport) (*ejectionDriver, error) {
	d := &ejectionDriver{tr: tr, membersAt: -time.Hour, lists: map[string]bool{}}
	if tr.options.Ejection == nil {
		return d, nil
	}
	settings := *tr.options.Ejection
	settings.Name = tr.options.Membership.Name
	settings.RunID = rand.Uint64() | 1
	var err error
	if d.member, err = ejection.New(settings, rand.Uint64()); err != nil {
		return nil, err
	}
	if previous := tr.options.Previous; previous != nil && previous.ejection.member != nil {
		d.member = previous.ejection.member
		d.lists = previous.ejection.lists
		d.subscriptions = previous.ejection.subscriptions
		d.unannounced = true
	}
	return d, nil
}

// next returns the time at which runDue is due.
func (d *ejectionDriver) next() time.Duration {
	if d.member == nil {
		return math.MaxInt64
	}
	return d.member.Next()
}

func (d *ejectionDriver) runDue(now time.Duration) {
	if d.member != nil && now >= d.member.Next() {
		d.step(now)
	}
}

// step steps the member, and executes its actions. If the membership is due to be passed on, it is the first event.
func (d *ejectionDriver) step(now time.Duration, events ...ejection.Event) {
	if d.member == nil || d.tr.frozen.Load() {
		return
	}
	sinceMembers := now - d.membersAt
	if sinceMembers >= membersIdleInterval || d.membersStale && sinceMembers >= membersInterval {
		d.membersAt = now
		d.membersStale = false
		events = append([]ejection.Event{membersChanged(d.tr.view.Members())}, events...)
	}
	for _, e := range events {
		if list, ok := e.(ejection.ListUpdated); ok {
			d.subscribe(list.Source)
		}
	}
	for _, a := range d.member.Step(now, events...) {
		switch a := a.(type) {
		case ejection.Send:
			d.packets++
			d.tr.leases.send(a.To, &sharedPacket{Ejection: a.Message})
		case ejection.EjectionsChanged:
			d.writeEvents(a.Ejections)
			d.tr.options.EjectionsChanged(a.Ejections, d.tr.base)
		case ejection.Log:
			d.tr.log.Info("fleet: " + a.Text)
		}
	}
}

// subscribe records that this member reads a list, and marks its subscriptions to be announced to other members.
func (d *ejectionDriver) subscribe(list string) {
	if d.lists[list] {
		return
	}
	d.lists[list] = true
	d.subscriptions = ejection.NewSubscriptionFilter(slices.Sorted(maps.Keys(d.lists)))
	d.unannounced = true
}

// membersChanged returns an event with the live members of a view, their localities and subscriptions, and the
// members that died recently.
func membersChanged(records []membership.Record) ejection.MembersChanged {
	var e ejection.MembersChanged
	for _, r := range records {
		p := ejection.Peer{Region: r.Region, Zone: r.Zone, Subscriptions: r.Metadata}
		switch {
		case r.State == membership.Alive || r.State == membership.Suspect:
			e.Names = append(e.Names, r.Name)
			e.Peers = append(e.Peers, p)
		case r.State == membership.Dead && time.Duration(r.AgeSeconds)*time.Second < localityRetention:
			e.Unreachable = append(e.Unreachable, p)
		}
	}
	return e
}

// The states of event lines about servers.
const (
	eventEjected  = "out"
	eventDraining = "drain"
	eventAdmitted = "free"
)

// writeEvents writes an event line for each server whose state has changed.
func (d *ejectionDriver) writeEvents(ejections []ejection.Ejection) {
	current := map[string]string{}
	for _, e := range ejections {
		state := eventEjected
		if e.Draining {
			state = eventDraining
		}
		current[e.Server] = state
	}
	for _, server := range slices.Sorted(maps.Keys(current)) {
		if d.written[server] != current[server] {
			d.tr.eventLog.write(eventLine{Kind: "verdict", Server: server, State: current[server]})
		}
	}
	for _, server := range slices.Sorted(maps.Keys(d.written)) {
		if current[server] == "" {
			d.tr.eventLog.write(eventLine{Kind: "verdict", Server: server, State: eventAdmitted})
		}
	}
	d.written = current
}

// ListUpdated passes on the complete content of an endpoint list. If the loop's queue is full, it waits up to
// streamTimeout.
func (tr *Transport) ListUpdated(list ejection.ListUpdated) { tr.post(ejectionInput{list}) }

// OutcomesObserved passes on outcomes of the daemon's agents. It does not wait: if the loop's queue is full, they are
// dropped.
func (tr *Transport) OutcomesObserved(samples []ejection.OutcomeSample) {
	tr.offer(ejectionInput{ejection.OutcomesObserved{Samples: samples}})
}
