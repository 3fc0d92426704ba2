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

// fleetCommand is what operators ask a daemon about its fleet.
func fleetCommand() *cobra.Command {
	root := &cobra.Command{Use: "fleet", Short: "Show how daemons see their fleet, and say what has gone for good", Args: cobra.NoArgs}
	var config string
	var asJSON bool
	view := &cobra.Command{Use: "view", Short: "Show the members that a daemon knows", Args: cobra.NoArgs,
		Long: "view asks the daemon of the given file for the members that it knows: their state, since when and by whose\nword, the digest of its view (two daemons with one digest know the same), and how it stands itself.",
		RunE: func(*cobra.Command, []string) error {
			body, err := ask(config, http.MethodGet, "/fleet/view", 10*time.Second)
			if err != nil || asJSON {
				_, _ = os.Stdout.Write(body)
				return err
			}
			var s transport.MembershipStatus
			if err := json.Unmarshal(body, &s); err != nil {
				return exit{1, err}
			}
			return showView(&s, os.Stdout)
		}}
	view.Flags().BoolVar(&asJSON, "json", false, "all of it, as JSON")
	forget := &cobra.Command{Use: "forget NAME", Short: "Say that a dead member has gone for good, and is not to be counted any more", Args: cobra.ExactArgs(1),
		Long: "forget is an operator's word, logged and told to all: the daemon of that name does not run and sends nothing.\nSilence alone never takes a member out of the count, since an agent behind a broken link goes on sending. One\nthat is forgotten and does run says so, and is counted again.",
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := ask(config, http.MethodPost, "/fleet/forget?name="+url.QueryEscape(args[0]), 10*time.Second)
			return err
		}}
	for _, c := range []*cobra.Command{view, forget} {
		c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's file")
	}
	diff := &cobra.Command{Use: "diff A B", Short: "Show where two daemons see different things; A and B are their files", Args: cobra.ExactArgs(2),
		Long: "diff asks the daemons of two files for their views, and prints the members of which they do not think the same.\nIt ends with status 1 where there are any.",
		RunE: func(_ *cobra.Command, args []string) error {
			var two [2]transport.MembershipStatus
			for i, path := range args {
				body, err := ask(path, http.MethodGet, "/fleet/view", 10*time.Second)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(body, &two[i]); err != nil {
					return exit{1, err}
				}
			}
			if n := diffViews(&two[0], &two[1], os.Stdout); n > 0 {
				return exit{status: 1}
			}
			return nil
		}}
	root.AddCommand(view, diff, forget, limitsCommand(), verdictsCommand())
	return root
}

