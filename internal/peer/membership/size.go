package membership

import "time"

// Size is the number of balancers that share the servers, as an upper and a lower bound since neither is certain.
//
// A member that is not heard from is not gone: beyond a broken link it goes on sending requests. So MaxBalancers, by
// which shares and limits are divided, includes dead members, and falls only when a member leaves in order, an operator
// says that one is gone, or a process replaces another one of its name. No timeout makes it fall: no lease stops an
// agent from serving, nor should one. MinBalancers, which tells that few share the servers, includes only members
// that are alive.
type Size struct {
	MaxBalancers, MinBalancers int
	Members                    int  // daemons that have not left, this one included
	Live                       int  // of these, alive or suspect and reachable
	FromFile                   bool // MaxBalancers is the operator's figure: the view has not settled yet
}

// sizeTracker sums up balancers, and publishes a change that allows this member more in small steps.
type sizeTracker struct {
	configured   int // the operator's figure
	maxBalancers int // of members that have not left
	minBalancers int // of members alive and reachable
	unreachable  int // members alive or suspect that can't be reached
	reported     Size
	nextStepAt   time.Duration // the next step of a change is due; 0: there is none
	started      bool
}

const (
	// sizeStepInterval is the time between two steps of a change that allows more. Longer is safer against members
	// that have not learned of a change yet, and slower to use capacity.
	sizeStepInterval = time.Second
	// sizeSteps makes a step this part of the present figure, and at least 1.
	sizeSteps = 10
	// sizeStartPeriod is the time after the start in which MaxBalancers falls at once from the operator's figure to the
	// view's: little rests on it yet.
	sizeStartPeriod = 10 * time.Second
)

// add counts a member. It must be removed before its record changes.
func (t *sizeTracker) add(m *member) { t.count(m, 1) }

// remove takes a member's present record out again.
func (t *sizeTracker) remove(m *member) { t.count(m, -1) }

func (t *sizeTracker) count(m *member, sign int) {
	if m.State < Left {
		t.maxBalancers += sign * int(m.Balancers)
	}
	if m.effectiveState() == Alive {
		t.minBalancers += sign * int(m.Balancers)
	}
	if m.effectiveState() != m.State {
		t.unreachable += sign
	}
}

// start begins with the larger of the operator's figure and the members of the last run.
func (t *sizeTracker) start(v *View) {
	known := int(v.self.Balancers)
	for _, r := range v.settings.KnownMembers {
		if r.State < Left && r.Name != v.settings.Name && !v.settings.TakesOver {
			known += int(r.Balancers)
		}
	}
	t.configured = max(t.configured, known)
	t.started = true
	t.add(v.self)
	t.publish(v)
}

// publish emits a SizeChanged where the size has changed: at once what allows less, in steps what allows more.
func (t *sizeTracker) publish(v *View) {
	if !t.started {
		return
	}
	target := t.target(v)
	stepDue := t.nextStepAt > 0 && v.now >= t.nextStepAt
	next := target
	if t.reported.MaxBalancers > 0 {
		next.MaxBalancers = t.nextMax(v, target, stepDue)
		next.MinBalancers = t.nextMin(target, stepDue)
	}
	switch {
	case next.MaxBalancers == target.MaxBalancers && next.MinBalancers == target.MinBalancers:
		t.nextStepAt = 0
	case stepDue || t.nextStepAt == 0:
		t.nextStepAt = v.now + sizeStepInterval
	}
	if next != t.reported {
		t.reported = next
		v.emit(SizeChanged{next})
	}
}

// target is the size by what is known now.
func (t *sizeTracker) target(v *View) Size {
	size := Size{
		MaxBalancers: max(t.maxBalancers, 1),
		MinBalancers: max(t.minBalancers, 1),
		Members:      len(v.live) + len(v.dead) + 1,
		Live:         len(v.live) + 1 - t.unreachable,
	}
	if !v.settled && t.configured > size.MaxBalancers {
		size.MaxBalancers = t.configured
		size.FromFile = true
	}
	return size
}

// nextMax is MaxBalancers on its way to the target: a smaller one allows more.
func (t *sizeTracker) nextMax(v *View, target Size, stepDue bool) int {
	present := t.reported.MaxBalancers
	switch {
	case target.MaxBalancers >= present:
		return target.MaxBalancers
	case t.reported.FromFile && !target.FromFile && v.now-v.self.stateSince < sizeStartPeriod:
		return target.MaxBalancers
	case stepDue:
		return max(target.MaxBalancers, present-sizeStep(present))
	}
	return present
}

// nextMin is MinBalancers on its way to the target: a larger one allows more.
func (t *sizeTracker) nextMin(target Size, stepDue bool) int {
	present := t.reported.MinBalancers
	switch {
	case target.MinBalancers <= present:
		return target.MinBalancers
	case stepDue:
		return min(target.MinBalancers, present+sizeStep(present))
	}
	return present
}

func sizeStep(present int) int { return max(1, present/sizeSteps) }
