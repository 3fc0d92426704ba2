// Package topology says where members stand, in regions and zones, and how long and how lossy the ways between them
// are. It is drawn from a seed, holds no clock, and is the same for all that read it.
package topology

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// Path is what one way between two regions adds to the way within a site.
type Path struct {
	Delay, Jitter time.Duration // one way; a datagram takes Delay and up to Jitter more
	Loss          float64       // share of datagrams
}

// Cut takes all that goes from one region to another from Start until End.
type Cut struct {
	From, To   int // regions, from 0
	Both       bool
	Start, End time.Duration
}

// Layout is where each member stands. Members are numbered from 0, and so are regions and zones; zones are numbered
// through all regions.
type Layout struct {
	regions int
	zones   int // in each region
	zone    []int
	paths   [][]Path // by region from and to
	cuts    []Cut
}

// Spec says what to draw.
type Spec struct {
	Members int
	Regions int           // 0: 1
	Zones   int           // in each region; 0: 1
	RTT     time.Duration // there and back between any two regions; Set changes one pair
	Jitter  time.Duration // one way, between regions
	Loss    float64       // between regions
	// Seed shuffles who stands where; 0: member n stands in region n modulo Regions. Zones are even either way, to
	// one member.
	Seed uint64
}

// New draws a layout.
func New(s Spec) (*Layout, error) {
	l := &Layout{regions: max(1, s.Regions), zones: max(1, s.Zones)}
	if s.Members < 1 || s.Loss < 0 || s.Loss > 1 || s.RTT < 0 || s.Jitter < 0 {
		return nil, fmt.Errorf("topology: members %d, there and back %v, jitter %v, loss %v make no sense", s.Members, s.RTT, s.Jitter, s.Loss)
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

// Mixed is five regions whose pairs lie 20 to 250 ms apart, there and back: two near each other, one across an
// ocean, and two far from all.
func Mixed(members, zones int, seed uint64) (*Layout, error) {
	l, err := New(Spec{Members: members, Regions: len(mixed), Zones: zones, Seed: seed})
	if err != nil {
		return nil, err
	}
	for a := range mixed {
		for b := range a {
			l.Set(a, b, Path{Delay: time.Duration(mixed[a][b]) * time.Millisecond / 2})
		}
	}
	return l, nil
}

var mixed = [...][4]int{{}, {20}, {80, 80}, {120, 120, 160}, {160, 160, 250, 250}} // ms there and back, below the diagonal

// Regions is the number of regions.
func (l *Layout) Regions() int { return l.regions }

// Zones is the number of zones of all regions.
func (l *Layout) Zones() int { return l.regions * l.zones }

// Region is a member's region. Members past the last one begin anew with the first.
func (l *Layout) Region(n int) int { return l.Zone(n) / l.zones }

// Zone is a member's zone, counted over all regions. Members past the last one begin anew with the first.
func (l *Layout) Zone(n int) int { return l.zone[n%len(l.zone)] }

// RegionName is the name of a member's region, such as r2.
func (l *Layout) RegionName(n int) string { return "r" + strconv.Itoa(l.Region(n)+1) }

// ZoneName is the name of a member's zone, such as r2-z1.
func (l *Layout) ZoneName(n int) string {
	return l.RegionName(n) + "-z" + strconv.Itoa(l.Zone(n)%l.zones+1)
}

// InRegion lists the members of a region, ascending.
func (l *Layout) InRegion(region int) []int {
	return l.where(func(zone int) bool { return zone/l.zones == region })
}

// InZone lists the members of a zone, ascending.
func (l *Layout) InZone(zone int) []int { return l.where(func(z int) bool { return z == zone }) }

func (l *Layout) where(is func(zone int) bool) (all []int) {
	for n, zone := range l.zone {
		if is(zone) {
			all = append(all, n)
		}
	}
	return all
}

// Between is the path from one member to another at a time; a cut one loses all.
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