func verdictsCommand() *cobra.Command {
	var config string
	var asJSON bool
	c := &cobra.Command{Use: "verdicts", Short: "Show what the fleet's agents together hold against servers", Args: cobra.NoArgs,
		Long: "verdicts asks the daemon of the given file for the servers against which something is said: whether one is out, by\nwhose evidence and since when, which share of the members uses it now, and why this daemon does not follow.",
		RunE: func(*cobra.Command, []string) error {
			body, err := ask(config, http.MethodGet, "/fleet/verdicts", 10*time.Second)
			if err != nil || asJSON {
				_, _ = os.Stdout.Write(body)
				return err
			}
			var s transport.EjectionStatus
			if err := json.Unmarshal(body, &s); err != nil {
				return exit{1, err}
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
	c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's file")
	c.Flags().BoolVar(&asJSON, "json", false, "all of it, as JSON")
	return c
}

func limitsCommand() *cobra.Command {
	var config string
	var asJSON, file bool
	var agents int
	c := &cobra.Command{Use: "limits", Short: "Show the limits that the fleet shares: bounds, use, and where the rights are", Args: cobra.NoArgs,
		Long: "limits prints what follows from the file for each limit (the most that all agents together ever use, what one may\nuse that is cut off), and, from the running daemon, what it holds and, as a keeper, lends. With --file no daemon is\nasked: it is the file's word alone, for as many agents as are given.",
		RunE: func(*cobra.Command, []string) error {
			var s daemon.LimitsStatus
			if file {
				cfg, err := daemonconfig.Load(config)
				if err != nil {
					return exit{1, err}
				}
				if cfg.Limits == nil {
					return exit{1, fmt.Errorf("%s: there is no [[limit]]", config)}
				}
				s.Agents = cmp.Or(agents, cfg.Balancers)
				s.Limits = cfg.Limits.Summary(s.Agents)
			} else {
				body, err := ask(config, http.MethodGet, "/fleet/limits", 10*time.Second)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(body, &s); err != nil {
					return exit{1, err}
				}
			}
			if asJSON {
				e := json.NewEncoder(os.Stdout)
				e.SetIndent("", " ")
				return e.Encode(s)
			}
			return showLimits(&s, file, os.Stdout)
		}}
	c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's file")
	c.Flags().BoolVar(&asJSON, "json", false, "all of it, as JSON")
	c.Flags().BoolVar(&file, "file", false, "what follows from the file, without asking the daemon")
	c.Flags().IntVar(&agents, "agents", 0, "with --file: so many agents in all (default: rules.balancers)")
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
		fmt.Fprintln(out, "\nthe part that talks to peers does not run: floors of soft limits hold, and of hard ones nothing once rights have lapsed")
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
		s.Health, time.Duration(s.UpS)*time.Second)
	c := s.Size
	from := ""
	if c.FromFile {
		from = ", from the file until the fleet is met"
	}
	fmt.Fprintf(out, "balancers: at most %d, at least %d%s; %d members, %d alive\n", c.MaxBalancers, c.MinBalancers, from, c.Members, c.Live)
	t := s.Traffic
	fmt.Fprintf(out, "sent: %.1f datagrams and %.0f bytes a second, %d exchanges (%d bytes); not taken: %d damaged, %d of another fleet, %d of another format\n",
		t.DatagramsRate, t.BytesRate, t.Exchanges, t.ExchangeBytes, t.Damaged, t.OtherFleet, t.OtherFormat)
	if t.PolicyMessages+t.PolicyUnsent > 0 {
		fmt.Fprintf(out, "about the policy, since the start: %d messages, %d bytes; %d not sent\n", t.PolicyMessages, t.PolicyBytes, t.PolicyUnsent)
	}
	if s.SaveFails {
		fmt.Fprintln(out, "the view can't be saved: see the log")
	}
	if s.Isolated {
		fmt.Fprintln(out, "nobody is heard: all others are shown as dead, whatever their records say")
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
			m.Reporter, m.Boot, m.Incarnation, m.Instances, m.Program)
	}
	return w.Flush()
}

// diffViews prints the members that two views do not think the same of, and says how many.
func diffViews(a, b *transport.MembershipStatus, out io.Writer) int {
	if a.Fleet != b.Fleet {
		fmt.Fprintf(out, "%s is of fleet %s, %s of fleet %s\n", a.Name, a.Fleet, b.Name, b.Fleet)
		return 1
	}
	all := map[string][2]*transport.MemberStatus{}
	for i, s := range []*transport.MembershipStatus{a, b} {
		for n := range s.Members {
			two := all[s.Members[n].Name]
			two[i] = &s.Members[n]
			all[s.Members[n].Name] = two
		}
	}
	var names []string
	for n, two := range all {
		if x, y := two[0], two[1]; x == nil || y == nil || x.State != y.State || x.RunID != y.RunID || x.Incarnation != y.Incarnation || x.Addr != y.Addr {
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
	word := func(m *transport.MemberStatus) string {
		if m == nil {
			return "unknown"
		}
		return fmt.Sprintf("%s for %v, boot %d, inc %d, at %s", m.State, time.Duration(m.SinceS*float64(time.Second)).Round(100*time.Millisecond), m.Boot, m.Incarnation, m.Addr)
	}
	for _, n := range names {
		fmt.Fprintf(w, "%s\t%s\t%s\n", n, word(all[n][0]), word(all[n][1]))
	}
	_ = w.Flush()
	return len(names)
}
