package checker

// checkCountIsEnough looks whether a daemon divides by as many as run that it has known.
func (j *checker) checkCountIsEnough(o *process) {
	if !o.up || !o.hasCounted || o.standingBy || o.pausedAt > 0 {
		return
	}
	run := o.balancers
	for pid := range o.knownProcesses {
		if p := j.processes[pid]; p.up && !p.leaving && !p.standingBy && p.name != o.name {
			run += p.balancers
		}
	}
	j.countEnough.Tried++
	j.countEnough.recordMargin(float64(-(o.countedBalancers - run)), "%d more than run", o.countedBalancers-run)
	if o.countedBalancers < run {
		j.countEnough.recordBreak(j.now, j.base, "%s divides by %d, and %d run that it has known", o.name, o.countedBalancers, run)
	}
}

// checkCounts looks at the counts at rest.
func (j *checker) checkCounts(t int64) {
	for _, pid := range j.order {
		o := j.processes[pid]
		if !o.up || o.leaving || o.standingBy || o.pausedAt > 0 || !o.hasCounted {
			continue
		}
		expected := o.balancers
		for _, name := range sortedKeys(o.view) {
			if s := o.view[name]; s.state != "left" {
				if p := j.findIncarnation(name, s.incarnation); p != nil {
					expected += p.balancers
				}
			}
		}
		j.countFollows.Tried++
		j.countFollows.recordMargin(float64(max(o.countedBalancers-expected, expected-o.countedBalancers)), "%d off", max(o.countedBalancers-expected, expected-o.countedBalancers))
		if o.countedBalancers != expected {
			j.countFollows.recordBreak(t, j.base, "%s divides by %d, and %d run or are silent", o.name, o.countedBalancers, expected)
		}
	}
}
