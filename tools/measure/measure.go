// Package measure holds helpers that several measuring commands share: a daemon in this process, CPU time, and
// percentiles.
package measure

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
)

// Daemon runs a daemon with the given configuration in this process. It writes the configuration file into dir and
// returns once the daemon is ready.
func Daemon(dir string, config []byte) (d *daemon.Daemon, stop func(), err error) {
	path := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, nil, err
	}
	cfg, err := daemonconfig.Load(path)
	if err != nil {
		return nil, nil, err
	}
	ready := make(chan struct{})
	d, err = daemon.New(daemon.Options{Config: cfg, Log: slog.New(slog.DiscardHandler), Ready: func() { close(ready) }})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	<-ready
	return d, func() { cancel(); <-ended }, nil
}

// CPU returns the CPU time that this process has used so far, user and system time together.
func CPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// At returns the quantile of sorted durations, in milliseconds: share is 0.5 for the median. It returns 0 for an
// empty list.
func At(all []time.Duration, share float64) float64 {
	if len(all) == 0 {
		return 0
	}
	return float64(all[min(len(all)-1, int(share*float64(len(all))))].Microseconds()) / 1000
}
