package core

import (
	"context"
	"net"
	"testing"

	"vetchhaven/decide"
	"vetchhaven/internal/testkit"
)

func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// The balancer's peer messages must be sent as datagrams, and a sender must be identified by its address.
func TestPeerMessagesAreExchangedByAddress(t *testing.T) {
	other := listenUDP(t)
	defer other.Close()
	cfg := testConfig(t, testkit.ConfigOptions{})
	cfg.PeerListen = "127.0.0.1:0"
	cfg.Peers = []string{"127.0.0.1:9", other.LocalAddr().String()}
	p, err := newPeers(cfg, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	posted := make(chan any, 1)
	go p.run(t.Context(), func(e any) { posted <- e })
	p.send(1, []byte("hi"))
	p.send(5, []byte("nobody"))
	p.send(1, make([]byte, maxDatagram+1))
	buf := make([]byte, 512)
	n, _, err := other.ReadFrom(buf)
	if err != nil || string(buf[:n]) != "hi" {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	if _, err := other.WriteTo([]byte("yes"), p.conn.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	m, ok := testkit.Receive(t, "message", posted).(decide.PeerMessage)
	if !ok || m.From != 1 || string(m.Data) != "yes" {
		t.Errorf("posted %+v", m)
	}
}

// An agent must start even if the process that it replaces still uses the peer address, and receive messages once the
// address is free.
func TestPeersWaitForTheirAddressToBeFree(t *testing.T) {
	occupied := listenUDP(t)
	other := listenUDP(t)
	defer other.Close()
	cfg := testConfig(t, testkit.ConfigOptions{})
	cfg.PeerListen = occupied.LocalAddr().String()
	cfg.Peers = []string{occupied.LocalAddr().String(), other.LocalAddr().String()}
	p, err := newPeers(cfg, testkit.DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	posted := make(chan any, 1000)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		p.run(ctx, func(e any) { posted <- e })
	}()
	occupied.Close()
	testkit.WaitFor(t, "a message of a peer", func() bool {
		_, _ = other.WriteTo([]byte("hello"), occupied.LocalAddr())
		return len(posted) > 0
	})
	if m, ok := (<-posted).(decide.PeerMessage); !ok || m.From != 1 || string(m.Data) != "hello" {
		t.Errorf("posted %+v", m)
	}
	cancel()
	testkit.Receive(t, "end", done)
}
