package main

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/admin"
	"vetchhaven/internal/host/handoff"
	"vetchhaven/internal/host/idfile"
	"vetchhaven/internal/host/memlimit"
	"vetchhaven/internal/protocol/http1"
)

func runCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "run",
		Short: "Serve the clients of one process; the platform starts the agent with this command",
		Long: "run reads the configuration that PROXY_CONFIG names (PROXY_NAME, PROXY_LISTEN and\n" +
			"PROXY_DISCOVERY override it), serves until SIGTERM, and reads it again on SIGHUP.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runAgent() },
	}
}

// runAgent serves until SIGTERM. It returns status 1 if the configuration is invalid or serving fails.
func runAgent() error {
	level, err := logLevel(os.Getenv)
	if err != nil {
		slog.Error("vetchhaven", "error", err)
		return exitError{status: 1}
	}
	w := newLogWriter(os.Stderr)
	defer w.flush()
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
	if err := serveAgent(log); err != nil {
		log.Error("vetchhaven", "error", err)
		return exitError{status: 1}
	}
	return nil
}

func serveAgent(log *slog.Logger) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	// SIGHUP is caught before anything else, since its default action ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := loadConfig(stop, log)
	if err != nil {
		return err
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	// The heap is small, so the collector runs less often, but still well before the memory limit at which the process
	// is killed.
	debug.SetGCPercent(400)
	memory := &memlimit.Limiter{}
	memory.Set(cfg.MemoryMB)
	go memory.Run(stop)
	ln, err := core.Listen(stop, cfg, log)
	if stop.Err() != nil {
		return nil // stopped while it waited for the address
	}
	if err != nil {
		return err
	}
	a, err := http1.New(cfg, log.With("agent", cfg.Name), core.Options{
		Listener:    ln,
		IDs:         openIDs(cfg, log),
		MemoryShort: memory.Short,
	})
	if err != nil {
		return err
	}
	a.BoundStop(core.MaxStopDeadline)
	if cfg.Admin != "" {
		closeAdmin, err := startAdmin(cfg, a, memory, log)
		if err != nil {
			return err
		}
		defer closeAdmin()
	}
	go reload(a, hup, log)
	return a.Run(stop)
}

// operatorStateTimeout is how long a start waits for the operators' changes that the previous process stored. If the
// disk is slower, clients are served without these changes, which take effect as soon as they are read.
const operatorStateTimeout = time.Second

// openRetryInterval is the time between attempts to open the directory of the operators' changes.
const openRetryInterval = time.Second

// changePublisher is the Publisher of the operators' changes. dir is nil until the directory has been opened.
type changePublisher struct{ dir atomic.Pointer[handoff.Dir] }

var errDirNotOpen = errors.New("the directory of the operators' changes is not open")

// Publish stores a change for the agent's other processes.
func (p *changePublisher) Publish(c handoff.Change) error {
	if dir := p.dir.Load(); dir != nil {
		return dir.Publish(c)
	}
	return errDirNotOpen
}

// startAdmin starts the admin endpoint. Changes that operators make there also apply in a process that replaces this
// one.
func startAdmin(cfg *core.Config, a *core.Agent, memory *memlimit.Limiter, log *slog.Logger) (closeAdmin func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	publisher := &changePublisher{}
	loaded := make(chan struct{})
	go followChanges(ctx, cfg, a, publisher, memory, loaded, log)
	limit := time.NewTimer(operatorStateTimeout)
	defer limit.Stop()
	select {
	case <-loaded: // the changes made at the old process are in effect here before any client is served
	case <-limit.C:
		log.Error("operators' changes could not be read yet; serving without them until they are read",
			"waited", operatorStateTimeout)
	}
	server, err := admin.Listen(cfg.Admin, a, publisher, log)
	started := make(chan *admin.Server, 1)
	switch {
	case err == nil:
		started <- server
	case core.IsTransient(err): // usually the replaced process still has the address; clients need not wait
		log.Warn("listening at the admin address failed and is retried", "admin_addr", cfg.Admin, "error", err)
		go func() {
			for ctx.Err() == nil {
				time.Sleep(adminRetryInterval)
				if server, err := admin.Listen(cfg.Admin, a, publisher, log); err == nil {
					started <- server
					return
				}
			}
		}()
	default:
		cancel()
		return nil, err
	}
	return func() {
		cancel()
		select {
		case server := <-started:
			_ = server.Close()
		default:
		}
		if dir := publisher.dir.Load(); dir != nil {
			_ = dir.Close()
		}
	}, nil
}

// sharedDir returns the path of the directory that all processes of an agent share.
func sharedDir(cfg *core.Config) string {
	return filepath.Join(os.TempDir(), "vetchhaven-"+url.PathEscape(cfg.Name+"-"+cfg.Listen))
}

const (
	idsFileName = "ids"
	// idsTimeout is how long a start waits for the file of IDs.
	idsTimeout = 250 * time.Millisecond
)

