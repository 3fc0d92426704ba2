// Package topology places members in regions and zones and gives the delay and loss of the network paths between them.
// A layout is drawn from a seed and reads no clock: callers pass the time, so the same arguments give the same path.
package topology

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// Path is the delay and loss of one direction between two regions, in addition to those within a site.
type Path struct {
	Delay, Jitter time.Duration // one way; a datagram takes Delay plus up to Jitter
	Loss          float64       // share of datagrams that are lost
}

// Cut drops all traffic from one region to another from Start until End.
type Cut struct {
	From, To   int // regions, numbered from 0
	Both       bool
	Start, End time.Duration
}

// Layout is the placement of all members. Members, regions and zones are numbered from 0; zones are numbered across all
// regions.
type Layout struct {
	regions int
	zones   int // in each region
	zone    []int
	paths   [][]Path // by sending and receiving region
	cuts    []Cut
}

// Spec describes the layout to draw.
type Spec struct {
	Members int
	Regions int           // 0: 1
	Zones   int           // in each region; 0: 1
	RTT     time.Duration // round trip between any two regions; Set changes one pair
	Jitter  time.Duration // one way, between regions
	Loss    float64       // between regions
	// Seed shuffles the placement; 0: member n is in region n modulo Regions. In both cases the sizes of zones differ
	// by at most one member.
	Seed uint64
}

// New draws a layout.
func New(s Spec) (*Layout, error) {
	l := &Layout{regions: max(1, s.Regions), zones: max(1, s.Zones)}
	if s.Members < 1 || s.Loss < 0 || s.Loss > 1 || s.RTT < 0 || s.Jitter < 0 {
		return nil, fmt.Errorf("topology: invalid spec: members %d, RTT %v, jitter %v, loss %v", s.Members, s.RTT, s.Jitter, s.Loss)
	}
	places := make([]int, s.Members)
	for n := range places {
		places[n] = n
	}
	if s.Seed != 0 {
		places = rand.New(rand.NewPCG(s.Seed, 51)).Perm(s.Members)
	}
	l.zone = make([]int, s.Members)
	for n, place := range places {
		l.zone[n] = place%l.regions*l.zones + place/l.regions%l.zones
	}
	l.paths = make([][]Path, l.regions)
	for from := range l.paths {
		l.paths[from] = make([]Path, l.regions)
		for to := range l.paths[from] {
			if from != to {
				l.paths[from][to] = Path{Delay: s.RTT / 2, Jitter: s.Jitter, Loss: s.Loss}
			}
		}
	}
	return l, nil
}

// Set gives one pair of regions its own path, in both directions.
func (l *Layout) Set(a, b int, p Path) { l.paths[a][b], l.paths[b][a] = p, p }

// SetOneWay gives one direction its own path.
func (l *Layout) SetOneWay(from, to int, p Path) { l.paths[from][to] = p }

// Cut adds a cut.
func (l *Layout) Cut(c Cut) { l.cuts = append(l.cuts, c) }

// CutOff cuts a region from all others, both ways.
func (l *Layout) CutOff(region int, start, end time.Duration) {
	for to := range l.regions {
		if to != region {
			l.Cut(Cut{From: region, To: to, Both: true, Start: start, End: end})
		}
	}
}

// Mixed returns a layout of five regions with round trips of 20 to 250 ms between them: two regions are near each
// other, one is across an ocean, and two are far from all others.
func Mixed(members, zones int, seed uint64) (*Layout, error) {
	l, err := New(Spec{Members: members, Regions: len(mixedRTTs), Zones: zones, Seed: seed})
	if err != nil {
		return nil, err
	}
	for a := range mixedRTTs {
		for b := range a {
			l.Set(a, b, Path{Delay: time.Duration(mixedRTTs[a][b]) * time.Millisecond / 2})
		}
	}
	return l, nil
}

// mixedRTTs are the round-trip times between the regions of Mixed in ms, below the diagonal.
var mixedRTTs = [...][4]int{{}, {20}, {80, 80}, {120, 120, 160}, {160, 160, 250, 250}}

// Regions returns the number of regions.
func (l *Layout) Regions() int { return l.regions }

// Zones returns the number of zones of all regions.
func (l *Layout) Zones() int { return l.regions * l.zones }

// Region returns a member's region. Numbers past the last member wrap around to the first.
func (l *Layout) Region(n int) int { return l.Zone(n) / l.zones }

// Zone returns a member's zone, numbered across all regions. Numbers past the last member wrap around to the first.
func (l *Layout) Zone(n int) int { return l.zone[n%len(l.zone)] }

// RegionName returns the name of a member's region, such as r2.
func (l *Layout) RegionName(n int) string { return "r" + strconv.Itoa(l.Region(n)+1) }

// ZoneName returns the name of a member's zone, such as r2-z1.
func (l *Layout) ZoneName(n int) string {
	return l.RegionName(n) + "-z" + strconv.Itoa(l.Zone(n)%l.zones+1)
}

// InRegion lists the members of a region, ascending.
func (l *Layout) InRegion(region int) []int {
	return l.membersInZones(func(zone int) bool { return zone/l.zones == region })
}

// InZone lists the members of a zone, ascending.
func (l *Layout) InZone(zone int) []int {
	return l.membersInZones(func(z int) bool { return z == zone })
}

func (l *Layout) membersInZones(is func(zone int) bool) (all []int) {
	for n, zone := range l.zone {
		if is(zone) {
			all = append(all, n)
		}
	}
	return all
}

// Between returns the path from one member to another at a time. A path that is cut loses all datagrams.
func (l *Layout) Between(from, to int, now time.Duration) Path {
	a, b := l.Region(from), l.Region(to)
	if a == b {
		return l.paths[a][b]
	}
	for i := range l.cuts {
		c := &l.cuts[i]
		if now >= c.Start && now < c.End && (c.From == a && c.To == b || c.Both && c.From == b && c.To == a) {
			return Path{Delay: l.paths[a][b].Delay, Loss: 1}
		}
	}
	return l.paths[a][b]
}
