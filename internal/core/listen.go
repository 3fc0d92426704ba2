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

// inheritedEnv is the variable that holds the descriptor of the clients' listening socket, if the platform keeps the
// socket open and passes it to each process of an agent. In that case an old process and its successor accept
// connections from the same queue.
const inheritedEnv = "PROXY_INHERITED_FD"

const (
	// minInheritedFD is the first descriptor after the standard streams, and maxInheritedFD the largest that the kernel
	// allows by default.
	minInheritedFD = 3
	maxInheritedFD = 1 << 20

	// listenRetryInterval is the time between two attempts to listen, and maxListenRetry the time after which no more
	// are made: the platform considers an agent failed if it is not ready by then.
	listenRetryInterval = 10 * time.Millisecond
	maxListenRetry      = 30 * time.Second
)

// parseInherited parses the number of the inherited descriptor; an empty text gives 0, which means that there is none.
func parseInherited(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < minInheritedFD || fd > maxInheritedFD {
		return 0, fmt.Errorf("%s: %q is not a descriptor number above %d", inheritedEnv, text, minInheritedFD-1)
	}
	return fd, nil
}

// IsTransient reports whether an error is a system error that may be transient: an address in use by a process that
// this one replaces, a lack of descriptors or memory, or a disk or network failure.
func IsTransient(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ENOSPC, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.EBUSY, syscall.ENETDOWN,
		syscall.ENETUNREACH, syscall.ESTALE, syscall.ETIMEDOUT:
		return true
	}
	return false
}

// Listen opens the clients' socket. While that fails with a transient error, such as an address in use by the
// draining process that this one replaces, Listen tries again, for maxListenRetry or until ctx ends.
func Listen(ctx context.Context, cfg *Config, log *slog.Logger) (net.Listener, error) {
	ln, err := listen(cfg)
	if IsTransient(err) {
		log.Warn("listening at the clients' address failed and is retried", "listen", cfg.Listen, "error", err)
		ln, err = retryListen(ctx, cfg, err)
	}
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// retryListen tries to listen until it succeeds or the error is not transient. It returns the last error if ctx ends or
// maxListenRetry passes first.
func retryListen(ctx context.Context, cfg *Config, err error) (net.Listener, error) {
	limit, cancel := context.WithTimeout(ctx, maxListenRetry)
	defer cancel()
	retry := time.NewTicker(listenRetryInterval)
	defer retry.Stop()
	var ln net.Listener
	for IsTransient(err) && limit.Err() == nil {
		select {
		case <-retry.C:
			ln, err = listen(cfg)
		case <-limit.Done():
		}
	}
	return ln, err
}

// listen opens the clients' socket, or uses the inherited one. Closing an inherited socket affects only this process:
// other processes that have the socket open continue to accept, also the connections in its queue.
func listen(cfg *Config) (net.Listener, error) {
	if cfg.InheritedFD != 0 {
		return listenInherited(cfg.InheritedFD)
	}
	addr, err := net.ResolveTCPAddr("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", addr)
}

func listenInherited(fd int) (net.Listener, error) {
	// The descriptor is checked before it becomes an os.File, which would own and close it even if it is no listening
	// socket.
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err == nil && listening == 0 {
		err = syscall.EINVAL
	}
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d is no listening socket: %w", inheritedEnv, fd, err)
	}
	// The inherited descriptor is closed, so that processes which this one starts do not inherit it. The copy that
	// FileListener makes is closed on exec.
	f := os.NewFile(uintptr(fd), "inherited")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", inheritedEnv, err)
	}
	return ln, nil
}
