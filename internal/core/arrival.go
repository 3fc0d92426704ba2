package core

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceArrival returns how long ago the last data arrived on a TCP connection's socket, as the kernel reports it
// (tcp(7), TCP_INFO): a connection that already carries a request may have waited to be accepted. The result is 0
// if the time is unknown.
func SinceArrival(nc net.Conn) time.Duration {
	sc, ok := nc.(syscall.Conn)
	if !ok || nc.LocalAddr().Network() != "tcp" {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
