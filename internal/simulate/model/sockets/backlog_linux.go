package sockets

import (
	"net"
	"os"
	"strconv"
	"syscall"
)

// backlog changes how many connections may wait to be accepted. On Linux a second listen call does that.
func backlog(ln *net.TCPListener, n int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// reserveAddr reserves a free address on loopback without listening there: connections to it are refused, and
// no outgoing connection gets its port. Sockets that allow address reuse, as package net's do, can listen on it.
func reserveAddr() (addr string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, os.NewSyscallError("socket", err)
	}
	release = func() { _ = syscall.Close(fd) }
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var bound syscall.Sockaddr
	if err == nil {
		bound, err = syscall.Getsockname(fd)
	}
	if err != nil {
		release()
		return "", nil, os.NewSyscallError("bind", err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port)), release, nil
}

// childProcess returns attributes with which agents end when the simulation ends for any reason, and get no signal from
// Ctrl-C.
func childProcess() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
}
