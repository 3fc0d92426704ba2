package transport

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
)

func TestTruncatedSavedViewIsRejected(t *testing.T) {
	s := &Saved{Boot: 7, Records: []membership.Record{{Name: "a", Addr: "127.0.0.1:1"}}}
	data, err := EncodeSaved(s)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := DecodeSaved(data); err != nil || back.Boot != 7 || len(back.Records) != 1 {
		t.Fatalf("decoded %+v, %v", back, err)
	}
	for n := range data {
		if _, err := DecodeSaved(data[:n]); err == nil {
			t.Fatalf("the first %d bytes of %d were accepted", n, len(data))
		}
	}
}

// The leases of a lease server are passed to its successor with the view. Their CBOR has maps and arrays nested ten
// deep.
func TestSavedLeasesAreReadBack(t *testing.T) {
	limit := lease.Limit{Limit: quota.Limit{Name: "l", Kind: quota.Attempts, Class: -1, Zone: -1, Cell: -1}, Total: 10, Hard: true}
	settings := lease.Settings{Servers: []string{"k"}, Limits: []lease.Limit{limit}}
	server, err := lease.NewServer(settings, "k", 7)
	if err != nil {
		t.Fatal(err)
	}
	client, err := lease.NewClient(settings, "x", 5)
	if err != nil {
		t.Fatal(err)
	}
	server.Tick(0)
	client.AddAgent(0, 1)
	for _, r := range client.Requests(0) {
		server.HandleRequest(time.Second, r.Request)
	}
	data, err := EncodeSaved(&Saved{Boot: 1, TakesOver: true, Leases: server.State(time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeSaved(data)
	if err != nil {
		t.Fatal(err)
	}
	if got.Leases == nil || len(got.Leases.Limits) != 1 || len(got.Leases.Limits[0].Rows) != 1 || len(got.Leases.Limits[0].Rows[0].Holders[0].Leases) != 1 {
		t.Errorf("leases %+v", got.Leases)
	}
}

func TestMemberStartsWithATornView(t *testing.T) {
	dir := t.TempDir()
	torn := []byte("vetchhaven-peers 1 00 5\nxx")
	if err := os.WriteFile(filepath.Join(dir, savedViewFile), torn, 0o600); err != nil {
		t.Fatal(err)
	}
	a := startMember(t, memberOptions{name: "a", dir: dir})
	a.awaitState(t, "a", "alive")
}

func TestMemberStartsWithoutAWritableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a := startMember(t, memberOptions{name: "a", dir: filepath.Join(file, "dir")})
	a.awaitState(t, "a", "alive")
	await(t, "the status says that saving fails", func() bool {
		s, _ := a.MembershipStatus()
		return s.SaveFails
	})
}
