package topology

import (
	"slices"
	"testing"
	"time"
)

func TestZonesAreEvenAndDependOnSeed(t *testing.T) {
	draw := func(seed uint64) *Layout {
		l, err := New(Spec{Members: 151, Regions: 5, Zones: 3, RTT: 80 * time.Millisecond, Seed: seed})
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	for _, seed := range []uint64{0, 1, 2} {
		l := draw(seed)
		total := 0
		for zone := range l.Zones() {
			in := l.InZone(zone)
			if total += len(in); len(in) < 10 || len(in) > 11 {
				t.Errorf("seed %d: %d members in zone %d of 15, want 10 or 11 of 151", seed, len(in), zone)
			}
			for _, n := range in {
				if l.Region(n) != zone/3 || !slices.Contains(l.InRegion(zone/3), n) {
					t.Errorf("seed %d: member %d of zone %d is in region %d", seed, n, zone, l.Region(n))
				}
			}
		}
		if total != 151 || !slices.Equal(l.zone, draw(seed).zone) {
			t.Errorf("seed %d: %d members placed, want 151, or a second draw differs", seed, total)
		}
	}
	if slices.Equal(draw(1).zone, draw(2).zone) {
		t.Error("two seeds give the same placement")
	}
	if l := draw(0); l.Region(7) != 2 || l.RegionName(7) != "r3" || l.ZoneName(7) != "r3-z2" {
		t.Errorf("member 7 is in %s, %s, want r3, r3-z2", l.RegionName(7), l.ZoneName(7))
	}
}

func TestPathsAndCutsApplyToTheirPairsOnly(t *testing.T) {
	l, err := New(Spec{Members: 10, Regions: 5, RTT: 80 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	l.Set(0, 1, Path{Delay: time.Millisecond, Loss: 0.5})
	l.CutOff(4, time.Second, 2*time.Second)
	l.Cut(Cut{From: 2, To: 3, Start: 0, End: time.Second})
	far := Path{Delay: 40 * time.Millisecond}
	for _, c := range []struct {
		from, to int
		now      time.Duration
		want     Path
	}{
		{0, 5, 0, Path{}}, // same region
		{0, 2, 0, far},
		{6, 0, 0, Path{Delay: time.Millisecond, Loss: 0.5}},
		{4, 0, 0, far},
		{4, 0, time.Second, Path{Delay: far.Delay, Loss: 1}},
		{0, 9, time.Second, Path{Delay: far.Delay, Loss: 1}},
		{4, 9, time.Second, Path{}},
		{0, 9, 2 * time.Second, far},
		{2, 3, 0, Path{Delay: far.Delay, Loss: 1}},
		{3, 2, 0, far}, // cut one way
	} {
		if got := l.Between(c.from, c.to, c.now); got != c.want {
			t.Errorf("%d to %d at %v: %+v, want %+v", c.from, c.to, c.now, got, c.want)
		}
	}
	if m, err := Mixed(10, 3, 0); err != nil || m.Between(0, 1, 0).Delay != 10*time.Millisecond || m.Between(4, 3, 0).Delay != 125*time.Millisecond || m.Between(1, 2, 0) != m.Between(2, 1, 0) {
		t.Errorf("mixed layout: error %v, %+v", err, m)
	}
}

func TestInvalidSpecIsRejected(t *testing.T) {
	for _, s := range []Spec{{}, {Members: 3, Loss: 2}, {Members: 3, RTT: -1}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v was accepted", s)
		}
	}
}
