package checker

import "time"

// tallied is a daemon's service while nothing but its peers could hinder it.
type tallied struct{ asked, served int }

// settling is how long a second of requests must be clear of starts, pauses and cuts: the line comes three seconds
// after it, and what was under way then tells of those, not of peers.
const settling = int64(6 * time.Second)

// serving is the process that a daemon's clients meet; nil: none.
func (j *judge) serving(name string) *process {
	for _, pid := range j.order {
		if p := j.pids[pid]; p.name == name && p.up && !p.twin {
			return p
		}
	}
	return nil
}

// service takes a second of a daemon's requests.
func (j *judge) service(l *Line) {
	if until, cut := j.cuts[l.Of]; cut && l.T < until {
		return
	}
	p := j.serving(l.Of)
	if p == nil || p.ending || p.left || p.paused > 0 || l.T-p.started < settling || p.resumed > 0 && l.T-p.resumed < settling || l.T < p.starved+settling {
		return
	}
	j.served.Tried += l.Asked
	t := j.tallies[l.Of]
	j.tallies[l.Of] = tallied{t.asked + l.Asked, t.served + l.Served}
}

func (j *judge) services() {
	for _, who := range sortedKeys(j.tallies) {
		t := j.tallies[who]
		if t.asked == 0 {
			continue
		}
		share := float64(t.served) / float64(t.asked)
		j.served.near(-share, "%.2f%% of %d (%s)", 100*share, t.asked, who)
		if share < j.b.Served {
			j.served.fail(j.now, j.base, "%s served %.2f%% of %d requests", who, 100*share, t.asked)
		}
	}
}
