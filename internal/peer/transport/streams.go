package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"vetchhaven/internal/peer/membership"
)

// acquireStream takes a slot for a stream that another member opened. It reports whether a slot was free.
func (tr *Transport) acquireStream() bool {
	select {
	case tr.streamSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (tr *Transport) releaseStream() { <-tr.streamSlots }

// acceptStreams accepts streams until the listener is closed.
func (tr *Transport) acceptStreams(ctx context.Context) {
	for {
		conn, err := tr.options.TCP.AcceptTCP()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			tr.waitToRetry(ctx, acceptRetry)
			continue
		}
		if !tr.acquireStream() { // the other member then tries a different member
			_ = conn.Close()
			continue
		}
		tr.runInBackground(func() {
			defer tr.releaseStream()
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			tr.serveStream(conn)
		})
	}
}

// serveStream handles one message about the policy, or one exchange: a request, the response, and a last message. Each
// rejected message is counted once; a stream that ends without a message is not counted.
func (tr *Transport) serveStream(conn *net.TCPConn) {
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	data, err := readFrame(conn)
	if err != nil {
		tr.rejectRead(err)
		return
	}
	if formatOf(data) == policyFormat {
		tr.handlePolicyMessage(data)
		return
	}
	request := &membership.Exchange{}
	if err := decodeMembership(tr.options.Fleet, data, request); err != nil {
		tr.reject(err)
		return
	}
	response := tr.awaitResponse(request)
	if response == nil {
		return
	}
	if writeExchange(conn, tr.options.Fleet, response) != nil {
		return // the stream failed, so the other member has not received the response
	}
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	last, err := readExchange(conn, tr.options.Fleet)
	if err != nil {
		tr.rejectRead(err)
		return
	}
	tr.post(viewInput{event: membership.ExchangeFinished{Message: last}})
}

// rejectRead counts a read error like reject does, unless the stream ended or timed out.
func (tr *Transport) rejectRead(err error) {
	if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
		tr.reject(err)
	}
}

// awaitResponse returns the view's response to a request, or nil if the response does not arrive in time.
func (tr *Transport) awaitResponse(request *membership.Exchange) *membership.Exchange {
	response := make(chan *membership.Exchange, 1)
	if !tr.post(viewInput{event: membership.ExchangeRequest{Message: request}, response: response}) {
		return nil
	}
	timer := time.NewTimer(streamTimeout)
	defer timer.Stop()
	select {
	case x := <-response:
		return x
	case <-timer.C:
	case <-tr.done:
	}
	return nil
}

// runExchange opens an exchange and posts one event about its result to the loop, whether it succeeds or fails.
func (tr *Transport) runExchange(ctx context.Context, o membership.OpenExchange, finish chan *membership.Exchange) {
	response, conn, err := tr.requestExchange(ctx, o)
	if conn != nil {
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	}
	if err != nil {
		tr.post(viewInput{event: membership.ExchangeFailed{ID: o.ID}})
		return
	}
	if !tr.post(viewInput{event: membership.ExchangeResponse{ID: o.ID, Message: response}}) {
		return
	}
	timer := time.NewTimer(streamTimeout)
	defer timer.Stop()
	select {
	case last := <-finish:
		if last != nil {
			_ = conn.SetDeadline(time.Now().Add(streamTimeout))
			_ = writeExchange(conn, tr.options.Fleet, last)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestExchange sends a request and returns the response. The caller has to close the connection unless it is nil.
func (tr *Transport) requestExchange(ctx context.Context, o membership.OpenExchange) (*membership.Exchange, net.Conn, error) {
	conn, err := tr.newDialer(streamTimeout/2).DialContext(ctx, "tcp", o.To)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	if err := writeExchange(conn, tr.options.Fleet, o.Message); err != nil {
		return nil, conn, err
	}
	response, err := readExchange(conn, tr.options.Fleet)
	if errors.Is(err, ErrOtherFleet) || errors.Is(err, ErrUnknownFormat) {
		tr.reject(err)
	}
	return response, conn, err
}

// newDialer returns a dialer whose local address is the one that this member listens on, from which its datagrams
// come too.
func (tr *Transport) newDialer(timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout, KeepAlive: -1}
	local := *tr.options.TCP.Addr().(*net.TCPAddr)
	if !local.IP.IsUnspecified() {
		local.Port = 0
		dialer.LocalAddr = &local
	}
	return dialer
}

// sendOnStream sends one message on a new stream, and waits until the other member has read it or ctx ends.
func (tr *Transport) sendOnStream(ctx context.Context, to string, data []byte) error {
	conn, err := tr.newDialer(streamTimeout).DialContext(ctx, "tcp", to)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(streamTimeout))
	if err := writeFrame(conn, data); err != nil {
		return err
	}
	var end [1]byte
	_, err = conn.Read(end[:]) // the other member closes the stream once it has read the complete message
	return err
}
