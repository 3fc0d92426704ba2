package main

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/standin/directory"
)

// directorySearch returns a search of all entries, with a message ID.
func directorySearch(id int32) []byte {
	const base, filter = "dc=ward", "objectClass"
	body := append([]byte{0x04, byte(len(base))}, base...)
	const wholeSubtree = 2
	body = append(body, 0x0a, 1, wholeSubtree, 0x0a, 1, 0, 0x02, 1, 0, 0x02, 1, 0, 0x01, 1, 0)
	body = append(body, 0x87, byte(len(filter)))
	body = append(body, filter...)
	body = append(body, 0x30, 0)
	return ldapmsg.WithID(id, append([]byte{ldapmsg.SearchRequest, byte(len(body))}, body...))
}

// Guards against one client that takes the directory's capacity or the memory from others.
func TestFloodOfOneLDAPClientDoesNotDelayOthers(t *testing.T) {
	for name, flood := range map[string]func(id int32) []byte{
		"searches": directorySearch,
		"cancels":  func(id int32) []byte { return ldapmsg.Cancel(id, 1) },
		"abandons": func(id int32) []byte { return ldapmsg.Abandon(id, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startLimited(t, "ldap", 2*time.Second, startDirectory(t).Addr())
			end := time.Now().Add(floodTime)
			go floodDirectory(p.dial(), end, flood)
			conn, err := client.DialURL("ldap://" + p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetTimeout(testTimeout)
			slowest := time.Duration(0)
			for served := 0; time.Now().Before(end) || served == 0; time.Sleep(10 * time.Millisecond) {
				startedAt := time.Now()
				_, err := conn.Search(client.NewSearchRequest("cn=a,dc=ward", client.ScopeBaseObject, client.NeverDerefAliases, 0, 0, false,
					"(objectClass=*)", nil, nil))
				switch {
				case err == nil:
					served++
				case !client.IsErrorWithCode(err, client.LDAPResultBusy):
					t.Fatalf("%v; log %s", err, p.log)
				}
				slowest = max(slowest, time.Since(startedAt))
			}
			t.Logf("the slowest lookup took %v", slowest)
			if slowest > maxFloodDelay {
				t.Errorf("a lookup took %v", slowest)
			}
			p.checkMemory()
		})
	}
}

// Guards against partial LDAP messages of hundreds of clients that the process holds beside its budgets.
func TestCrowdOfSlowLDAPClientsStaysWithinTheLeastMemory(t *testing.T) {
	const size, missing = 900 << 10, 100 // bytes of a message, and of its end that is not sent
	message := append([]byte{0x30, 0x83, size >> 16, size >> 8 & 0xff, size & 0xff}, make([]byte, size-missing)...)
	search := directorySearch(2)
	for name, act := range map[string]func(c net.Conn){
		"messages that stop half way": func(c net.Conn) {
			if _, err := c.Write(message); err == nil {
				_, _ = c.Read(make([]byte, 1))
			}
		},
		"messages written slowly": func(c net.Conn) {
			for _, b := range search {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(crowdTime / time.Duration(len(search)))
			}
		},
		"results read slowly": func(c net.Conn) {
			for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if _, err := c.Write(search); err != nil {
					return
				}
				if _, err := c.Read(make([]byte, 16)); err != nil {
					return
				}
			}
		},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			p := startLimited(t, "ldap", 1200*time.Millisecond, startDirectory(t).Addr())
			var clients sync.WaitGroup
			for range crowdSize {
				c := p.dial()
				_ = c.SetDeadline(time.Now().Add(crowdTime))
				clients.Go(func() { act(c) })
			}
			clients.Wait()
			p.checkMemory()
		})
	}
}

// startDirectory starts a directory with a few entries.
func startDirectory(t *testing.T) *directory.Directory {
	t.Helper()
	d, err := directory.New("s", directory.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Add("dc=ward", map[string][]string{"dc": {"ward"}})
	for _, name := range []string{"a", "b", "c"} {
		d.Add("cn="+name+",dc=ward", map[string][]string{"cn": {name}})
	}
	return d
}

// floodDirectory writes a search and then messages with ever new IDs, as fast as they are taken, and reads nothing.
func floodDirectory(c net.Conn, end time.Time, message func(id int32) []byte) {
	const batchSize = 256
	_ = c.SetDeadline(end)
	batch := directorySearch(1)
	for id := int32(2); ; batch = nil {
		for range batchSize {
			batch = append(batch, message(id)...)
			id++
		}
		if _, err := c.Write(batch); err != nil {
			return
		}
	}
}
