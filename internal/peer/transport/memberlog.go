package transport

import (
	"strconv"
	"time"

	"vetchhaven/internal/peer/membership"
)

// logAction logs the changes of the view that are relevant to operators, with one line for each.
func (tr *Transport) logAction(a membership.Action) {
	switch a := a.(type) {
	case membership.RegionReachability:
		tr.logReachability(a)
	case membership.Isolated:
		if a.Ended {
			tr.log.Info("fleet: other members are reachable again", "members", a.Members)
		} else {
			tr.log.Warn("fleet: no other member is reachable; this process serves on, and all others count as dead", "members", a.Members)
		}
	case membership.MemberChanged:
		tr.logMember(a)
	case membership.NameConflict:
		tr.logNameConflict(a)
	case membership.PauseDetected:
		tr.log.Warn("fleet: this process was paused or starved", "for", a.Pause.Round(time.Millisecond), "health", a.Health)
	}
}

func (tr *Transport) logReachability(a membership.RegionReachability) {
	region := "fleet: region " + strconv.Quote(a.Region)
	if a.Unreachable {
		tr.log.Warn(region+" is unreachable; nothing of its members is known until it is reachable", "members", a.Members)
	} else {
		tr.log.Info(region+" is reachable again", "members", a.Members)
	}
}

// logMember logs a member's new state. It logs neither suspicions nor changes that are already covered by the log
// line of the member's region or of this member's isolation.
func (tr *Transport) logMember(a membership.MemberChanged) {
	r := &a.Record
	switch {
	case a.Reason == membership.ReasonRegionUnreachable, a.Reason == membership.ReasonRegionReachable,
		a.Reason == membership.ReasonIsolated, a.Reason == membership.ReasonIsolationEnded:
	case r.State == membership.Suspect, r.State == membership.Alive && a.Previous == membership.Suspect && !a.FirstSeen:
	default:
		tr.log.Info("fleet: "+r.Name+" is "+r.State.String(), "addr", r.Addr, "zone", r.Zone, "was", a.Previous.String(), "by", r.Reporter, "why", a.Reason)
	}
}

func (tr *Transport) logNameConflict(a membership.NameConflict) {
	name := tr.options.Membership.Name
	if a.Yield {
		tr.log.Error("fleet: another process has this name; this one yields, and serves on without the fleet", "name", name, "other", a.Other.Addr, "why", a.Reason)
	} else {
		tr.log.Warn("fleet: another process had this name, and yielded", "name", name, "other", a.Other.Addr, "why", a.Reason)
	}
}
