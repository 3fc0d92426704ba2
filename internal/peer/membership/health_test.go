package membership

import (
	"testing"
	"time"
)

func TestPausedMemberDeclaresNobodyDead(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 5)
	runUntil(v, 1200*ms) // no member answers, so that some are suspected; no round-trip times are known
	if len(v.suspects) == 0 {
		t.Fatal("no member is suspected")
	}
	for _, a := range v.Step(v.Next() + 10*time.Second) {
		if c, ok := a.(MemberChanged); ok && c.Record.State == Dead {
			t.Errorf("%s is dead: %s", c.Record.Name, c.Reason)
		}
	}
	if v.Health() == 0 {
		t.Error("local health is 0 after a pause")
	}
}
