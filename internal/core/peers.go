package core

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"vetchhaven/decide"
)

const (
	// maxDatagram is the platform's limit on the size of a datagram in bytes. Longer ones are neither sent nor
	// accepted.
	maxDatagram = 256
	// peerQueueSize is how many datagrams may be queued for sending; further ones are dropped.
	peerQueueSize = 64
)

// peers exchanges datagrams with the other agents of the tier.
type peers struct {
	local   *net.UDPAddr
	conn    *net.UDPConn // nil: not open yet, because the process that this one replaces may still use the address
	addrs   []netip.AddrPort
	numbers map[netip.AddrPort]int
	out     chan datagram
	log     *slog.Logger
}

type datagram struct {
	to   int
	data []byte
}

// newPeers listens at the agent's peer address. If that fails with a transient error, the agent starts without a
// socket, and run tries again.
func newPeers(cfg *Config, log *slog.Logger) (*peers, error) {
	p := &peers{
		numbers: map[netip.AddrPort]int{},
		out:     make(chan datagram, peerQueueSize),
		log:     log,
	}
	for i, text := range cfg.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		p.addrs = append(p.addrs, addr)
		p.numbers[addr] = i
	}
	var err error
	if p.local, err = net.ResolveUDPAddr("udp", cfg.PeerListen); err == nil {
		p.conn, err = net.ListenUDP("udp", p.local)
	}
	if err != nil && !IsTransient(err) {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return p, nil
}

// send queues a datagram. If the queue is full, the datagram is dropped; peers tolerate the loss of datagrams.
func (p *peers) send(to int, data []byte) {
	if to < 0 || to >= len(p.addrs) || len(data) > maxDatagram {
		p.log.Error("peer message not sent", "to", to, "bytes", len(data))
		return
	}
	select {
	case p.out <- datagram{to, data}:
	default:
	}
}

// run sends and receives until ctx ends.
func (p *peers) run(ctx context.Context, post func(any)) {
	if !p.listen(ctx) {
		return
	}
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	go p.sendQueued(ctx)
	p.receive(ctx, post)
}

// listen waits until the agent can listen at its peer address; serving clients does not wait for this. It reports
// false if ctx has ended.
func (p *peers) listen(ctx context.Context) bool {
	for p.conn == nil {
		select {
		case <-time.After(listenRetryInterval):
			p.conn, _ = net.ListenUDP("udp", p.local)
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// sendQueued sends the queued datagrams until ctx ends.
func (p *peers) sendQueued(ctx context.Context) {
	for {
		select {
		case d := <-p.out:
			if _, err := p.conn.WriteToUDPAddrPort(d.data, p.addrs[d.to]); err != nil && ctx.Err() == nil {
				p.log.Debug("peer message lost", "to", d.to, "error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// receive posts the datagrams that come from the peers' addresses until ctx ends.
func (p *peers) receive(ctx context.Context, post func(any)) {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// Usually this is the ICMP error of an earlier datagram, and the socket itself works. The pause prevents
			// this goroutine from keeping a processor busy if the socket does not work.
			select {
			case <-ctx.Done():
			case <-time.After(failedAcceptDelay):
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if number, known := p.numbers[from]; known && n <= maxDatagram {
			post(decide.PeerMessage{From: number, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}
