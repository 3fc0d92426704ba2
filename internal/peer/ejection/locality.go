package ejection

// independentLocalities reports whether failures without a response are reported from enough failure domains that no
// single broken link explains them. All reporters in a zone count as one. One of two conditions must hold:
//
//   - The reporters are in more than half of the zones of this member's own region, and their number in that region is
//     sufficient for a fleet of only its subscribers. A partitioned region can therefore eject servers without the others.
//   - The reporters are in more than half of the regions.
//
// If all members are in one zone, localities can't be distinguished and the result is true.
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
			continue // the reporter is not among the live members, so its locality is unknown
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

// subscribersInRegion returns the number of subscribers in a region.
func (m *Member) subscribersInRegion(c *subscribers, region string) int {
	count := 0
	for _, name := range c.names {
		if p := m.peer(name); p != nil && p.Region == region {
			count++
		}
	}
	return count
}
