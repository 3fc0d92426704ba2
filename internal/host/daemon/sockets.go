package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"vetchhaven/internal/host/daemonconfig"
)

// listenAddresses is every address that a configuration names.
func listenAddresses(cfg *daemonconfig.Config) []daemonconfig.Address {
	all := []daemonconfig.Address{cfg.Admin}
	for _, i := range cfg.Instances {
		all = append(all, i.Listen)
	}
	return append(all, cfg.PeerAddresses()...)
}

// listen opens what is not open yet. After an error nothing has changed.
func (d *Daemon) listen(cfg *daemonconfig.Config) (opened []daemonconfig.Address, err error) {
	packets, err := d.openPackets(cfg)
	if err != nil {
		return nil, err
	}
	for _, a := range listenAddresses(cfg) {
		if d.listeners[a] != nil {
			continue
		}
		ln, err := listenOn(a)
		if err != nil {
			for _, b := range opened {
				d.closeSocket(b)
			}
			if packets != "" {
				_ = d.packetConns[packets].Close()
				delete(d.packetConns, packets)
			}
			return nil, fmt.Errorf("listen %s: %w", a, err)
		}
		d.listeners[a] = ln
		opened = append(opened, a)
	}
	return opened, nil
}

// listenOn opens one address. A unix socket that nobody listens on any more is one that a daemon
// left when it was killed: it goes.
func listenOn(a daemonconfig.Address) (net.Listener, error) {
	ln, err := net.Listen(a.Network, a.Addr)
	if err != nil && a.Network == "unix" {
		if info, stat := os.Stat(a.Addr); stat == nil && info.Mode()&os.ModeSocket != 0 {
			c, dial := net.DialTimeout("unix", a.Addr, time.Second)
			switch {
			case dial == nil:
				_ = c.Close() // someone listens
			case errors.Is(dial, syscall.ECONNREFUSED) && os.Remove(a.Addr) == nil: // nobody does: any other error is of this moment
				ln, err = net.Listen(a.Network, a.Addr)
			}
		}
	}
	if u, ok := ln.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(false) // a successor may listen on it
	}
	return ln, err
}

// copyOf is another descriptor of the same socket: accepting on it, and closing it, leaves the
// first one alone, and with it what waits to be accepted.
func copyOf(ln net.Listener) (net.Listener, error) {
	f, err := fileOf(ln, ln.Addr().String())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

// fileOf is a copy of the socket's descriptor. The listener's own File would do, but for what exec makes
// of it: it hands such a file on in blocking mode, which holds for every copy, and an accept that begins
// then waits in the kernel, where closing its descriptor does not wake it.
func fileOf(socket any, name string) (*os.File, error) {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T has no descriptor", socket)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	var copied int
	var fail error
	err = raw.Control(func(fd uintptr) {
		syscall.ForkLock.RLock() // no child is started before it is marked
		defer syscall.ForkLock.RUnlock()
		if copied, fail = syscall.Dup(int(fd)); fail == nil {
			syscall.CloseOnExec(copied)
		}
	})
	if err == nil {
		err = os.NewSyscallError("dup", fail)
	}
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(copied), name), nil
}

// closeSocket gives an address up for good.
func (d *Daemon) closeSocket(a daemonconfig.Address) {
	ln := d.listeners[a]
	if u, ok := ln.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(true)
	}
	_ = ln.Close()
	delete(d.listeners, a)
}

func (d *Daemon) closeSockets() {
	for _, ln := range d.listeners {
		_ = ln.Close()
	}
	for _, u := range d.packetConns {
		_ = u.Close()
	}
}
