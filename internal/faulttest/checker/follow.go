package checker

import "time"

// PropagationTimes is how long each thing that befell a daemon took until the last of the others knew of it.
type PropagationTimes struct {
	Crash, Leave, Join []time.Duration
	Unknown            int // that some did not learn, though they ran on
}

// MeasurePropagation reads it from lines up to a time. Who starts before a time joins with all others, and is not counted.
func MeasurePropagation(lines []Line, from, until int64) (all PropagationTimes) {
	type proc struct {
		name, life string
		up         bool
	}
	procs := map[int]*proc{}
	type open struct {
		at   int64
		name string
		life string
		want string
		need map[int]bool
		last int64
		into *[]time.Duration
	}
	var waiting []*open
	begin := func(l Line, want string, into *[]time.Duration) {
		p := procs[l.PID]
		if p == nil {
			return
		}
		o := &open{at: l.T, name: p.name, life: p.life, want: want, need: map[int]bool{}, into: into}
		for pid, q := range procs {
			if q.up && q.name != p.name {
				o.need[pid] = true
			}
		}
		waiting = append(waiting, o)
	}
	for _, l := range lines {
		if l.T > until {
			break
		}
		switch l.What {
		case Up:
			procs[l.PID] = &proc{name: l.Of, up: true}
		case Start:
			if p := procs[l.PID]; p != nil {
				if p.life = l.Life; l.T > from {
					begin(l, "alive", &all.Join)
				}
			}
		case Down:
			if p := procs[l.PID]; p != nil {
				p.up = false
				for _, o := range waiting { // it will not learn any more
					if delete(o.need, l.PID); len(o.need) == 0 && o.last > 0 {
						*o.into = append(*o.into, time.Duration(o.last-o.at))
						o.last = 0
					}
				}
				if l.Why == "kill" {
					begin(l, "dead", &all.Crash)
				}
			}
		case Leaving:
			begin(l, "left", &all.Leave)
		case Member:
			for _, o := range waiting {
				if len(o.need) > 0 && o.need[l.PID] && o.name == l.Of && l.Life == o.life && (l.State == o.want || o.want == "dead" && l.State == "left") {
					delete(o.need, l.PID)
					if o.last = l.T; len(o.need) == 0 {
						*o.into = append(*o.into, time.Duration(l.T-o.at))
						o.last = 0
					}
				}
			}
		}
	}
	for _, o := range waiting {
		if len(o.need) > 0 {
			all.Unknown++
		}
	}
	return all
}
