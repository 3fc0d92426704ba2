package daemon

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// A daemon is ready after readyTimeout, however many of its lists are down and not saved. The fault: the timeout's
// timer fired once and ended the wait for one list, so with two lists awaitLists waited for the second one for ever.
// The instances served after 5 s, but the daemon never became ready, and logged one line "no list yet" for two lists.
// A service manager, or the predecessor in a handover, then considers the restart failed.
func TestReadyAfterOneTimeoutHoweverManyListsAreDown(t *testing.T) {
	for _, sources := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(sources), func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t)
			tb.list.SetDown(true)
			text := ""
			for n := range sources {
				text += fmt.Sprintf("[[source]]\nname = \"down%[1]d\"\nlist = %[2]q\nspread = \"1ms\"\nfirst = \"1ms\"\n"+
					"[[instance]]\nname = \"i%[1]d\"\nsource = \"down%[1]d\"\nlisten = \"unix:%[3]s\"\n", n, testkit.ReservedAddr(t), tb.socketPath(fmt.Sprint("i", n)))
			}
			tb.writeConfig(text)
			began := time.Now()
			r, err := tb.tryStart(Options{})
			if err != nil {
				t.Fatal(err)
			}
			select {
			case <-r.ready:
			case <-time.After(2 * readyTimeout):
				t.Fatalf("not ready after %v; the timeout is %v", time.Since(began), readyTimeout)
			}
			if got := tb.log.count("no list yet"); got != sources+1 { // one more for the testbed's own list
				t.Errorf("%d of %d missing lists are logged", got, sources+1)
			}
		})
	}
}
