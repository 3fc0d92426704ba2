package testkit

import "net"

// HeldListener accepts no connection until Held is closed: connections wait in the kernel's queue.
type HeldListener struct {
	*net.TCPListener
	Held <-chan struct{}
}

// Accept implements net.Listener.
func (l HeldListener) Accept() (net.Conn, error) {
	<-l.Held
	return l.TCPListener.Accept()
}
