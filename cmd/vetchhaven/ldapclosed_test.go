package main

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
)

// directoryBind returns an anonymous bind, with a message ID.
func directoryBind(id int32) []byte {
	return ldapmsg.WithID(id, []byte{ldapmsg.BindRequest, 7, 0x02, 1, 3, 0x04, 0, 0x80, 0})
}

// Guards against operations of an LDAP client whose close stands behind messages that nobody has read.
func TestOperationsOfAnLDAPClientThatHasClosedAreNotSent(t *testing.T) {
	const (
		answerTime = 30 * time.Millisecond
		slack      = 150 * time.Millisecond
	)
	messages := func(n int32, message func(id int32) []byte) []byte {
		var text []byte
		for id := int32(1); id <= n; id++ {
			text = append(text, message(id)...)
		}
		return text
	}
	searches := func(n int32) []byte { return messages(n, directorySearch) }
	for name, text := range map[string][]byte{
		"a few searches": searches(20),
		"many searches":  searches(20000),
		"binds between": messages(20000, func(id int32) []byte {
			if id%10 == 0 {
				return directoryBind(id)
			}
			return directorySearch(id)
		}),
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var latest time.Time
			d := startDirectory(t)
			d.Script(func(directory.Op) directory.Fault {
				mu.Lock()
				defer mu.Unlock()
				latest = time.Now()
				return directory.Fault{Wait: answerTime}
			})
			p := startLimited(t, "ldap", 2*time.Second, d.Addr())
			for range 3 {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				_ = c.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = c.Write(text)
				c.Close()
				closed := time.Now()
				time.Sleep(5 * slack)
				mu.Lock()
				late := max(0, latest.Sub(closed))
				mu.Unlock()
				t.Logf("the last operation came %v after the close", late)
				if late > slack {
					t.Errorf("an operation came %v after the close", late)
				}
			}
		})
	}
}
