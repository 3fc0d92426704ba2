package daemon

import (
	"fmt"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// A daemon is ready after the one limit, however many of its lists are down and not saved. The limit's timer fired
// once, and ended the wait for one list: with two, awaitLists waited for the second for ever. The instances served
// after 5 s, and ready never came, with one line "no list yet" for two lists; whoever waits for it, a service manager
// or the daemon before in a handover, takes the restart for failed.
func TestReadyAfterOneLimitHoweverManyListsAreDown(t *testing.T) {
	for _, sources := range []int{1, 2, 3} {
		t.Run(fmt.Sprint(sources), func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t)
			tb.list.SetDown(true)
			text := ""
			for n := range sources {
				text += fmt.Sprintf("[[source]]\nname = \"down%[1]d\"\nlist = %[2]q\nspread = \"1ms\"\nfirst = \"1ms\"\n"+
					"[[instance]]\nname = \"i%[1]d\"\nsource = \"down%[1]d\"\nlisten = \"unix:%[3]s\"\n", n, testkit.DownAddr(t), tb.socketPath(fmt.Sprint("i", n)))
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
				t.Fatalf("not ready after %v; the limit is %v", time.Since(began), readyTimeout)
			}
			if got := tb.log.count("no list yet"); got != sources+1 { // and the testbed's own
				t.Errorf("%d lists of %d are said to be missing", got, sources+1)
			}
		})
	}
}
