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

// A shared limit is leased, rejects at once what is over it, names itself, and follows the file.
func TestSharedLimitRejectsExcessAndFollowsReload(t *testing.T) {
	f := standin.NewForm("s-1", nil)
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
		t.Errorf("before any right was lent: %d %q", status, body)
	}
	eventually(t, "a right", func() bool { status, _ := get(); return status == 200 })
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
		t.Errorf("a class that is not limited: %d %v", status, err)
	}
	now, ok := r.Limits()
	if !ok || now.Limits[0].Max != 2 || len(now.Status.Granted) != 1 || now.Status.Granted[0].Leased > 2 || now.Status.Leased[0].Rejected == 0 {
		t.Errorf("%+v", now)
	}

	config(100000)
	if _, err := r.Reload(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "twenty in a row", func() bool {
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
	eventually(t, "no limit", func() bool { status, _ := get(); return status == 200 })
	if _, ok := r.Limits(); ok {
		t.Error("limits are shown that the file does not have")
	}
}

// Soft limits have their floor while nobody talks to peers; hard ones have what can be proved: nothing.
func TestFloorAdmitsWithoutPeers(t *testing.T) {
	f := standin.NewForm("s-1", nil)
	defer f.Close()
	tb := newTestbed(t, f.Member("ready"))
	addr := freeAddr(t)
	tb.writeConfig(tb.instanceText("one") + peersText("a", addr, addr) + "keepers = [\"z\"]\n" +
		limitText("soft", "requests", "soft", 1000, "class = \"get\"\n") + limitText("hard", "requests", "hard", 1000, "class = \"pay\"\n"))
	tb.start(Options{})
	tb.expectServed("one")
	if status, body, err := sendRequest(client(tb.socketPath("one"), false), "pay"); err != nil || status != 503 || !strings.Contains(body, "limit hard") {
		t.Errorf("%d %q %v", status, body, err)
	}
}
