package ejectionsim

import (
	"cmp"
	"fmt"
	"testing"
	"time"
)

// Members and servers are in three regions of three zones each. Number n is in region n modulo 3.
const (
	regions        = 3
	zonesPerRegion = 3
	regionMembers  = 54
	// regionSeeds is the number of seeds of the slow simulations. Each simulation takes 4 to 6 s with -race.
	regionSeeds = uint64(1)
	// earlyBound is the delay within which most members must eject a failing server.
	earlyBound = 3 * time.Second
)

func regionOf(n int) int { return n % regions }
func zoneOf(n int) int   { return n / regions % zonesPerRegion }

func localityOf(n int) (region, zone string) {
	region = fmt.Sprint("r", regionOf(n))
	return region, fmt.Sprint(region, "-z", zoneOf(n))
}

// partition separates the agents and servers inside from all others during the fault. It returns the loss of requests
// and the path of messages.
func partition(inside func(n int) bool) (linkLoss func(agent, server int, now time.Duration) float64, path func(from, to int, now time.Duration) (float64, time.Duration)) {
	loss := duringFault(func(a, b int) float64 {
		if inside(a) != inside(b) {
			return 1
		}
		return 0
	})
	return loss, func(from, to int, now time.Duration) (float64, time.Duration) {
		return loss(from, to, now), 20 * time.Millisecond
	}
}

// runRegions runs a simulation of 54 agents and 18 servers in three regions.
func runRegions(t *testing.T, o Options) *Result {
	t.Helper()
	o.Agents = regionMembers
	o.Servers = cmp.Or(o.Servers, 18)
	o.Rate = 10
	o.ErrorRate = 0.003
	o.LocalEjection = true
	o.ShareEvidence = true
	o.Duration = cmp.Or(o.Duration, 26*time.Second)
	if o.LocalityOf == nil {
		o.LocalityOf = localityOf
	}
	return runDefaults(t, o)
}

// forEachSeed runs a subtest for each of n seeds.
func forEachSeed(t *testing.T, n uint64, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range n {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { test(t, seed) })
	}
}

// countWithin returns the number of delays that are shorter than a bound.
func countWithin(delays []time.Duration, bound time.Duration) int {
	count := 0
	for _, d := range delays {
		if d < bound {
			count++
		}
	}
	return count
}

// Members of a partitioned region eject servers that they can't reach; members elsewhere don't eject these servers.
func TestPartitionedRegionEjectsNoServerElsewhere(t *testing.T) {
	linkLoss, path := partition(func(n int) bool { return regionOf(n) == 0 })
	r := runRegions(t, Options{Seed: 20, LinkLoss: linkLoss, PeerPath: path, Duration: faultEnd + 24*time.Second})
	if r.WrongReachable > 0 {
		t.Errorf("%d ejections at members that reach the server", r.WrongReachable)
	}
	if r.WrongEjections == 0 {
		t.Error("no member ejected a server that it can't reach: the partition was not exercised")
	}
	for _, e := range r.EndedEjections {
		if e.At > faultEnd+21*time.Second {
			t.Errorf("an ejection lasted until %v, the partition ended at %v", e.At, faultEnd)
		}
	}
	if r.Ejections != len(r.EndedEjections) {
		t.Errorf("%d ejections began, %d ended", r.Ejections, len(r.EndedEjections))
	}
}

// A server that fails inside a partitioned region is ejected inside, and a server that fails outside is ejected
// outside.
func TestEjectionsHoldInsideAPartitionedRegion(t *testing.T) {
	forEachSeed(t, regionSeeds, func(t *testing.T, seed uint64) {
		linkLoss, path := partition(func(n int) bool { return regionOf(n) == 0 })
		failureShare := func(s int, now time.Duration) float64 {
			if s <= 1 && now >= faultStart+2*time.Second && now < faultEnd {
				return 1
			}
			return 0
		}
		r := runRegions(t, Options{Seed: 30 + seed, LinkLoss: linkLoss, PeerPath: path, FailureShare: failureShare, Unresponsive: true})
		inside, outside := 0, 0
		for i, member := range r.EjectingMembers {
			switch {
			case r.EjectionDelays[i] > 10*time.Second: // ejected only after the partition has ended
			case regionOf(member) == 0:
				inside++
			default:
				outside++
			}
		}
		// All but the trial members eject the servers: there are 18 members inside and 36 outside.
		if inside < 12 || outside < 26 || r.WrongReachable > 0 {
			t.Errorf("ejected by %d inside and %d outside, %d wrong ejections at members that reach the server", inside, outside, r.WrongReachable)
		}
	})
}

