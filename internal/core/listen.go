package core

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// inheritedEnv names the descriptor of the clients' listening socket, where the platform holds it and
// passes it on to each process of an agent. An old process and a new one then accept from one queue.
const inheritedEnv = "PROXY_INHERITED_FD"

// leastInherited: below it are the standard streams.
const leastInherited = 3

// parseInherited reads the descriptor's number; 0: none is inherited.
func parseInherited(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < leastInherited || fd > 1<<20 {
		return 0, fmt.Errorf("%s: %q is no descriptor above %d", inheritedEnv, text, leastInherited-1)
	}
	return fd, nil
}

// listen opens the clients' socket, or takes the one that this process has inherited. Closing it ends
// accepting here alone: other processes that hold it go on, and what waits in its queue is theirs.
func listen(cfg *Config) (net.Listener, error) {
	if cfg.InheritedFD == 0 {
		addr, err := net.ResolveTCPAddr("tcp", cfg.Listen)
		if err != nil {
			return nil, err
		}
		return net.ListenTCP("tcp", addr)
	}
	// Before it is made a file, which would own and close whatever it is.
	on, err := syscall.GetsockoptInt(cfg.InheritedFD, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err == nil && on == 0 {
		err = syscall.EINVAL
	}
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is no listening socket: %w", inheritedEnv, cfg.InheritedFD, err)
	}
	// The one that is kept must not reach a process that this one starts. The copy that FileListener
	// makes is closed on exec anyway.
	f := os.NewFile(uintptr(cfg.InheritedFD), "inherited")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", inheritedEnv, err)
	}
	return ln, nil
}
