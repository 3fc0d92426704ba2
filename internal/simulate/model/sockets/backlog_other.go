//go:build !linux

package sockets

import (
	"net"
	"syscall"
)

// backlog has no effect on this system: connections to a silent server are established, but get no answers.
func backlog(*net.TCPListener, int) {}

// reserveAddr finds a free address; another process may take it until a server listens there.
func reserveAddr() (addr string, release func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	return ln.Addr().String(), func() {}, ln.Close()
}

func childProcess() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
