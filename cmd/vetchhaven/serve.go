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

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/host/idfile"
	"vetchhaven/internal/host/memlimit"
)

// clockEnv is the environment variable that shifts the wall clock from which a member of a fleet derives its boot
// number. Drills set it.
const clockEnv = "VETCHHAVEN_CLOCK_OFF"

const defaultFleet = "deploy/fleet.toml"

func serveCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run the instances of a configuration file in one process",
		Long: "serve runs the instances that the file names until SIGTERM. SIGHUP, or vetchhaven reload, applies a changed\n" +
			"file. SIGUSR2, or vetchhaven handover, hands the sockets over to a new process without a gap in service.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(config) },
	}
	c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's configuration file")
	return c
}

func serve(path string) error {
	level, err := logLevel(os.Getenv)
	if err != nil {
		return exitError{2, err}
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
		return exitError{1, err}
	}
	cfg, err := daemonconfig.Load(path)
	if err != nil {
		return exitError{2, err}
	}
	clockOff, err := time.ParseDuration(cmp.Or(os.Getenv(clockEnv), "0s"))
	if err != nil {
		return exitError{2, fmt.Errorf("%s: %w", clockEnv, err)}
	}
	// The instances' heaps are small, so the collector runs less often, but still well before the memory limit.
	debug.SetGCPercent(400)
	memory := &memlimit.Limiter{}
	memory.Set(cfg.MemoryMB)
	go memory.Run(stop)
	idsFile, ids := sharedIDs(before.IDs, cfg.MemoryMB, log)
	var successor *exec.Cmd // set by the StartSuccessor function
	d, err := daemon.New(daemon.Options{Config: cfg, Log: log, Version: version, WallSkew: clockOff, Inherit: before.Sockets, IDs: ids, MemoryShort: memory.Short, Snapshot: before.Snapshot,
		Ready: func() {
			log.Info("ready", "instances", len(cfg.Instances), "pid", os.Getpid())
			if err := before.Ready(); err != nil {
				log.Warn("could not notify the predecessor that this daemon is ready", "error", err)
			}
		},
		StartSuccessor: func(ctx context.Context, sockets map[daemonconfig.Address]*os.File, state []byte) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			either, end := context.WithCancel(ctx)
			defer end()
			defer context.AfterFunc(stop, end)()
			cmd := exec.Command(self, os.Args[1:]...)
			cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
			if idsFile != nil {
				cmd.ExtraFiles = []*os.File{idsFile}
			}
			successor = cmd
			return daemon.StartSuccessor(either, cmd, sockets, state, daemon.ReadyTimeout)
		},
		ReloadSuccessor: func() error { return successor.Process.Signal(syscall.SIGHUP) },
	})
	if err != nil {
		return exitError{1, err}
	}
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				if _, err := d.Reload(); err != nil && !errors.Is(err, daemon.ErrReloadPassedOn) {
					log.Error("configuration not applied; the previous one stays in effect", "error", err)
				}
			} else {
				go func() { _ = d.Handover(stop) }() // Handover logs its own result
			}
		}
	}()
	if err := d.Run(stop); err != nil && !errors.Is(err, daemon.ErrHandedOver) {
		return exitError{1, err}
	}
	return nil
}

// sharedIDs returns the table of the request IDs that this daemon or its predecessor has executed, and the file that a
// successor inherits. inherited is the predecessor's file, or nil. Without a table each agent has one of its own, and a
// successor may execute an ID again.
func sharedIDs(inherited *os.File, memoryMB int, log *slog.Logger) (*os.File, *core.IDTable) {
	file, err := inherited, error(nil)
	if file == nil {
		file, err = idfile.New()
	}
	var ids *core.IDTable
	if err == nil {
		ids, err = idfile.Map(file, memoryMB)
	}
	if err != nil {
		log.Error("the IDs of executed requests can't be shared with a successor", "error", err)
		return nil, nil
	}
	return file, ids
}
