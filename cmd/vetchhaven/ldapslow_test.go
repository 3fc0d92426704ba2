package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against search results that wait in the process for hundreds of LDAP clients which read slowly or not at all.
func TestCrowdOfLDAPClientsWithLongResultsStaysWithinTheLeastMemory(t *testing.T) {
	const entries, entrySize = 600, 10 << 10 // bytes of an entry; together more than the systems and the process queue for a client
	d := startDirectory(t)
	for n := range entries {
		d.Add(fmt.Sprintf("cn=long%d,dc=ward", n), map[string][]string{"long": {string(bytes.Repeat([]byte("r"), entrySize))}})
	}
	for name, interval := range map[string]time.Duration{
		"read nothing": crowdTime,
		"read slowly":  100 * time.Millisecond,
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			p := startLimited(t, "ldap", 1200*time.Millisecond, d.Addr())
			var clients sync.WaitGroup
			end := time.Now().Add(crowdTime)
			for range crowdSize {
				c := p.dial()
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
				_ = c.SetDeadline(end)
				clients.Go(func() {
					_, err := c.Write(directorySearch(1))
					for buf := make([]byte, 4<<10); err == nil && time.Now().Before(end); _, err = c.Read(buf) {
						time.Sleep(min(interval, time.Until(end)))
					}
				})
			}
			clients.Wait()
			p.checkMemory()
		})
	}
}
