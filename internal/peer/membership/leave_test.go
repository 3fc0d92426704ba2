package membership

import (
	"testing"
	"time"
)

func TestForgetIgnoresALiveMember(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	v.Step(ms, ForgetMember{"m1"})
	requireState(t, v, "m1", Alive)
}

func TestLeaveIsGossipedWithAgeZero(t *testing.T) {
	v := newTestView(t)
	learnMembers(v, 2)
	v.now = 5 * time.Hour
	for _, s := range sentOfKind(v.Step(v.now, Leave{}), Gossip) {
		for _, u := range s.Message.Updates {
			if u.Name == "me" && (u.State != Left || u.AgeSeconds != 0) {
				t.Errorf("update %+v", u)
			}
		}
	}
}
