//go:build !linux

package sockets

import (
	"net"
	"syscall"
)

// backlog can't be changed here: connections to a silent server come up, and are silent then.
func backlog(*net.TCPListener, int) {}

// hold finds a free address; it may be taken again until something listens there.
func hold() (addr string, release func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	return ln.Addr().String(), func() {}, ln.Close()
}

func childProcess() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
