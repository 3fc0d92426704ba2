package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/transport"
)

// fleetCommand returns the commands with which operators query a daemon about its fleet.
func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet", Short: "Show how daemons see their fleet, and remove members that are permanently gone", Args: cobra.NoArgs}
	var config string
	var asJSON bool
	view := &cobra.Command{Use: "view", Short: "Show the members that a daemon knows", Args: cobra.NoArgs,
		Long: "view queries the daemon of the given file for the members that it knows: their state, since when and on whose\nreport, the digest of its view (daemons with the same digest have the same view), and its own state.",
		RunE: func(*cobra.Command, []string) error {
			body, err := callAdmin(config, http.MethodGet, "/fleet/view", 10*time.Second)
			if err != nil || asJSON {
				_, _ = os.Stdout.Write(body)
				return err
			}
			var s transport.MembershipStatus
			if err := json.Unmarshal(body, &s); err != nil {
				return exitError{1, err}
			}
			return showView(&s, os.Stdout)
		}}
	view.Flags().BoolVar(&asJSON, "json", false, "print the complete response as JSON")
	forget := &cobra.Command{Use: "forget NAME", Short: "Declare a dead member permanently gone, so that it is no longer counted", Args: cobra.ExactArgs(1),
		Long: "forget is an operator's statement, logged and sent to all members: the daemon of that name does not run and sends\nnothing. Silence alone never removes a member from the count, since an agent behind a broken link continues to send.\nA forgotten member that does run announces itself and is counted again.",
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := callAdmin(config, http.MethodPost, "/fleet/forget?name="+url.QueryEscape(args[0]), 10*time.Second)
			return err
		}}
	for _, c := range []*cobra.Command{view, forget} {
		c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's configuration file")
	}
	diff := &cobra.Command{Use: "diff A B", Short: "Show where the views of two daemons differ; A and B are their configuration files", Args: cobra.ExactArgs(2),
		Long: "diff queries the daemons of two files for their views, and prints the members on which the views differ.\nIts exit status is 1 if there are any.",
		RunE: func(_ *cobra.Command, args []string) error {
			var pair [2]transport.MembershipStatus
			for i, path := range args {
				body, err := callAdmin(path, http.MethodGet, "/fleet/view", 10*time.Second)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(body, &pair[i]); err != nil {
					return exitError{1, err}
				}
			}
			if n := diffViews(&pair[0], &pair[1], os.Stdout); n > 0 {
				return exitError{status: 1}
			}
			return nil
		}}
	root.AddCommand(view, diff, forget, limitsCommand(), verdictsCommand())
	return root
}

func verdictsCommand() *cobra.Command {
	var config string
	var asJSON bool
	c := &cobra.Command{Use: "verdicts", Short: "Show the fleet's shared verdicts on servers", Args: cobra.NoArgs,
		Long: "verdicts queries the daemon of the given file for the servers with evidence against them: whether a server is ejected,\non whose evidence and since when, which share of the members uses it now, and why this daemon does not follow.",
		RunE: func(*cobra.Command, []string) error {
			body, err := callAdmin(config, http.MethodGet, "/fleet/verdicts", 10*time.Second)
			if err != nil || asJSON {
				_, _ = os.Stdout.Write(body)
				return err
			}
			var s transport.EjectionStatus
			if err := json.Unmarshal(body, &s); err != nil {
				return exitError{1, err}
			}
			c := s.Counts
			fmt.Printf("seen by %s: %d out so far, %d of them back, %d lapsed, %d held back since too many were out\n", s.Name, c.Ejected, c.Readmitted, c.Expired, c.Capped)
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "server\tverdict\tfor\tanswered\tfailed\tused by\tfollowed\twhy\tby")
			for _, v := range s.Servers {
				followed := "yes"
				if !v.Followed {
					followed = cmp.Or(v.NotFollowedReason, "no")
				}
				fmt.Fprintf(w, "%s\t%s\t%v\t%.1f\t%.1f\t%.0f%%\t%s\t%s\t%s\n", v.Server, v.State, v.Duration.Round(100*time.Millisecond), v.Succeeded, v.Failed, 100*v.AdmittedShare, followed, v.Reason, strings.Join(v.Reporters, ", "))
			}
			return w.Flush()
		}}
	c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's configuration file")
	c.Flags().BoolVar(&asJSON, "json", false, "print the complete response as JSON")
	return c
}

