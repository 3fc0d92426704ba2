package checker

import (
	"slices"
)

// brokenLinkLoss is the share of lost datagrams from which a link counts as broken.
const brokenLinkLoss = 0.35

// partitionLoss is the share of lost datagrams from which a link counts as cut.
const partitionLoss = 0.95

type pair struct{ from, to string }

// components computes the connected components of the running daemons, over links that work in both directions. Paused
// daemons count as running.
func (ck *checker) components() {
	ck.componentOf = map[string]int{}
	var names []string
	for _, pid := range ck.order {
		if p := ck.processes[pid]; p.up && !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	if len(ck.lossRates) == 0 {
		for _, n := range names {
			ck.componentOf[n] = 1
		}
		return
	}
	next := 0
	for _, n := range names {
		if ck.componentOf[n] > 0 {
			continue
		}
		next++
		ck.componentOf[n] = next
		for todo := []string{n}; len(todo) > 0; {
			a := todo[0]
			todo = todo[1:]
			for _, b := range names {
				if ck.componentOf[b] == 0 && ck.lossRates[pair{a, b}] < brokenLinkLoss && ck.lossRates[pair{b, a}] < brokenLinkLoss {
					ck.componentOf[b] = next
					todo = append(todo, b)
				}
			}
		}
	}
}

func (ck *checker) canReach(a, b *process) bool {
	if ck.componentOf == nil {
		ck.components()
	}
	return ck.componentOf[a.name] > 0 && ck.componentOf[a.name] == ck.componentOf[b.name]
}

func (ck *checker) linkedObservers(p *process) []*process {
	var all []*process
	for _, pid := range ck.order {
		if o := ck.processes[pid]; o != p && o.name != p.name && o.up && !o.leaving && !o.duplicate && !o.standingBy && ck.canReach(o, p) {
			all = append(all, o)
		}
	}
	return all
}

// areLinksHealthy reports whether no link changed within the settle time and none loses more than 10% of datagrams.
func (ck *checker) areLinksHealthy(t int64) bool {
	if t-ck.linksChangedAt < int64(ck.bounds.Settle) {
		return false
	}
	for _, d := range ck.lossRates {
		if d > 0.1 {
			return false
		}
	}
	return true
}

// areLinksUndisturbed reports whether no link causes additional traffic: lost messages are sent again, and duplicated
// ones are answered twice.
func (ck *checker) areLinksUndisturbed() bool {
	for p, d := range ck.lossRates {
		if d > 0.01 || ck.impairedLinks[p] {
			return false
		}
	}
	return true
}

// isPartitioned reports whether a region is cut off from another region.
func (ck *checker) isPartitioned(region string) bool {
	if ck.partitionedRegions == nil {
		of := map[string]string{}
		for _, p := range ck.processes {
			of[p.name] = p.region
		}
		ck.partitionedRegions = map[string]bool{}
		for l, d := range ck.lossRates {
			if a, b := of[l.from], of[l.to]; d >= partitionLoss && a != "" && b != "" && a != b {
				ck.partitionedRegions[a], ck.partitionedRegions[b] = true, true
			}
		}
	}
	return ck.partitionedRegions[region]
}

// delayAllowance returns the round-trip time that links add between two daemons, times Bounds.RoundTrips.
func (ck *checker) delayAllowance(o, p *process) int64 {
	return int64(ck.bounds.RoundTrips) * int64(ck.oneWayDelays[pair{o.name, p.name}]+ck.oneWayDelays[pair{p.name, o.name}])
}

// couldReachForLong reports whether two processes have been running and linked for long enough that each must be in the
// other's view.
func (ck *checker) couldReachForLong(o, p *process, t int64) bool {
	return t-ck.linksChangedAt > int64(ck.bounds.Settle) && t-p.startedAt > int64(ck.bounds.Join) && t-o.startedAt > int64(ck.bounds.Join) && ck.canReach(o, p)
}
