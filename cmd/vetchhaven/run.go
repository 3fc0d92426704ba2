package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"vetchhaven/internal/core"
	"vetchhaven/internal/http1"
	"vetchhaven/internal/ops"
)

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "run",
		Short: "Serve the clients of one process, as the platform starts it",
		Long: "run reads the configuration that PROXY_CONFIG names (PROXY_NAME, PROXY_LISTEN and\n" +
			"PROXY_DISCOVERY go before it), serves until SIGTERM and reads it again at SIGHUP.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runAgent() },
	}
}

// runAgent serves until SIGTERM. It ends with status 1 where the configuration makes no sense.
func runAgent() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := serveAgent(log); err != nil {
		log.Error("vetchhaven", "error", err)
		return exit{status: 1}
	}
	return nil
}

func serveAgent(log *slog.Logger) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	// Caught from the very start: the default of SIGHUP is to end the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := core.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	// The heap is small: collect seldom, but well before the memory limit kills the process.
	debug.SetGCPercent(400)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	}
	a, err := http1.New(cfg, log.With("agent", cfg.Name), core.Parts{})
	if err != nil {
		return err
	}
	if cfg.Admin != "" {
		door, err := ops.Open(cfg.Admin, a, nil, log)
		if err != nil {
			return err
		}
		defer door.Close()
	}
	go reload(a, hup, log)
	return a.Run(stop)
}

// reload reads the configuration again at each SIGHUP. Those that come meanwhile count as one. A
// file that makes no sense changes nothing.
func reload(a *core.Agent, hup <-chan os.Signal, log *slog.Logger) {
	for range hup {
		cfg, err := core.ReloadConfig(os.Getenv)
		if err != nil {
			log.Error("configuration not reloaded, the old one holds", "error", err)
			continue
		}
		a.Reload(cfg)
	}
}
