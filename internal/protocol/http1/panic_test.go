package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/testkit"
)

// After a panic an admitted request is answered as failed, and nothing more is sent for it, not even by an attempt
// whose dial succeeds later.
func TestNothingIsSentAfterAPanic(t *testing.T) {
	server := testkit.Listen(t)
	cfg := testConfig(t, testkit.ConfigOptions{Servers: []discovery.Server{{ID: "s", Addr: server.Addr().String(), Zone: "a", Kind: "m1", State: "ready"}}})
	a, proto, err := newAgent(cfg, testkit.DiscardLogger, core.Options{})
	if err != nil {
		t.Fatal(err)
	}
	dialled, release := make(chan struct{}), make(chan struct{})
	proto.dialer = func(_ context.Context, network, addr string) (net.Conn, error) {
		close(dialled)
		<-release // a dial that succeeds late, though its attempt was abandoned
		return net.Dial(network, addr)
	}
	var panicNow atomic.Bool
	a.SetStepHook(func(core.Totals) {
		if panicNow.Load() {
			panic("injected panic")
		}
	})
	ended := make(chan error, 1)
	go func() { ended <- a.Run(context.Background()) }()
	ask := func(id string) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+a.Addr().String()+"/get", nil)
		if err != nil {
			t.Error(err)
			return 0
		}
		req.Header.Set("X-Trace-Id", id)
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	status := make(chan int, 1)
	go func() { status <- ask("1") }()
	select {
	case <-dialled:
	case <-time.After(testkit.EventTimeout):
		t.Fatal("no attempt")
	}
	panicNow.Store(true)
	go ask("2") // makes the loop take a step
	select {
	case got := <-status:
		if got != http.StatusBadGateway {
			t.Errorf("answered %d, want 502", got)
		}
	case <-time.After(testkit.EventTimeout):
		t.Fatal("the admitted request is not answered")
	}
	select {
	case err := <-ended:
		if !errors.Is(err, core.ErrPanic) {
			t.Errorf("the agent ended with %v", err)
		}
	case <-time.After(testkit.EventTimeout):
		t.Fatal("the agent does not end")
	}
	close(release)
	c, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	var buf [64]byte
	n, err := c.Read(buf[:])
	if n > 0 {
		t.Errorf("sent after the final answer: %q", buf[:n])
	}
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		t.Error("the connection is kept though nothing uses it")
	}
}
