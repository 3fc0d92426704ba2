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

const maxDatagram = 256 // the protocol's limit; a longer one is not sent

// peers exchanges datagrams with the other agents of the tier.
type peers struct {
	local   *net.UDPAddr
	conn    *net.UDPConn // nil: another process, that this one replaces, still holds the address
	addrs   []netip.AddrPort
	numbers map[netip.AddrPort]int
	out     chan datagram
	log     *slog.Logger
}

type datagram struct {
	to   int
	data []byte
}

func newPeers(cfg *Config, log *slog.Logger) (*peers, error) {
	p := &peers{numbers: map[netip.AddrPort]int{}, out: make(chan datagram, 64), log: log}
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

// send queues a message. Datagrams may be lost, so one that finds the queue full is.
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
	for p.conn == nil { // clients don't wait for it
		select {
		case <-time.After(listenRetryInterval):
			p.conn, _ = net.ListenUDP("udp", p.local)
		case <-ctx.Done():
			return
		}
	}
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	go func() {
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
	}()
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// An earlier datagram's ICMP error, as a rule: the socket itself is fine. Where it is not, all of a
			// processor is not spent on it.
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
