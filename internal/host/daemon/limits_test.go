package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"vetchhaven/internal/standin"
)

func limitText(name, counts, kind string, figure int, more string) string {
	return fmt.Sprintf("[[limit]]\nname = %q\ncounts = %q\nkind = %q\nfigure = %d\n%s", name, counts, kind, figure, more)
}

// A shared limit is leased to the agents. Requests over the limit are rejected at once, and the answer names the
// limit. A reload changes and removes the limit.
func TestSharedLimitRejectsExcessAndFollowsReload(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	addr := freeAddr(t)
	config := func(figure int) {
		tb.writeConfig(tb.instanceText("one") + peersText("a", addr, addr) + "keepers = [\"a\"]\nterm = \"1s\"\n" + limitText("total", "requests", "hard", figure, "class = \"get\"\n"))
	}
	config(2)
	r := tb.start(Options{})
	get := func() (int, string) {
		status, body, err := sendRequest(client(tb.socketPath("one"), false), "get")
		if err != nil {
			t.Fatal(err)
		}
		return status, body
	}
	if status, body := get(); status != 503 || !strings.Contains(body, "limit total") {
		t.Errorf("before the first lease: %d %q", status, body)
	}
	eventually(t, "a lease is granted", func() bool { status, _ := get(); return status == 200 })
	served, refused := 0, 0
	for begin := time.Now(); time.Since(begin) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		switch status, _ := get(); status {
		case 200:
			served++
		case 503:
			refused++
		}
	}
	if served < 2 || served > 10 || refused < 20 {
		t.Errorf("%d served and %d refused in three seconds at 2 a second", served, refused)
	}
	if status, _, err := sendRequest(client(tb.socketPath("one"), false), "pay"); err != nil || status != 200 {
		t.Errorf("a request of a class that is not limited: %d %v", status, err)
	}
	now, ok := r.LimitsStatus()
	if !ok || now.Limits[0].Max != 2 || len(now.Status.Granted) != 1 || now.Status.Granted[0].Leased > 2 || now.Status.Leased[0].Rejected == 0 {
		t.Errorf("status of the limits: %+v", now)
	}

	config(100000)
	if _, err := r.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "twenty requests in a row are served", func() bool {
		for range 20 {
			if status, _ := get(); status != 200 {
				return false
			}
		}
		return true
	})
	tb.writeConfig(tb.instanceText("one"))
	if _, err := r.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the limit is gone", func() bool { status, _ := get(); return status == 200 })
	if _, ok := r.LimitsStatus(); ok {
		t.Error("the status shows limits that the file does not have")
	}
}

// While no lease server is reached, a soft limit admits requests up to its floor, and a hard limit admits none.
func TestFloorAdmitsWithoutPeers(t *testing.T) {
	f := standin.NewFormServer("s-1", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	addr := freeAddr(t)
	tb.writeConfig(tb.instanceText("one") + peersText("a", addr, addr) + "keepers = [\"z\"]\n" +
		limitText("soft", "requests", "soft", 1000, "class = \"get\"\n") + limitText("hard", "requests", "hard", 1000, "class = \"pay\"\n"))
	tb.start(Options{})
	tb.expectServed("one")
	if status, body, err := sendRequest(client(tb.socketPath("one"), false), "pay"); err != nil || status != 503 || !strings.Contains(body, "limit hard") {
		t.Errorf("a request under the hard limit: %d %q %v", status, body, err)
	}
}
