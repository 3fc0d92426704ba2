package checker

import (
	"slices"
)

// brokenLinkLoss is the share of datagrams from which on a link counts as broken.
const brokenLinkLoss = 0.35

// partitionLoss is the share from which on nothing is to be heard through it.
const partitionLoss = 0.95

type pair struct{ from, to string }

// components finds who can reach whom by any way, in both directions; pauses are not counted.
func (j *checker) components() {
	j.componentOf = map[string]int{}
	var names []string
	for _, pid := range j.order {
		if p := j.processes[pid]; p.up && !slices.Contains(names, p.name) {
			names = append(names, p.name)
		}
	}
	if len(j.lossRates) == 0 {
		for _, n := range names {
			j.componentOf[n] = 1
		}
		return
	}
	next := 0
	for _, n := range names {
		if j.componentOf[n] > 0 {
			continue
		}
		next++
		j.componentOf[n] = next
		for todo := []string{n}; len(todo) > 0; {
			a := todo[0]
			todo = todo[1:]
			for _, b := range names {
				if j.componentOf[b] == 0 && j.lossRates[pair{a, b}] < brokenLinkLoss && j.lossRates[pair{b, a}] < brokenLinkLoss {
					j.componentOf[b] = next
					todo = append(todo, b)
				}
			}
		}
	}
}

func (j *checker) canReach(a, b *process) bool {
	if j.componentOf == nil {
		j.components()
	}
	return j.componentOf[a.name] > 0 && j.componentOf[a.name] == j.componentOf[b.name]
}

func (j *checker) linkedObservers(p *process) []*process {
	var all []*process
	for _, pid := range j.order {
		if o := j.processes[pid]; o != p && o.name != p.name && o.up && !o.leaving && !o.duplicate && !o.standingBy && j.canReach(o, p) {
			all = append(all, o)
		}
	}
	return all
}

// areLinksHealthy reports whether links have been whole for a while.
func (j *checker) areLinksHealthy(t int64) bool {
	if t-j.linksChangedAt < int64(j.bounds.Settle) {
		return false
	}
	for _, d := range j.lossRates {
		if d > 0.1 {
			return false
		}
	}
	return true
}

// areLinksUndisturbed reports whether no link costs its daemons more than rest does: what is lost is sent again, what is doubled
// is answered twice.
func (j *checker) areLinksUndisturbed() bool {
	for p, d := range j.lossRates {
		if d > 0.01 || j.impairedLinks[p] {
			return false
		}
	}
	return true
}

// isPartitioned reports whether a region is cut off from another one.
func (j *checker) isPartitioned(region string) bool {
	if j.partitionedRegions == nil {
		of := map[string]string{}
		for _, p := range j.processes {
			of[p.name] = p.region
		}
		j.partitionedRegions = map[string]bool{}
		for l, d := range j.lossRates {
			if a, b := of[l.from], of[l.to]; d >= partitionLoss && a != "" && b != "" && a != b {
				j.partitionedRegions[a], j.partitionedRegions[b] = true, true
			}
		}
	}
	return j.partitionedRegions[region]
}

// delayAllowance is how much links add there and back between two daemons, as often as the bounds have it.
func (j *checker) delayAllowance(o, p *process) int64 {
	return int64(j.bounds.RoundTrips) * int64(j.oneWayDelays[pair{o.name, p.name}]+j.oneWayDelays[pair{p.name, o.name}])
}

// couldReachForLong reports whether two could reach each other for long enough.
func (j *checker) couldReachForLong(o, p *process, t int64) bool {
	return t-j.linksChangedAt > int64(j.bounds.Settle) && t-p.startedAt > int64(j.bounds.Join) && t-o.startedAt > int64(j.bounds.Join) && j.canReach(o, p)
}
