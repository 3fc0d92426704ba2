package membership

import "time"

// Size is how many balancers share the servers, said in two ways since neither is certain.
//
// Being unheard is not being gone: an agent beyond a broken link goes on sending. So Most, by which shares and
// limits are divided, takes in the silent, and falls only when a member leaves in order, when an operator says that
// one is gone, or when a process follows another under its name. Silence alone proves nothing after any time: no
// lease makes an agent stop serving, nor should one. Least, by which it may be told that few share the servers,
// takes in only those that are alive.
type Size struct {
	MaxBalancers, MinBalancers int
	Members, Live              int  // daemons: all but those that left, and those alive, this one included
	FromFile                   bool // Most is the operator's figure still: the view has not settled yet
}

// sizeTracker keeps the sums, and tells them without a step where they allow more.
type sizeTracker struct {
	configured                 int
	maxBalancers, minBalancers int
	unreachable                int // members alive or suspect that can't be reached
	reported                   Size
	nextStepAt                 time.Duration // the next part of a change is due; 0: none is
	started                    bool
}

const (
	sizeStepInterval = time.Second      // between two parts of a change that allows more
	sizeSteps        = 10               // a tenth at a time, or one
	sizeStartPeriod  = 10 * time.Second // of a life: by then it has met the fleet, and serves little yet
)

// add books a member's record, with sign 1, or takes it off, with -1.
func (c *sizeTracker) add(m *member, sign int) {
	if m.State < Left {
		c.maxBalancers += sign * int(m.Balancers)
	}
	if m.effectiveState() == Alive {
		c.minBalancers += sign * int(m.Balancers)
	}
	if m.effectiveState() != m.State {
		c.unreachable += sign
	}
}

func (c *sizeTracker) start(v *View) {
	known := int(v.self.Balancers)
	for _, r := range v.settings.KnownMembers {
		if r.State < Left && r.Name != v.settings.Name && !v.settings.TakesOver {
			known += int(r.Balancers)
		}
	}
	c.configured = max(c.configured, known)
	c.started = true
	c.add(v.self, 1)
	c.publish(v)
}

// publish tells what has changed: at once what allows less, a part at a time what allows more.
func (c *sizeTracker) publish(v *View) {
	if !c.started {
		return
	}
	want := Size{MaxBalancers: max(c.maxBalancers, 1), MinBalancers: max(c.minBalancers, 1), Members: len(v.live) + len(v.dead) + 1, Live: len(v.live) + 1 - c.unreachable}
	if !v.settled && c.configured > want.MaxBalancers {
		want.MaxBalancers, want.FromFile = c.configured, true
	}
	next := want
	now := c.nextStepAt > 0 && v.now >= c.nextStepAt
	if was := c.reported; was.MaxBalancers > 0 {
		if want.MaxBalancers < was.MaxBalancers {
			next.MaxBalancers = was.MaxBalancers
			switch {
			case was.FromFile && !want.FromFile && v.now-v.self.stateSince < sizeStartPeriod: // nothing rests on the file's figure yet
				next.MaxBalancers = want.MaxBalancers
			case now:
				next.MaxBalancers = max(want.MaxBalancers, was.MaxBalancers-max(1, was.MaxBalancers/sizeSteps))
			}
		}
		if want.MinBalancers > was.MinBalancers {
			next.MinBalancers = was.MinBalancers
			if now {
				next.MinBalancers = min(want.MinBalancers, was.MinBalancers+max(1, was.MinBalancers/sizeSteps))
			}
		}
	}
	switch {
	case next.MaxBalancers == want.MaxBalancers && next.MinBalancers == want.MinBalancers:
		c.nextStepAt = 0
	case now || c.nextStepAt == 0:
		c.nextStepAt = v.now + sizeStepInterval
	}
	if next != c.reported {
		c.reported = next
		v.emit(SizeChanged{next})
	}
}
