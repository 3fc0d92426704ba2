package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
)

// clockEnv moves the wall clock by which a member of a fleet numbers its starts: drills set it.
const clockEnv = "VETCHHAVEN_CLOCK_OFF"

const defaultFleet = "deploy/fleet.toml"

func serveCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run a fleet of instances in one process, as a configuration file says",
		Long: "serve hosts the instances that the file names until SIGTERM. SIGHUP, or vetchhaven reload, applies a\n" +
			"changed file; SIGUSR2, or vetchhaven handover, hands the sockets over to a fresh process without a gap.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(config) },
	}
	c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's file")
	return c
}

func serve(path string) error {
	level, err := logLevel(os.Getenv)
	if err != nil {
		return exit{2, err}
	}
	w := newLogWriter(os.Stderr)
	defer w.flush()
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR2)
	before, err := daemon.Inherit()
	if err != nil {
		return exit{1, err}
	}
	cfg, err := daemonconfig.Load(path)
	if err != nil {
		return exit{2, err}
	}
	clockOff, err := time.ParseDuration(cmp.Or(os.Getenv(clockEnv), "0s"))
	if err != nil {
		return exit{2, fmt.Errorf("%s: %w", clockEnv, err)}
	}
	// Heaps are small and many: collect seldom, but well before a memory limit.
	debug.SetGCPercent(400)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	}
	var successor *exec.Cmd // set by Upgrade
	d, err := daemon.New(daemon.Options{Config: cfg, Log: log, Program: version, WallSkew: clockOff, Inherit: before.Sockets, State: before.State,
		Ready: func() {
			log.Info("ready", "instances", len(cfg.Instances), "pid", os.Getpid())
			if err := before.Ready(); err != nil {
				log.Warn("the daemon before was not told", "error", err)
			}
		},
		Upgrade: func(ctx context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			either, end := context.WithCancel(ctx)
			defer end()
			defer context.AfterFunc(stop, end)()
			cmd := exec.Command(self, os.Args[1:]...)
			cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
			successor = cmd
			return daemon.Successor(either, cmd, sockets, state, daemon.ReadyTimeout)
		},
		ReloadSuccessor: func() error { return successor.Process.Signal(syscall.SIGHUP) },
	})
	if err != nil {
		return exit{1, err}
	}
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				if _, err := d.Reload(); err != nil && !errors.Is(err, daemon.ErrReloadPassedOn) {
					log.Error("configuration not applied, the old one holds", "error", err)
				}
			} else {
				go func() { _ = d.Handover(stop) }() // it says itself what becomes of it
			}
		}
	}()
	if err := d.Run(stop); err != nil && !errors.Is(err, daemon.ErrHandedOver) {
		return exit{1, err}
	}
	return nil
}
