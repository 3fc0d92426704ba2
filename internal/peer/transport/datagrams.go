package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"vetchhaven/internal/peer/membership"
)

const (
	// readBufferBytes is the size of the read buffer. It holds the largest UDP payload.
	readBufferBytes = 64 << 10
	// readRetry and acceptRetry are the waits after a temporary error, such as a lack of memory or file descriptors.
	readRetry   = time.Millisecond
	acceptRetry = 10 * time.Millisecond
	// logEvery is the number of rejected messages of a kind for which one log line is written, after the line for the
	// first message.
	logEvery = 1000
)

// sendDatagram sends a message of the view. Errors are ignored because the protocol tolerates lost messages.
func (tr *Transport) sendDatagram(s membership.Send) {
	to, err := netip.ParseAddrPort(s.To)
	if err != nil {
		return
	}
	data, err := encodeMembership(tr.options.Fleet, s.Message)
	if err != nil {
		return
	}
	tr.writeDatagram(data, to)
}

func (tr *Transport) writeDatagram(data []byte, to netip.AddrPort) {
	tr.datagrams.Add(1)
	tr.bytesWritten.Add(uint64(len(data)))
	_, _ = tr.options.UDP.WriteToUDPAddrPort(data, to)
}

// readDatagrams reads until the socket is closed.
func (tr *Transport) readDatagrams(ctx context.Context) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, _, err := tr.options.UDP.ReadFromUDPAddrPort(buffer)
		if err == nil {
			tr.handleDatagram(buffer[:n])
			continue
		}
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		tr.waitToRetry(ctx, readRetry)
	}
}

func (tr *Transport) handleDatagram(data []byte) {
	if len(data) > maxDatagramBytes {
		tr.reject(ErrTooLarge)
		return
	}
	switch formatOf(data) {
	case sharedFormat:
		p := &sharedPacket{}
		if err := decodeEnvelope(sharedFormat, tr.options.Fleet, data, p); err != nil {
			tr.reject(err)
			return
		}
		tr.offer(p)
	case policyFormat:
		tr.handlePolicyMessage(data)
	default:
		m := &membership.Message{}
		if err := decodeMembership(tr.options.Fleet, data, m); err != nil {
			tr.reject(err)
			return
		}
		tr.offer(viewInput{event: membership.DatagramReceived{Message: m, Size: len(data)}})
	}
}

// waitToRetry waits for d after an error. While another process uses the sockets, it waits until this one uses them
// again.
func (tr *Transport) waitToRetry(ctx context.Context, d time.Duration) {
	if tr.frozen.Load() {
		tr.mu.Lock()
		thawed := tr.thawed
		tr.mu.Unlock()
		select {
		case <-thawed:
		case <-ctx.Done():
		}
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reject counts a rejected message, and logs the first and every thousandth one of each kind.
func (tr *Transport) reject(err error) {
	if n := tr.rejected.counter(err).Add(1); n == 1 || n%logEvery == 0 {
		tr.log.Warn("fleet: a message was rejected", "why", err, "so_far", n)
	}
}

// counter returns the counter for an error of the codec.
func (r *rejectedCounts) counter(err error) *atomic.Uint64 {
	switch {
	case errors.Is(err, ErrTooLarge):
		return &r.tooLarge
	case errors.Is(err, ErrOtherFleet):
		return &r.otherFleet
	case errors.Is(err, ErrDamaged):
		return &r.damaged
	case errors.Is(err, ErrUnknownFormat):
		return &r.unknownFormat
	}
	return &r.malformed
}