func limitsCommand() *cobra.Command {
	var config string
	var asJSON, file bool
	var agents int
	c := &cobra.Command{Use: "limits", Short: "Show the limits that the fleet shares: bounds, use, and who holds leases", Args: cobra.NoArgs,
		Long: "limits prints what follows from the file for each limit (the most that all agents together ever use, and what an\nisolated agent may use), and what the running daemon holds and, as a lease server, lends. With --file no daemon is\nqueried: the output follows from the file alone, for the given number of agents.",
		RunE: func(*cobra.Command, []string) error {
			var s daemon.LimitsStatus
			if file {
				cfg, err := daemonconfig.Load(config)
				if err != nil {
					return exitError{1, err}
				}
				if cfg.Limits == nil {
					return exitError{1, fmt.Errorf("%s: there is no [[limit]]", config)}
				}
				s.Agents = cmp.Or(agents, cfg.Balancers)
				s.Limits = cfg.Limits.Summary(s.Agents)
			} else {
				body, err := callAdmin(config, http.MethodGet, "/fleet/limits", 10*time.Second)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(body, &s); err != nil {
					return exitError{1, err}
				}
			}
			if asJSON {
				e := json.NewEncoder(os.Stdout)
				e.SetIndent("", " ")
				return e.Encode(s)
			}
			return showLimits(&s, file, os.Stdout)
		}}
	c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's configuration file")
	c.Flags().BoolVar(&asJSON, "json", false, "print the complete response as JSON")
	c.Flags().BoolVar(&file, "file", false, "print what follows from the file, without querying the daemon")
	c.Flags().IntVar(&agents, "agents", 0, "with --file: total number of agents (default: rules.balancers)")
	return c
}

