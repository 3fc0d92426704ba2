package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/peer/policy"
	"vetchhaven/internal/peer/transport"
	"vetchhaven/tools/capacity/slopes"
)

// viewStatus returns the status that `fleet view --json` receives from a daemon with n members in its view.
func viewStatus(n int) *transport.MembershipStatus {
	s := &transport.MembershipStatus{Fleet: fleetName, Name: "host-00000", Addr: "10.0.0.1:7946", Boot: 1764633600, RunID: "00f1e2d3c4b5a697", State: "in", Digest: "0123456789abcdef", UptimeSeconds: 86400.123,
		Size: transport.SizeStatus{MaxBalancers: n, MinBalancers: n, Members: n, Live: n}}
	for i := range n {
		s.Members = append(s.Members, transport.MemberStatus{Name: fmt.Sprintf("host-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:7946", i>>16&255, i>>8&255, i&255), Zone: fmt.Sprintf("zone-%02d", i%15),
			Version: "0.8.0", State: "alive", SinceS: 86400.123, Boot: 1764633600, RunID: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), Incarnation: 1, Instances: 1, Balancers: 1})
	}
	return s
}

// policyStatus returns the status that `policy show --json` receives from a voter with n members in its roster.
func policyStatus(n int) *daemon.PolicyStatus {
	s := &daemon.PolicyStatus{Status: policy.Status{Name: "host-00000", Serving: "by the policy in force", Voters: []string{"host-00000", "host-00001", "host-00002"}, Leader: "host-00001"}, Body: policyOf(100)}
	for i := range n {
		s.Roster = append(s.Roster, fmt.Sprintf("host-%05d", i))
	}
	return s
}

// documentCost returns the size of v as a JSON document, and the CPU time to decode it.
func documentCost[T any](v *T) (size int, took time.Duration, err error) {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return 0, 0, err
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all []time.Duration
	for range 5 {
		began := threadTime()
		if err := json.NewDecoder(bytes.NewReader(data)).Decode(new(T)); err != nil {
			return 0, 0, err
		}
		all = append(all, threadTime()-began)
	}
	slices.Sort(all)
	return len(data) + 1, all[2], nil
}

// operatorCommand measures the documents that an operator's tools read.
func operatorCommand() *cobra.Command {
	var f plainFlags
	c := &cobra.Command{Use: "operator", Short: "The documents that an operator's tools read, by the size of the fleet", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b, out := f.book("go run ./tools/capacity operator"), f.table(c)
			out.head("members", "fleet view --json, bytes", "read in", "policy show --json at a voter, bytes", "read in")
			for _, n := range f.sizes {
				vs, vt, err := documentCost(viewStatus(n))
				if err != nil {
					return err
				}
				ps, pt, err := documentCost(policyStatus(n))
				if err != nil {
					return err
				}
				out.row(n, vs, vt, ps, pt)
				for _, e := range []struct {
					mechanism, quantity, unit, note string
					value                           float64
				}{
					{"view", "bytes_in", "B", "each time that fleet view is asked", float64(vs)},
					{"view", "time", "ms", "processor time to read it", float64(vt) / 1e6},
					{"policy", "bytes_in", "B", "each time that policy show is asked at a voter, with a policy of 100 services", float64(ps)},
					{"policy", "time", "ms", "processor time to read it", float64(pt) / 1e6},
				} {
					b.addPoint(slopes.Slope{Name: "operator." + e.mechanism + "." + e.quantity, Role: "operator", Load: "rest", Quantity: e.quantity, Unit: e.unit, Mechanism: e.mechanism, Variable: "agents",
						Form: "linear", Command: b.command, Note: e.note}, float64(n), e.value)
				}
			}
			return f.end(c, &b)
		}}
	f.add(c, "members", 12, 120, 1200, 12000)
	return c
}
