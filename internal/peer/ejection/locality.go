package ejection

// independentLocalities reports whether failures without a response come from enough failure domains that no single
// broken link explains them. All reporters of a zone count as one. It takes either more than half of the zones of this
// member's own region, with as many reporters as that region alone would need, so that a region that is partitioned
// decides for itself; or more than half of the regions. Where all members are in one zone, they cannot be distinguished.
func (m *Member) independentLocalities(s *server, reporters []*report) bool {
	c := m.subscribers(s.source)
	if c.zones.size() < 2 {
		return true
	}
	ownRegion := ""
	if self := m.peer(m.settings.Name); self != nil {
		ownRegion = self.Region
	}
	reporting := zoneSet{}
	reportersInRegion := 0
	for _, r := range reporters {
		p := m.peer(r.origin)
		if p == nil {
			continue // it is not alive, as far as is known, and has no locality
		}
		reporting.add(p)
		if p.Region == ownRegion {
			reportersInRegion++
		}
	}
	zones := len(c.zones[ownRegion])
	if zones > 1 && 2*len(reporting[ownRegion]) > zones && reportersInRegion >= unresponsiveReportersOf(m.subscribersInRegion(c, ownRegion)) {
		return true
	}
	return len(c.zones) > 1 && 2*len(reporting) > len(c.zones)
}

// subscribersInRegion returns how many subscribers are in a region.
func (m *Member) subscribersInRegion(c *subscribers, region string) int {
	count := 0
	for _, name := range c.names {
		if p := m.peer(name); p != nil && p.Region == region {
			count++
		}
	}
	return count
}