func showLimits(s *daemon.LimitsStatus, file bool, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "%d agents\n", s.Agents)
	fmt.Fprintln(w, "limit\tcounts\tof\tkind\tfigure\tmost\tcut off alone\tterm\tback after\tkeepers")
	for _, l := range s.Limits {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%gs\t%.2fs\t%s\n", l.Name, l.Counts, l.Scope, l.Kind, l.Figure, l.Max, l.IsolatedAmount, l.TermSeconds, l.ReclaimSeconds, strings.Join(l.Servers, ", "))
	}
	if err := w.Flush(); err != nil || file {
		return err
	}
	if s.Isolated {
		fmt.Fprintln(out, "\nthe part that talks to peers does not run: soft limits admit their floors; hard limits admit nothing once leases have expired")
		return nil
	}
	fmt.Fprintf(out, "\nheld by %s\n", s.Status.Name)
	fmt.Fprintln(w, "limit\tpart\tused\tturned away in a second\trights")
	for _, h := range s.Status.Leased {
		var have []string
		for _, r := range h.Leases {
			have = append(have, fmt.Sprintf("%s %d for %.1fs", r.Server, r.Amount, r.RemainingS))
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", h.Limit, h.Key, h.Used, h.Rejected, strings.Join(have, ", "))
	}
	if err := w.Flush(); err != nil || len(s.Status.Granted) == 0 {
		return err
	}
	fmt.Fprintf(out, "\nlent by %s\n", s.Status.Name)
	fmt.Fprintln(w, "limit\tpart\tits part\tlent\tlends from\tto")
	for _, k := range s.Status.Granted {
		var to []string
		for _, n := range slices.Sorted(maps.Keys(k.Holders)) {
			to = append(to, fmt.Sprintf("%s %d", n, k.Holders[n]))
		}
		when := "now"
		if k.WaitRemainingS > 0 {
			when = fmt.Sprintf("%.1fs", k.WaitRemainingS)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", k.Limit, k.Key, k.Share, k.Leased, when, strings.Join(to, ", "))
	}
	return w.Flush()
}

func showView(s *transport.MembershipStatus, out io.Writer) error {
	fmt.Fprintf(out, "fleet %s, seen by %s (%s, boot %d): %s; digest %s, own health %d; up %v\n", s.Fleet, s.Name, s.Addr, s.Boot, s.State, s.Digest,
		s.Health, time.Duration(s.UptimeSeconds)*time.Second)
	c := s.Size
	from := ""
	if c.FromFile {
		from = ", from the file until other members are found"
	}
	fmt.Fprintf(out, "balancers: at most %d, at least %d%s; %d members, %d alive\n", c.MaxBalancers, c.MinBalancers, from, c.Members, c.Live)
	t := s.Traffic
	fmt.Fprintf(out, "sent: %.1f datagrams and %.0f bytes a second, %d exchanges (%d bytes); rejected: %d damaged, %d of another fleet, %d of another format\n",
		t.DatagramsRate, t.BytesRate, t.Exchanges, t.ExchangeBytes, t.Damaged, t.OtherFleet, t.OtherFormat)
	if t.PolicyMessages+t.PolicyUnsent > 0 {
		fmt.Fprintf(out, "about the policy, since the start: %d messages, %d bytes; %d not sent\n", t.PolicyMessages, t.PolicyBytes, t.PolicyUnsent)
	}
	if s.SaveFails {
		fmt.Fprintln(out, "the view can't be saved: see the log")
	}
	if s.Isolated {
		fmt.Fprintln(out, "no other member is reachable: all others are shown as dead, regardless of their records")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(s.Regions) > 0 {
		fmt.Fprintln(w, "region\tmembers\tsilent\treached\tthere and back\twatched by")
		for _, r := range s.Regions {
			reached := "yes"
			switch {
			case r.Local:
				reached = "own"
			case r.Unreachable:
				reached = fmt.Sprintf("not for %v", time.Duration(r.UnreachableForS*float64(time.Second)).Round(100*time.Millisecond))
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%.1f ms\t%s\n", r.Name, r.Members, r.Dead, reached, r.RoundTripMS, strings.Join(r.Watchers, ", "))
		}
		if err := w.Flush(); err != nil {
			return err
		}
		w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	}
	fmt.Fprintln(w, "member\taddr\tregion\tzone\tstate\tfor\tby\tboot\tinc\tinstances\tversion")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%s\t%d\t%d\t%d\t%s\n", m.Name, m.Addr, m.Region, m.Zone, m.State, time.Duration(m.SinceS*float64(time.Second)).Round(100*time.Millisecond),
			m.Reporter, m.Boot, m.Incarnation, m.Instances, m.Version)
	}
	return w.Flush()
}

// diffViews prints the members on which two views differ, and returns their number.
func diffViews(a, b *transport.MembershipStatus, out io.Writer) int {
	if a.Fleet != b.Fleet {
		fmt.Fprintf(out, "%s is of fleet %s, %s of fleet %s\n", a.Name, a.Fleet, b.Name, b.Fleet)
		return 1
	}
	all := map[string][2]*transport.MemberStatus{}
	for i, s := range []*transport.MembershipStatus{a, b} {
		for n := range s.Members {
			pair := all[s.Members[n].Name]
			pair[i] = &s.Members[n]
			all[s.Members[n].Name] = pair
		}
	}
	var names []string
	for n, pair := range all {
		if x, y := pair[0], pair[1]; x == nil || y == nil || x.State != y.State || x.RunID != y.RunID || x.Incarnation != y.Incarnation || x.Addr != y.Addr {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		fmt.Fprintf(out, "%s and %s see the same: %d members, digest %s\n", a.Name, b.Name, len(a.Members), a.Digest)
		return 0
	}
	slices.SortFunc(names, strings.Compare)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "member\tseen by %s\tseen by %s\n", a.Name, b.Name)
	describe := func(m *transport.MemberStatus) string {
		if m == nil {
			return "unknown"
		}
		return fmt.Sprintf("%s for %v, boot %d, inc %d, at %s", m.State, time.Duration(m.SinceS*float64(time.Second)).Round(100*time.Millisecond), m.Boot, m.Incarnation, m.Addr)
	}
	for _, n := range names {
		fmt.Fprintf(w, "%s\t%s\t%s\n", n, describe(all[n][0]), describe(all[n][1]))
	}
	_ = w.Flush()
	return len(names)
}
