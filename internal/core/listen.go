package core

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// inheritedEnv names the descriptor of the clients' listening socket, where the platform holds it and
// passes it on to each process of an agent. An old process and a new one then accept from one queue.
const inheritedEnv = "PROXY_INHERITED_FD"

// leastInherited: below it are the standard streams.
const minInheritedFD = 3

// parseInherited reads the descriptor's number; 0: none is inherited.
func parseInherited(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < minInheritedFD || fd > 1<<20 {
		return 0, fmt.Errorf("%s: %q is no descriptor above %d", inheritedEnv, text, minInheritedFD-1)
	}
	return fd, nil
}

const (
	// listenRetryInterval is how often an address that is in use is tried, and listenMost for how long: the platform takes an
	// agent that is not ready by then for failed.
	listenRetryInterval = 10 * time.Millisecond
	maxListenRetry      = 30 * time.Second
)

// IsTransient reports whether an error is one of the system's that may be over in a moment: an address in use, by a process
// that this one replaces, no descriptor or memory, a disk or a network that fails.
func IsTransient(err error) bool {
	var e syscall.Errno
	if !errors.As(err, &e) {
		return false
	}
	switch e {
	case syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EIO,
		syscall.EINTR, syscall.EAGAIN, syscall.EBUSY, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ESTALE, syscall.ETIMEDOUT:
		return true
	}
	return false
}

// Listen opens the clients' socket. While that fails in a way that may pass, as its address is in use by the process that
// this one replaces and that still drains, it is tried again, until ctx ends.
func Listen(ctx context.Context, cfg *Config, log *slog.Logger) (net.Listener, error) {
	ln, err := listen(cfg)
	if IsTransient(err) {
		log.Warn("the clients' address can't be listened at yet, and is tried again", "listen", cfg.Listen, "error", err)
		limit, cancel := context.WithTimeout(ctx, maxListenRetry)
		defer cancel()
		again := time.NewTicker(listenRetryInterval)
		defer again.Stop()
		for IsTransient(err) && limit.Err() == nil {
			select {
			case <-again.C:
				ln, err = listen(cfg)
			case <-limit.Done():
			}
		}
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
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
