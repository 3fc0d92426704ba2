package quota

import "testing"

// unrestricted returns a limit that applies to all classes, zones, cells and servers.
func unrestricted(name string, kind Kind) Limit {
	return Limit{Name: name, Kind: kind, Class: -1, Zone: -1, Cell: -1}
}

func TestLimitAppliesToItsDemands(t *testing.T) {
	restricted := func(change func(*Limit)) Limit {
		l := unrestricted("l", Attempts)
		change(&l)
		return l
	}
	ofClass := restricted(func(l *Limit) { l.Class = 1 })
	for _, c := range []struct {
		name   string
		limit  Limit
		demand Demand
		want   bool
	}{
		{"another class", ofClass, Demand{Class: 0}, false},
		{"its class", ofClass, Demand{Class: 1}, true},
		{"another zone", restricted(func(l *Limit) { l.Zone = 2 }), Demand{Zone: 1}, false},
		{"another cell", restricted(func(l *Limit) { l.Cell = 0 }), Demand{Cell: 1}, false},
		{"its server", restricted(func(l *Limit) { l.Server = "s" }), Demand{Server: "s"}, true},
		{"requests, a second attempt", unrestricted("l", Requests), Demand{FirstAttempt: false}, false},
		{"retries, a first attempt", unrestricted("l", Retries), Demand{FirstAttempt: true}, false},
		{"slow start, a warm server", unrestricted("l", SlowStart), Demand{SlowStart: false}, false},
		{"slow start, a server in it", unrestricted("l", SlowStart), Demand{SlowStart: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, applies := c.limit.partKey(&c.demand); applies != c.want {
				t.Errorf("applies is %v, want %v", applies, c.want)
			}
		})
	}
	t.Run("partitioned by server", func(t *testing.T) {
		l := unrestricted("l", SlowStart)
		l.Partition = PerServer
		if key, _ := l.partKey(&Demand{SlowStart: true, Server: "s7"}); key != "s7" {
			t.Errorf("part %q, want s7", key)
		}
	})
}
