package soak

import "fmt"

// coverage names what a set of plans plays of the troubles that are drawn apart (crossings.go).
func coverage(plans []Plan) map[string]bool {
	have := map[string]bool{}
	for _, p := range plans {
		if p.deadline() == pageDeadline {
			have["the pages' deadline"] = true
		}
		for _, t := range p.Incidents {
			switch t.Kind {
			case AgentSignals:
				have[fmt.Sprint("series ", t.Way)] = true
			case DirectoriesTroubled:
				have[fmt.Sprint("directory fault ", t.Way)] = true
			case Crowd, Quiet:
				have[string(t.Kind)] = true
			}
		}
	}
	return have
}