// openIDs returns the table of the request IDs that any process of the agent has executed, or nil if it can't be opened
// in time: this process then remembers its own.
func openIDs(cfg *core.Config, log *slog.Logger) *core.IDTable {
	opened := make(chan *core.IDTable, 1)
	go func() {
		dir := sharedDir(cfg)
		var ids *core.IDTable
		err := handoff.MakeDir(dir)
		if err == nil {
			ids, err = idfile.Open(filepath.Join(dir, idsFileName), cfg.MemoryMB)
		}
		if err != nil {
			log.Error("the IDs of executed requests can't be shared with the agent's other processes", "error", err)
		}
		opened <- ids
	}()
	select {
	case ids := <-opened:
		return ids
	case <-time.After(idsTimeout):
		log.Error("the file with the IDs of executed requests could not be opened in time; this process remembers its own",
			"waited", idsTimeout)
		return nil
	}
}

// adminRetryInterval is the time between attempts to listen on the admin address while it is in use.
const adminRetryInterval = 250 * time.Millisecond

// followChanges applies the operators' changes that other processes of the agent store, until ctx ends. It closes
// loaded once it has read the stored changes for the first time, or has failed to open the directory.
func followChanges(ctx context.Context, cfg *core.Config, a *core.Agent, publisher *changePublisher, memory *memlimit.Limiter, loaded chan<- struct{}, log *slog.Logger) {
	markLoaded := sync.OnceFunc(func() { close(loaded) })
	defer markLoaded()
	path := sharedDir(cfg)
	dir, err := handoff.Open(path)
	if err != nil { // clients are served nevertheless
		log.Error("operators' changes apply in this process only, until the directory for sharing them can be opened",
			"error", err)
		markLoaded()
	}
	for err != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(openRetryInterval):
		}
		if dir, err = handoff.Open(path); err == nil {
			log.Info("operators' changes are now shared with other processes", "directory", path)
		}
	}
	publisher.dir.Store(dir)
	apply := func(c handoff.Change) error {
		if c.Server == "" {
			a.SetDrained(c.On)
			return nil
		}
		limit, done := context.WithTimeout(ctx, time.Second)
		defer done()
		return a.ForceServerDisabled(limit, c.Server, c.On)
	}
	n, err := dir.Sync(apply)
	if err != nil {
		log.Error("operators' changes could not be read", "error", err)
	}
	setOtherProcesses := func(n int) {
		a.SetOtherProcesses(n)
		memory.Set(cfg.MemoryMB / (n + 1))
	}
	if n > 0 {
		setOtherProcesses(n)
	}
	markLoaded()
	dir.Follow(ctx, n, apply, setOtherProcesses, func(err error) { log.Error("operators' changes could not be read", "error", err) })
}

// A configuration that can't be read or is invalid when SIGHUP arrives may be about to be replaced. It is read again
// at reloadRetryInterval, for at most reloadRetryTimeout. The new configuration counts as received 4 s after the
// signal.
const (
	reloadRetryInterval = 100 * time.Millisecond
	reloadRetryTimeout  = 3 * time.Second
)

// reload reads the configuration again on each SIGHUP. Signals that arrive during a reload count as one. An invalid
// file leaves the configuration unchanged.
func reload(a *core.Agent, hup <-chan os.Signal, log *slog.Logger) {
	retry := time.NewTimer(reloadRetryInterval)
	defer retry.Stop()
	var requestedAt time.Time // time of the last signal if it has not been handled yet, otherwise zero
	for {
		select {
		case <-hup:
			requestedAt = time.Now()
		case <-retry.C:
			if requestedAt.IsZero() {
				continue
			}
		}
		cfg, err := core.ReloadConfig(os.Getenv)
		if err == nil {
			a.Reload(cfg)
			requestedAt = time.Time{}
			continue
		}
		if time.Since(requestedAt) < reloadRetryInterval { // log once for each signal
			log.Error("configuration not reloaded yet; the previous one stays in effect",
				"error", err, "tried_again_for", reloadRetryTimeout)
		}
		if time.Since(requestedAt) >= reloadRetryTimeout {
			log.Error("configuration not reloaded; giving up until the next signal", "error", err)
			requestedAt = time.Time{}
			continue
		}
		retry.Reset(reloadRetryInterval)
	}
}

// A start that fails for lack of descriptors, memory or a disk is retried at startRetryInterval, for at most
// startRetryTimeout. The timeout is below the 30 s after which the platform treats an agent that is not ready as
// failed.
const (
	startRetryInterval = 50 * time.Millisecond
	startRetryTimeout  = 10 * time.Second
)

// loadConfig reads the configuration. It retries after a transient failure of the system, but not if the file is
// missing or invalid.
func loadConfig(stop context.Context, log *slog.Logger) (*core.Config, error) {
	began := time.Now()
	for attempt := 0; ; attempt++ {
		cfg, err := core.LoadConfig(os.Getenv)
		if err == nil || !core.IsTransient(err) || time.Since(began) > startRetryTimeout {
			return cfg, err
		}
		if attempt == 0 { // log only the first attempt
			log.Warn("reading the configuration failed and is retried", "error", err, "tried_again_for", startRetryTimeout)
		}
		select {
		case <-stop.Done():
			return nil, err
		case <-time.After(startRetryInterval):
		}
	}
}
