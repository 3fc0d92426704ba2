package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/source/endpoints"
)

func membersCommand() *cobra.Command {
	var config, source string
	var watch bool
	var wait time.Duration
	c := &cobra.Command{
		Use:   "members",
		Short: "Print the servers of a fleet's sources, and why each one is in or out",
		Long: "members reads each source of the file directly, as a daemon does, and prints the merged view: once, when all\n" +
			"parts have been received or the wait is over (status 1), or after each change with --watch.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return members(config, source, watch, wait, c.OutOrStdout()) },
	}
	c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's configuration file")
	c.Flags().StringVar(&source, "source", "", "read only this source")
	c.Flags().BoolVar(&watch, "watch", false, "print each change, until Ctrl-C")
	c.Flags().DurationVar(&wait, "wait", 5*time.Second, "how long to wait for the parts of a source")
	return c
}

func members(config, onlySource string, watch bool, wait time.Duration, out io.Writer) error {
	cfg, err := daemonconfig.Load(config)
	if err != nil {
		return exitError{2, err}
	}
	var names []string
	for n := range cfg.Sources {
		if onlySource == "" || n == onlySource {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return exitError{2, fmt.Errorf("%s: there is no source %q", config, onlySource)}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	changed := make(chan string, 64)
	mergers := map[string]*daemon.Merger{}
	for _, n := range names {
		s := cfg.Sources[n]
		hub := discovery.NewHub(discovery.HubOptions{Log: log})
		var list *discovery.Hub
		if s.List != "" {
			list = discovery.NewHub(discovery.HubOptions{Addr: s.List, ConnectTimeout: wait, Log: log})
		}
		m := daemon.NewMerger(s, hub, daemon.EarlierSource{}, log, func([]endpoints.ListedServer) {
			select {
			case changed <- n:
			default:
			}
		})
		mergers[n] = m
		go m.Run(ctx, list)
	}
	limit := time.After(wait)
	complete := false
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for timedOut := false; !timedOut && !complete; {
		select {
		case <-poll.C:
			complete = true
			for _, m := range mergers {
				_, w := m.Members()
				complete = complete && w
			}
		case <-limit:
			timedOut = true
		case <-ctx.Done():
			return nil
		}
	}
	for _, n := range names {
		list, w := mergers[n].Members()
		if err := printMembers(out, n, list, w); err != nil {
			return exitError{1, err}
		}
	}
	if !watch {
		if !complete {
			return exitError{status: 1}
		}
		return nil
	}
	for {
		select {
		case n := <-changed:
			list, w := mergers[n].Members()
			fmt.Fprintf(out, "\n%s\n", time.Now().Format(time.TimeOnly))
			if err := printMembers(out, n, list, w); err != nil {
				return exitError{1, err}
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func printMembers(out io.Writer, name string, list []endpoints.ListedServer, complete bool) error {
	note := ""
	if !complete {
		note = " (incomplete: not all of its parts have been received)"
	}
	fmt.Fprintf(out, "source %s: %d servers%s\n", name, len(list), note)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join([]string{"", "server", "address", "zone", "pod", "kind", "weight", "why"}, "\t"))
	for _, v := range list {
		in := "out"
		switch {
		case v.In && v.State == endpoints.Up:
			in = "in"
		case v.In:
			in = "drains"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%g\t%s\n", in, v.ID, v.Addr, v.Zone, v.Pod, v.Kind, v.Weight, v.Why)
	}
	return w.Flush()
}
