package membership

import "time"

// BalancerCount is the number of balancers that share the servers, as an upper and a lower bound, because the exact number
// can't be determined.
//
// A member that can't be reached may still run and send requests behind a broken link. MaxBalancers, by which shares
// and limits are divided, therefore includes dead members. It decreases only when a member leaves in an orderly way,
// an operator removes a member, or a process replaces another one with the same name. It never decreases by a timeout,
// because no lease stops an agent from serving, by design. MinBalancers includes only members that are alive; it is
// used to detect that few balancers share the servers.
type BalancerCount struct {
	MaxBalancers, MinBalancers int
	Members                    int  // daemons that have not left, the local one included
	Live                       int  // of these, members that are alive or suspect, and reachable
	FromFile                   bool // MaxBalancers is the operator's figure, because the view has not settled yet
}

// sizeTracker sums up balancers. Changes that allow this member more load are published in small steps.
type sizeTracker struct {
	configured   int // the operator's figure
	maxBalancers int // balancers of members that have not left
	minBalancers int // balancers of members that are alive and reachable
	unreachable  int // number of members that are alive or suspect but can't be reached
	reported     BalancerCount
	nextStepAt   time.Duration // when the next step of a change is due; 0: no change is pending
	started      bool
}

const (
	// sizeStepInterval is the time between two steps of a change that allows more. A longer interval is safer against
	// members that have not yet learned of a change, and uses capacity later.
	sizeStepInterval = time.Second
	// sizeSteps divides the current figure to give the size of a step, which is at least 1.
	sizeSteps = 10
	// sizeStartPeriod is the time after the start in which MaxBalancers changes at once from the operator's figure to a
	// smaller one of the view, because little depends on it yet.
	sizeStartPeriod = 10 * time.Second
)

// add counts a member. Before the member's record changes, remove must be called.
func (t *sizeTracker) add(m *member) { t.count(m, 1) }

// remove subtracts a member's current record again.
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

// start sets the initial figure: the larger of the operator's figure and the balancers of the members of the last run.
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

// publish emits a BalancerCountChanged if the size has changed. Changes that allow less take effect at once, and changes that
// allow more in steps.
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
		v.emit(BalancerCountChanged{next})
	}
}

// target returns the size by the current view.
func (t *sizeTracker) target(v *View) BalancerCount {
	size := BalancerCount{
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

// nextMax returns the next value of MaxBalancers towards the target. A smaller value allows more.
func (t *sizeTracker) nextMax(v *View, target BalancerCount, stepDue bool) int {
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

// nextMin returns the next value of MinBalancers towards the target. A larger value allows more.
func (t *sizeTracker) nextMin(target BalancerCount, stepDue bool) int {
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
