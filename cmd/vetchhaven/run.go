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
	"vetchhaven/internal/protocol/http1"
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
	level, err := logLevel(os.Getenv)
	if err != nil {
		slog.Error("vetchhaven", "error", err)
		return exit{status: 1}
	}
	w := newLogWriter(os.Stderr)
	defer w.flush()
	log := slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
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
	cfg, err := loadConfig(stop, log)
	if err != nil {
		return err
	}
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	}
	// The heap is small: collect seldom, but well before the memory limit kills the process.
	debug.SetGCPercent(400)
	limitMemory(cfg.MemoryMB)
	ln, err := core.Listen(stop, cfg, log)
	if stop.Err() != nil {
		return nil // told to end while it waited for the address
	}
	if err != nil {
		return err
	}
	a, err := http1.New(cfg, log.With("agent", cfg.Name), core.Parts{Listener: ln})
	if err != nil {
		return err
	}
	if cfg.Admin != "" {
		leave, err := openDoor(cfg, a, log)
		if err != nil {
			return err
		}
		defer leave()
	}
	go reload(a, hup, log)
	return a.Run(stop)
}

// keptWait is how long a start waits for what operators said to the process before it. On a slow disk clients are served
// without it, and it holds as soon as it is read.
const keptWait = time.Second

// keptAgain is how often it is tried to open the directory of what operators say.
const keptAgain = time.Second

// operatorChanges is where what operators say is kept for other processes of the agent, once the disk has answered.
type operatorChanges struct{ dir atomic.Pointer[handoff.Dir] }

var errNotKept = errors.New("its directory does not answer")

// Publish keeps a change.
func (p *operatorChanges) Publish(c handoff.Change) error {
	if dir := p.dir.Load(); dir != nil {
		return dir.Publish(c)
	}
	return errNotKept
}

// openDoor opens the operators' door. What they say there holds in a process that replaces this one too.
func openDoor(cfg *core.Config, a *core.Agent, log *slog.Logger) (leave func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	kept := &operatorChanges{}
	looked := make(chan struct{})
	go follow(ctx, cfg, a, kept, looked, log)
	limit := time.NewTimer(keptWait)
	defer limit.Stop()
	select {
	case <-looked: // before any client is served, what was said to the old process holds in this one
	case <-limit.C:
		log.Error("what operators said is not known yet", "waited", keptWait)
	}
	door, err := admin.Listen(cfg.Admin, a, kept, log)
	late := make(chan *admin.Server, 1)
	switch {
	case err == nil:
		late <- door
	case core.IsTransient(err): // in use by the process that this one replaces, as a rule: clients need not wait
		log.Warn("the operators' address can't be listened at yet, and is tried again", "admin_addr", cfg.Admin, "error", err)
		go func() {
			for ctx.Err() == nil {
				time.Sleep(doorAgain)
				if door, err := admin.Listen(cfg.Admin, a, kept, log); err == nil {
					late <- door
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
		case door := <-late:
			_ = door.Close()
		default:
		}
		if dir := kept.dir.Load(); dir != nil {
			_ = dir.Close()
		}
	}, nil
}

// doorAgain is how often the operators' address is tried while it is in use.
const doorAgain = 250 * time.Millisecond

// follow takes over what operators say to other processes of the agent, until ctx ends. It closes looked once it has looked
// for the first time, or can't.
func follow(ctx context.Context, cfg *core.Config, a *core.Agent, kept *operatorChanges, looked chan<- struct{}, log *slog.Logger) {
	look := sync.OnceFunc(func() { close(looked) })
	defer look()
	path := filepath.Join(os.TempDir(), "vetchhaven-"+url.PathEscape(cfg.Name+"-"+cfg.Listen))
	dir, err := handoff.Open(path)
	if err != nil { // it serves all the same
		log.Error("what operators say holds in this process alone, until its directory can be opened", "error", err)
		look()
	}
	for err != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(keptAgain):
		}
		if dir, err = handoff.Open(path); err == nil {
			log.Info("what operators say is kept", "directory", path)
		}
	}
	kept.dir.Store(dir)
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
		log.Error("what operators said is not known", "error", err)
	}
	share := func(n int) {
		a.SetOtherProcesses(n)
		limitMemory(cfg.MemoryMB / (n + 1))
	}
	if n > 0 {
		share(n)
	}
	look()
	dir.Follow(ctx, n, apply, share, func(err error) { log.Error("what operators said is not known", "error", err) })
}

// limitMemory keeps the heap well below the limit that kills the process.
func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 3 / 4)
	}
}

// A configuration that can't be read, or makes no sense, as SIGHUP comes may be about to be replaced: it is read again, so
// often and for so long. What the new one says counts as told 4 s after the signal.
const (
	reloadAgain = 100 * time.Millisecond
	reloadMost  = 3 * time.Second
)

// reload reads the configuration again at each SIGHUP. Those that come meanwhile count as one. A
// file that makes no sense changes nothing.
func reload(a *core.Agent, hup <-chan os.Signal, log *slog.Logger) {
	again := time.NewTimer(reloadAgain)
	defer again.Stop()
	var asked time.Time // by the last signal that has not been carried out; zero: there is none
	for {
		select {
		case <-hup:
			asked = time.Now()
		case <-again.C:
			if asked.IsZero() {
				continue
			}
		}
		cfg, err := core.ReloadConfig(os.Getenv)
		if err == nil {
			a.Reload(cfg)
			asked = time.Time{}
			continue
		}
		if time.Since(asked) < reloadAgain { // once for each signal
			log.Error("configuration not reloaded, the old one holds", "error", err, "tried_again_for", reloadMost)
		}
		if time.Since(asked) >= reloadMost {
			log.Error("configuration not reloaded, and not tried again", "error", err)
			asked = time.Time{}
			continue
		}
		again.Reset(reloadAgain)
	}
}

// startAgain is how often a start that fails for want of descriptors, memory or a disk is tried again, and startMost for how
// long: the platform takes an agent that is not ready after 30 s for failed.
const (
	startAgain = 50 * time.Millisecond
	startMost  = 10 * time.Second
)

// loadConfig reads the configuration. A failure of the system that may pass is tried again; a file that is not there, or
// makes no sense, is not.
func loadConfig(stop context.Context, log *slog.Logger) (*core.Config, error) {
	began := time.Now()
	for try := 0; ; try++ {
		cfg, err := core.LoadConfig(os.Getenv)
		if err == nil || !core.IsTransient(err) || time.Since(began) > startMost {
			return cfg, err
		}
		if try == 0 { // not a line for every try
			log.Warn("the configuration can't be read yet", "error", err, "tried_again_for", startMost)
		}
		select {
		case <-stop.Done():
			return nil, err
		case <-time.After(startAgain):
		}
	}
}
