package testkit

import "net"

// HeldListener accepts no connection until Release is closed: connections wait in the kernel's queue.
type HeldListener struct {
	*net.TCPListener
	Release <-chan struct{}
}

// Accept implements net.Listener.
func (l HeldListener) Accept() (net.Conn, error) {
	<-l.Release
	return l.TCPListener.Accept()
}