// A partitioned zone counts as one reporter, even for its own members: they can't distinguish their lost link from
// failing servers.
func TestPartitionedZoneEjectsNoServer(t *testing.T) {
	forEachSeed(t, regionSeeds, func(t *testing.T, seed uint64) {
		inside := func(n int) bool { return n%2 == 0 } // half of all members, in one zone of three
		linkLoss, path := partition(inside)
		locality := func(n int) (string, string) {
			if inside(n) {
				return "r", "z0"
			}
			return "r", fmt.Sprint("z", 1+n/2%2)
		}
		r := runRegions(t, Options{Seed: 40 + seed, LinkLoss: linkLoss, PeerPath: path, LocalityOf: locality})
		if n := wrongMembersIn(r, inside); n > 0 || r.WrongReachable > 0 {
			t.Errorf("%d wrong ejections in the zone, %d at members that reach the server", n, r.WrongReachable)
		}
	})
}

// wrongMembersIn returns the number of wrong ejections by members inside.
func wrongMembersIn(r *Result, inside func(int) bool) int {
	count := 0
	for _, member := range r.WrongMembers {
		if inside(member) {
			count++
		}
	}
	return count
}

// Messages from one region to the others are lost, but not those in the opposite direction.
func TestOneWayLossEjectsOnlyFailingServers(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		path := func(from, to int, _ time.Duration) (float64, time.Duration) {
			if regionOf(from) == 0 && regionOf(to) != 0 {
				return 1, 0
			}
			return 0.1, 40 * time.Millisecond
		}
		r := runRegions(t, Options{Seed: 50 + seed, PeerPath: path, FailureShare: failingDuringFault(4, 1)})
		if r.WrongEjections > 0 || len(r.EjectionDelays) < 40 {
			t.Errorf("%d wrong ejections, ejected by %d of %d members", r.WrongEjections, len(r.EjectionDelays), regionMembers)
		}
	})
}

// Half of the members send messages with format 1.
func TestMembersOfMixedFormatsFindFailingServers(t *testing.T) {
	firstFormat := func(n int) bool { return n/3%2 == 0 }
	forEachSeed(t, regionSeeds, func(t *testing.T, seed uint64) {
		r := runRegions(t, Options{Seed: 60 + seed, UsesFirstFormat: firstFormat, FailureShare: failingDuringFault(4, 1)})
		early := countWithin(r.EjectionDelays, earlyBound)
		if r.WrongEjections > 0 || early < 40 {
			t.Errorf("%d wrong ejections, ejected by %d of %d members within %v: %v", r.WrongEjections, early, regionMembers, earlyBound, r.EjectionDelays)
		}
		linkLoss := duringFault(func(agent, server int) float64 { // half of the members can't reach one server
			if server == 3 && agent%2 == 0 {
				return 1
			}
			return 0
		})
		if r := runRegions(t, Options{Seed: 60 + seed, UsesFirstFormat: firstFormat, LinkLoss: linkLoss}); r.WrongEjections > 0 {
			t.Errorf("%d wrong ejections by broken links", r.WrongEjections)
		}
	})
}

// Members exchange reports only about the lists that they read. Even the few subscribers of a list eject a failing
// server quickly.
func TestFailingServerIsEjectedByItsSubscribers(t *testing.T) {
	const serversPerList = 18
	serversOf := func(agent int) (servers []int) {
		first := agent / serversPerList * serversPerList
		for s := range serversPerList {
			servers = append(servers, first+s)
		}
		return servers
	}
	forEachSeed(t, 2, func(t *testing.T, seed uint64) {
		r := runRegions(t, Options{
			Seed:         70 + seed,
			Servers:      3 * serversPerList,
			FailureShare: failingDuringFault(4, 1),
			ListOf:       func(server int) string { return fmt.Sprint("list-", server/serversPerList) },
			ServersOf:    serversOf,
		})
		for _, member := range r.EjectingMembers {
			if member >= serversPerList {
				t.Errorf("ejected by member %d, which does not read the list", member)
			}
		}
		early := countWithin(r.EjectionDelays, earlyBound)
		if r.WrongEjections > 0 || early < 12 {
			t.Errorf("%d wrong ejections, ejected by %d of %d members within %v", r.WrongEjections, early, serversPerList, earlyBound)
		}
	})
}
