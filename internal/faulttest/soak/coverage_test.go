package soak

import "fmt"

// coverage returns the extra incidents (extraincidents.go) that a set of plans contains.
func coverage(plans []Plan) map[string]bool {
	have := map[string]bool{}
	for _, p := range plans {
		if p.deadline() == documentedDeadline {
			have["the documented deadline"] = true
		}
		for _, t := range p.Incidents {
			switch t.Kind {
			case AgentSignals:
				have[fmt.Sprint("series ", t.Way)] = true
			case DirectoriesFaulty:
				have[fmt.Sprint("directory fault ", t.Way)] = true
			case Crowd, Quiet:
				have[string(t.Kind)] = true
			}
		}
	}
	return have
}
