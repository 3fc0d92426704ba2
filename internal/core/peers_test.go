package core

import (
	"context"
	"net"
	"testing"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

// The process that this one replaces may still hold the address for peers: this one goes on, and hears them once it is free.
func TestPeersWaitForTheirAddressToBeFree(t *testing.T) {
	held, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	cfg := testConfig(t, testkit.Setup{})
	cfg.PeerListen, cfg.Peers = held.LocalAddr().String(), []string{held.LocalAddr().String(), other.LocalAddr().String()}
	p, err := newPeers(cfg, testkit.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	heard, done := make(chan any, 1000), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer close(done); p.run(ctx, func(e any) { heard <- e }) }()
	held.Close()
	testkit.WaitFor(t, "a message of a peer", func() bool {
		_, _ = other.WriteTo([]byte("hello"), held.LocalAddr())
		return len(heard) > 0
	})
	if m, ok := (<-heard).(decide.PeerMessage); !ok || m.From != 1 || string(m.Data) != "hello" {
		t.Errorf("%+v", m)
	}
	cancel()
	testkit.Receive(t, "end", done)
}
