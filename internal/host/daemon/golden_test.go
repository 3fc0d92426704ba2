package daemon

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/snapshot"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/internal/testkit/golden"
)

// The golden files are last.state and peers.view as daemons of an earlier build wrote them.
func TestSnapshotsOfEarlierBuildsAreRead(t *testing.T) {
	for _, name := range []string{"last-voter.state", "last-member.state"} {
		data := golden.Read(t, name)
		var head struct {
			Saved int64 `json:"saved_ms"`
		}
		if err := json.Unmarshal(data[bytes.IndexByte(data, '\n')+1:], &head); err != nil {
			t.Fatal(err)
		}
		s, err := snapshot.Decode(data, snapshot.Moment{Wall: time.UnixMilli(head.Saved)}, time.Minute)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if len(s.Sources) != 1 || len(s.Instances) == 0 {
			t.Errorf("%s: %+v", name, s)
		}
		shown, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name+".read", shown)
	}
	for _, name := range []string{"peers-voter.view", "peers-member.view"} {
		data := golden.Read(t, name)
		s, err := transport.DecodeSaved(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		again, err := transport.EncodeSaved(s)
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("%s is not encoded as it was read: %v", name, err)
		}
	}
}

// The keys of the admin endpoint's bodies, and of the list of sockets that a successor inherits, do not change.
func TestAdminBodiesKeepTheirKeys(t *testing.T) {
	for name, v := range map[string]any{
		"status.json": &Status{}, "reload.json": &ReloadResult{}, "limits.json": &LimitsStatus{}, "policy.json": &PolicyStatus{},
		"policy-change.json": &PolicyChange{}, "policy-fate.json": &PolicyChangeStatus{}, "handover.json": &[]daemonconfig.Address{},
	} {
		golden.CheckBody(t, name, v, map[string]string{"ChangeStatus": "Fate", "Status": "Shown"})
	}
}
