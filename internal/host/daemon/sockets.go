package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"vetchhaven/internal/host/daemonconfig"
)

// dialTimeout is how long a connection to a Unix socket may take when the daemon checks whether a process listens on
// it.
const dialTimeout = time.Second

// listenAddresses returns the stream addresses of a configuration.
func listenAddresses(cfg *daemonconfig.Config) []daemonconfig.Address {
	addresses := []daemonconfig.Address{cfg.Admin}
	for _, instance := range cfg.Instances {
		addresses = append(addresses, instance.Listen)
	}
	return append(addresses, cfg.PeerAddresses()...)
}

// listen opens the sockets of a configuration that are not open yet. If it returns an error, nothing has changed.
func (d *Daemon) listen(cfg *daemonconfig.Config) error {
	packets, err := d.openPackets(cfg)
	if err != nil {
		return err
	}
	var opened []daemonconfig.Address
	for _, address := range listenAddresses(cfg) {
		if d.listeners[address] != nil {
			continue
		}
		listener, err := listenOn(address)
		if err != nil {
			for _, previous := range opened {
				d.closeSocket(previous)
			}
			if packets != "" {
				_ = d.packetConns[packets].Close()
				delete(d.packetConns, packets)
			}
			return fmt.Errorf("listen %s: %w", address, err)
		}
		d.listeners[address] = listener
		opened = append(opened, address)
	}
	return nil
}

// openPackets opens the datagram socket of a configuration and returns its address. It returns an empty address if
// there is nothing to open.
func (d *Daemon) openPackets(cfg *daemonconfig.Config) (opened string, err error) {
	if cfg.Peers == nil || d.packetConns[cfg.Peers.Listen] != nil {
		return "", nil
	}
	address, err := netip.ParseAddrPort(cfg.Peers.Listen)
	if err != nil {
		return "", err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return "", fmt.Errorf("listen udp:%s: %w", cfg.Peers.Listen, err)
	}
	d.packetConns[cfg.Peers.Listen] = conn
	return cfg.Peers.Listen, nil
}

// closeUnusedPackets closes the datagram sockets that are not in the configuration.
func (d *Daemon) closeUnusedPackets() {
	for address, conn := range d.packetConns {
		if d.cfg.Peers == nil || d.cfg.Peers.Listen != address {
			_ = conn.Close()
			delete(d.packetConns, address)
		}
	}
}

// listenOn opens a listener at an address. A Unix socket on which no process listens any more was left by a daemon
// that was killed, and is removed.
func listenOn(address daemonconfig.Address) (net.Listener, error) {
	listener, err := net.Listen(address.Network, address.Addr)
	if err != nil && address.Network == "unix" && removeAbandoned(address.Addr) {
		listener, err = net.Listen(address.Network, address.Addr)
	}
	if unix, ok := listener.(*net.UnixListener); ok {
		unix.SetUnlinkOnClose(false) // a successor may listen on the same path
	}
	return listener, err
}

// removeAbandoned removes a Unix socket on which no process listens, and reports whether it did.
func removeAbandoned(path string) bool {
	info, err := os.Stat(path)
	if err != nil || info.Mode()&os.ModeSocket == 0 {
		return false
	}
	conn, err := net.DialTimeout("unix", path, dialTimeout)
	if err == nil { // a process listens
		_ = conn.Close()
		return false
	}
	// Any other error is temporary, for example a full queue.
	return errors.Is(err, syscall.ECONNREFUSED) && os.Remove(path) == nil
}

// copyOf returns a listener with another descriptor of the same socket. Closing the copy does not affect the
// original, nor the connections that wait to be accepted.
func copyOf(listener net.Listener) (net.Listener, error) {
	file, err := fileOf(listener, listener.Addr().String())
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return net.FileListener(file)
}

// copyOfUDP is like copyOf for a datagram socket.
func copyOfUDP(conn *net.UDPConn) (*net.UDPConn, error) {
	if conn == nil {
		return nil, errors.New("the socket for datagrams is not open")
	}
	file, err := fileOf(conn, conn.LocalAddr().String())
	if err != nil {
		return nil, err
	}
	defer file.Close()
	copied, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	return copied.(*net.UDPConn), nil
}

// fileOf returns a copy of a socket's descriptor. The listener's own File method can't be used: os/exec passes such a
// file on in blocking mode, which then applies to every copy of the socket. An accept that begins after that blocks
// in the kernel, and closing its descriptor does not wake it.
func fileOf(socket any, name string) (*os.File, error) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no descriptor", socket)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var copied int
	var dupErr error
	err = raw.Control(func(fd uintptr) {
		syscall.ForkLock.RLock() // prevents a child from being started before the copy is marked close-on-exec
		defer syscall.ForkLock.RUnlock()
		copied, dupErr = syscall.Dup(int(fd))
		if dupErr == nil {
			syscall.CloseOnExec(copied)
		}
	})
	if err == nil {
		err = os.NewSyscallError("dup", dupErr)
	}
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(copied), name), nil
}

// closeSocket closes the daemon's listener of an address and removes a Unix socket's path.
func (d *Daemon) closeSocket(address daemonconfig.Address) {
	listener := d.listeners[address]
	if unix, ok := listener.(*net.UnixListener); ok {
		unix.SetUnlinkOnClose(true)
	}
	_ = listener.Close()
	delete(d.listeners, address)
}

// closeSockets closes all sockets of a daemon that could not be started.
func (d *Daemon) closeSockets() {
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	for _, conn := range d.packetConns {
		_ = conn.Close()
	}
}
