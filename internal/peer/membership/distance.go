package membership

import "time"

// distance is what probes have shown of a way there and back: a smoothed round-trip time and its mean deviation
// (Jacobson, 1988; RFC 6298), by this member's clock alone. 16 bytes for each member.
type distance struct {
	mean, dev float32 // seconds; mean 0: nothing is known
	at        float32 // seconds, when it was last measured
}

const (
	firstWait     = 300 * time.Millisecond // for one of whom nothing is known: a way there and back of 250 ms, and a fifth
	waitMost      = time.Second            // a probe waits no longer than this, or than direct where that is more
	distanceFresh = 60                     // seconds that a member's own figure stands alone; later its place's counts too
	placesMost    = 256                    // zones whose distance is kept
)

func (d *distance) add(sample, now time.Duration) {
	s := float32(max(sample, time.Microsecond).Seconds())
	if d.mean == 0 {
		d.mean, d.dev = s, s/2
	} else {
		off := s - d.mean
		d.mean += off / 8
		d.dev += (max(off, -off) - d.dev) / 4
	}
	d.at = float32(now.Seconds())
}

// wait is how long an answer may take: the mean and four deviations.
func (d *distance) wait() time.Duration {
	return time.Duration(float64(d.mean+4*d.dev) * float64(time.Second))
}

// place is where members stand alike.
type place struct{ region, zone string }

// measured takes the time that a member took to answer.
func (v *View) measured(m *member, took time.Duration) {
	m.distance.add(took, v.now)
	for _, at := range [...]place{{m.Region, m.Zone}, {m.Region, ""}} {
		d := v.places[at]
		if d == nil {
			if len(v.places) >= placesMost {
				continue
			}
			d = &distance{}
			v.places[at] = d
		}
		d.add(took, v.now)
		if m.Zone == "" {
			break
		}
	}
}

// wayBack is how long a way to a member and back takes, at the most, as far as is known: by its own answers, else by
// those of its zone, else of its region.
func (v *View) wayBack(m *member) time.Duration {
	own, seen := &m.distance, m.distance.mean > 0
	if seen && float32(v.now.Seconds())-own.at < distanceFresh {
		return min(own.wait(), waitMost)
	}
	for _, at := range [...]place{{m.Region, m.Zone}, {m.Region, ""}} {
		if d := v.places[at]; d != nil {
			if seen {
				return min(max(own.wait(), d.wait()), waitMost)
			}
			return min(d.wait(), waitMost)
		}
	}
	if seen {
		return min(own.wait(), waitMost)
	}
	return max(firstWait, v.s.ProbeTimeout)
}

// direct is how long a probe of a member waits for its own answer.
func (v *View) direct(m *member) time.Duration { return max(v.s.ProbeTimeout, v.wayBack(m)) }

// indirect is how long it then waits for a helper's: the helper waits itself, and its word has its own way.
func (v *View) indirect(m *member, helpers []*member) time.Duration {
	wait := v.s.IndirectTimeout
	for _, h := range helpers {
		way := v.wayBack(h)
		wait = max(wait, max(v.direct(m), way)+way)
	}
	return wait
}

// late is a question that was given up. If its answer comes all the same, it tells the distance.
type late struct {
	seq    uint32
	target string
	at     time.Duration
}

const (
	lateKept = 64
	lateFor  = 5 * time.Second
)

func (v *View) gaveUp(seq uint32, target string, at time.Duration) {
	if len(v.lates) >= lateKept {
		v.lates = append(v.lates[:0], v.lates[1:]...)
	}
	v.lates = append(v.lates, late{seq, target, at})
}

// answeredLate takes the distance from an answer to a question that was given up.
func (v *View) answeredLate(m *Message) {
	for i, l := range v.lates {
		if l.seq == m.Seq && l.target == m.Target && m.From == m.Target {
			v.lates = append(v.lates[:i], v.lates[i+1:]...)
			if t := v.members[l.target]; t != nil && v.now-l.at < lateFor {
				v.measured(t, v.now-l.at)
			}
			return
		}
	}
}
