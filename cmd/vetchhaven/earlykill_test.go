package main

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"vetchhaven/internal/testkit"
)

// Guards against a stop that outlasts the platform's earliest SIGKILL, 3.7 s after SIGTERM.
func TestRequestIsAnsweredBeforeTheEarliestKill(t *testing.T) {
	const earliestKill = 3700 * time.Millisecond
	arrived := make(chan struct{}, 2)
	server := serveEach(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := in.ReadByte(); err == nil {
			arrived <- struct{}{}
			_, _ = io.Copy(io.Discard, in) // until the agent closes it
		}
	})
	eachCommand(t, 20*time.Second, server, func(t *testing.T, p *limitedProcess) {
		c := p.dial()
		send(c, payHead("held"))
		testkit.Receive(t, "the request at the server", arrived)
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		stopped := time.Now()
		status, err := readResponse(c, testTimeout)
		if after := time.Since(stopped); err != nil || status < 500 || after > earliestKill {
			t.Errorf("%d, %v, %v after SIGTERM; log %s", status, err, after, p.log)
		}
		_ = p.cmd.Wait()
		if after := time.Since(stopped); after > earliestKill {
			t.Errorf("the process ended %v after SIGTERM", after)
		}
	})
}
