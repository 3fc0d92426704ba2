package checker

// checkCountIsEnough checks that a daemon divides shared limits by at least its own balancers plus the running ones of
// the processes that its view has contained.
func (ck *checker) checkCountIsEnough(o *process) {
	if !o.up || !o.hasCounted || o.standingBy || o.pausedAt > 0 {
		return
	}
	run := o.balancers
	for pid := range o.knownProcesses {
		if p := ck.processes[pid]; p.up && !p.leaving && !p.standingBy && p.name != o.name {
			run += p.balancers
		}
	}
	ck.countEnough.Tried++
	ck.countEnough.recordMargin(float64(-(o.countedBalancers - run)), "%d more than are running", o.countedBalancers-run)
	if o.countedBalancers < run {
		ck.countEnough.recordBreak(ck.now, ck.base, "%s divides by %d, but %d that it has known are running", o.name, o.countedBalancers, run)
	}
}

// checkCounts checks, at rest, that each daemon divides by exactly the balancers of the members in its view that have
// not left.
func (ck *checker) checkCounts(t int64) {
	for _, pid := range ck.order {
		o := ck.processes[pid]
		if !o.up || o.leaving || o.standingBy || o.pausedAt > 0 || !o.hasCounted {
			continue
		}
		expected := o.balancers
		for _, name := range sortedKeys(o.view) {
			if s := o.view[name]; s.state != "left" {
				if p := ck.findIncarnation(name, s.incarnation); p != nil {
					expected += p.balancers
				}
			}
		}
		ck.countExact.Tried++
		ck.countExact.recordMargin(float64(max(o.countedBalancers-expected, expected-o.countedBalancers)), "%d off", max(o.countedBalancers-expected, expected-o.countedBalancers))
		if o.countedBalancers != expected {
			ck.countExact.recordBreak(t, ck.base, "%s divides by %d, but %d are running or silent", o.name, o.countedBalancers, expected)
		}
	}
}
