package http1

import (
	"net"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// Guards against a process that has ended and is not noticed, because a new one has its address.
func TestEarlyCloseOfIdleConnectionsIsNoticed(t *testing.T) {
	const recent, older, usual = reuseDelay / 2, 2 * reuseDelay, time.Hour
	for name, row := range map[string]struct {
		closedIdle time.Duration // how long the connection had been idle that the server closes
		otherOpen  bool          // an older connection stays open
		want       bool
	}{
		"closed early":                      {older, false, true},
		"too recent to be used":             {recent, false, true},
		"closed after its time":             {usual, false, false},
		"the process has another connected": {older, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			var accepted []net.Conn
			arrived := make(chan net.Conn)
			server := testkit.Listen(t)
			go func() {
				for {
					c, err := server.Accept()
					if err != nil {
						return
					}
					arrived <- c
				}
			}()
			p := poolFor(t, server.Addr().String())
			add := func(idle time.Duration) {
				c, err := net.Dial("tcp", server.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				accepted = append(accepted, testkit.Receive(t, "the connection", arrived))
				p.open++
				p.release("s", &serverConn{Conn: c, addr: server.Addr().String(), openedAt: time.Now()}, true)
				list := p.idle["s"]
				list[len(list)-1].idleSince = time.Now().Add(-idle)
			}
			if row.otherOpen {
				add(older)
			}
			add(row.closedIdle)
			list := p.idle["s"]
			closing := list[len(list)-1]
			accepted[len(accepted)-1].Close()
			testkit.WaitFor(t, "the close", func() bool { return closing.idleState() == idleClosed })
			got, err := p.acquire("s")
			if err != nil {
				t.Fatal(err)
			}
			if noticed := !got.closedAt.IsZero(); noticed != row.want || (got.conn != nil) != row.otherOpen {
				t.Errorf("noticed %v, connection %v", noticed, got.conn)
			}
		})
	}
}
