package membership

import (
	"testing"
	"time"
)

func TestPausedMemberDeclaresNobodyDead(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 5)
	runUntil(v, 1200*ms) // nobody answers, and no round trip is known: it suspects some
	if len(v.suspects) == 0 {
		t.Fatal("it suspects nobody")
	}
	for _, a := range v.Step(v.Next() + 10*time.Second) {
		if c, ok := a.(MemberChanged); ok && c.Record.State == Dead {
			t.Errorf("%s is dead: %s", c.Record.Name, c.Reason)
		}
	}
	if v.Health() == 0 {
		t.Error("it does not doubt itself")
	}
}
