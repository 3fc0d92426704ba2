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

// counter keeps the sums, and tells them without a step where they allow more.
type counter struct {
	file        int
	most, least int
	hidden      int // members alive or suspect that can't be reached
	told        Size
	at          time.Duration // the next part of a change is due; 0: none is
	began       bool
}

const (
	countEase  = time.Second      // between two parts of a change that allows more
	easeParts  = 10               // a tenth at a time, or one
	countStart = 10 * time.Second // of a life: by then it has met the fleet, and serves little yet
)

// add books a member's record, with sign 1, or takes it off, with -1.
func (c *counter) add(m *member, sign int) {
	if m.State < Left {
		c.most += sign * int(m.Balancers)
	}
	if m.shown() == Alive {
		c.least += sign * int(m.Balancers)
	}
	if m.shown() != m.State {
		c.hidden += sign
	}
}

func (c *counter) start(v *View) {
	known := int(v.self.Balancers)
	for _, r := range v.s.Known {
		if r.State < Left && r.Name != v.s.Name && !v.s.TakesOver {
			known += int(r.Balancers)
		}
	}
	c.file = max(c.file, known)
	c.began = true
	c.add(v.self, 1)
	c.due(v)
}

// due tells what has changed: at once what allows less, a part at a time what allows more.
func (c *counter) due(v *View) {
	if !c.began {
		return
	}
	want := Size{MaxBalancers: max(c.most, 1), MinBalancers: max(c.least, 1), Members: len(v.live) + len(v.silent) + 1, Live: len(v.live) + 1 - c.hidden}
	if !v.settled && c.file > want.MaxBalancers {
		want.MaxBalancers, want.FromFile = c.file, true
	}
	next := want
	now := c.at > 0 && v.now >= c.at
	if was := c.told; was.MaxBalancers > 0 {
		if want.MaxBalancers < was.MaxBalancers {
			next.MaxBalancers = was.MaxBalancers
			switch {
			case was.FromFile && !want.FromFile && v.now-v.self.since < countStart: // nothing rests on the file's figure yet
				next.MaxBalancers = want.MaxBalancers
			case now:
				next.MaxBalancers = max(want.MaxBalancers, was.MaxBalancers-max(1, was.MaxBalancers/easeParts))
			}
		}
		if want.MinBalancers > was.MinBalancers {
			next.MinBalancers = was.MinBalancers
			if now {
				next.MinBalancers = min(want.MinBalancers, was.MinBalancers+max(1, was.MinBalancers/easeParts))
			}
		}
	}
	switch {
	case next.MaxBalancers == want.MaxBalancers && next.MinBalancers == want.MinBalancers:
		c.at = 0
	case now || c.at == 0:
		c.at = v.now + countEase
	}
	if next != c.told {
		c.told = next
		v.do(SizeChanged{next})
	}
}
