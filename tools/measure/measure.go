// Package measure is what the measuring commands share.
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

// Daemon runs a fleet of this configuration in this process, its file in dir, and returns once it is ready.
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

// CPU is what this process has used.
func CPU() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// At is the value in milliseconds below which a share of sorted ones lies; 0 of none.
func At(all []time.Duration, share float64) float64 {
	if len(all) == 0 {
		return 0
	}
	return float64(all[min(len(all)-1, int(share*float64(len(all))))].Microseconds()) / 1000
}
