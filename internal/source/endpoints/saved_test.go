package endpoints

import (
	"testing"
	"time"
)

// A restored removal counted as none, so that a record from before it brought the server back.
func TestRestoredRemovalHoldsUntilNewerEvidence(t *testing.T) {
	servers := up("a", "x")
	servers[1].Started = 1000
	before := module("list", "records")
	before.Step(0, Snapshot{"list", servers}, Snapshot{"records", servers})
	before.Step(time.Second, Snapshot{"list", servers[:1]})
	restored := func() *Module {
		m := module("list", "records")
		m.Restore(before.Save(), time.Minute)
		return m
	}
	serves := func(m *Module, at time.Duration, r ...Report) bool {
		list, _ := m.Step(at, r...)
		return find(t, list, "x").serves()
	}
	m := restored()
	if serves(m, 0, Snapshot{"records", servers}) || serves(m, time.Hour, Snapshot{"list", servers[:1]}, Snapshot{"records", servers}) {
		t.Error("the unchanged record brought the server back")
	}
	if !serves(m, 2*time.Hour, Snapshot{"list", servers}) {
		t.Error("the server is not back although the list names it again")
	}
	m = restored()
	next := up("a", "x")
	if next[1].Started = 2000; !serves(m, 0, Snapshot{"records", next}) {
		t.Error("the server is not back although a later start is newer evidence")
	}
	m = restored()
	draining := up("a", "x")
	draining[1].State = Draining
	m.Step(0, Snapshot{"list", draining}, Snapshot{"records", servers})
	again := module("list", "records")
	again.Restore(m.Save(), 0)
	if list, _ := again.Step(0, Snapshot{"records", servers}); find(t, list, "x").State != Draining {
		t.Errorf("the draining server is %s after the second restart", find(t, list, "x").State)
	}
}
