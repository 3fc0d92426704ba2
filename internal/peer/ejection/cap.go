package ejection

import (
	"cmp"
	"slices"
)

// overCap returns the ejected servers that agents use nevertheless, because otherwise more than MaxEjectedShare of
// their zone or pod would be ejected. The servers with the highest failure shares stay ejected and, among equal ones,
// those that were ejected first. If a zone or pod has several servers, one of them may always be ejected.
func (m *Member) overCap() map[string]bool {
	var ejected []*server
	for _, s := range m.active {
		if s.isEjected() && s.State == Up {
			ejected = append(ejected, s)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.failureShare, a.failureShare), cmp.Compare(a.ejectedAt, b.ejectedAt), cmp.Compare(a.ID, b.ID))
	})
	over := map[string]bool{}
	effective := make([]int, len(m.upServers)) // by failure domain
	for _, s := range ejected {
		for _, domain := range s.failureDomains {
			if effective[domain] >= m.maxEjected(domain) {
				over[s.ID] = true
			}
		}
		if over[s.ID] {
			continue
		}
		for _, domain := range s.failureDomains {
			effective[domain]++
		}
	}
	return over
}

// maxEjected returns the maximum number of ejected servers in a failure domain.
func (m *Member) maxEjected(domain int) int {
	servers := m.upServers[domain]
	allowed := int(m.settings.MaxEjectedShare * float64(servers))
	if allowed == 0 && servers > 1 {
		return 1
	}
	return allowed
}
