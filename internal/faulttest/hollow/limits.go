package hollow

import (
	"cmp"
	"fmt"
	"time"

	"vetchhaven/decide/quota"
	"vetchhaven/internal/faulttest/topology"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/lease/leasesim"
	"vetchhaven/internal/peer/transport"
)

// Limits configures a simulation of the limits that members share.
type Limits struct {
	Seed    uint64
	Layout  *topology.Layout
	Members int
	Keepers int     // number of lease servers, which are the first members; 0: 3
	Rate    float64 // requests a second of each agent, all of which count towards a single limit
	Marks   []time.Duration
	Length  time.Duration
	Down    []leasesim.Outage
}

// Play runs the simulation and returns the cost for a lease client (holder) and for a lease server (keeper).
func (l *Limits) Play() (holder, keeper []Phase, r *leasesim.Result, err error) {
	keepers := cmp.Or(l.Keepers, 3)
	m := newMeter(l.Members, l.Marks)
	wire := transport.Wire{Fleet: Fleet}
	o := leasesim.Options{Seed: l.Seed, Clients: l.Members, Servers: keepers, Total: max(keepers, int(float64(l.Members)*l.Rate*1.1)), Kind: quota.Requests, Soft: true,
		Duration: l.Length, Demand: func(int, time.Duration) float64 { return l.Rate }, MeanAttemptTime: 100 * time.Millisecond, CountFrom: 2 * l.Length, // served requests are not counted, because that is slow
		MessageSize: func(from string, x any) int { return size(wire, from, x) }, OnSent: m.sent, OnReceived: m.received, PeerPath: peerPath(l.Layout), Outages: l.Down}
	if r, err = leasesim.Run(o); err != nil {
		return nil, nil, nil, fmt.Errorf("simulate the limits of %d members: %w", l.Members, err)
	}
	holder = m.phases(l.Length, func(n int) bool { return n >= keepers })
	keeper = m.phases(l.Length, func(n int) bool { return n < keepers })
	return holder, keeper, r, nil
}

// KeeperTime returns the processor time of a lease server for one lease request, including encoding and decoding, when
// it has the given number of clients.
func KeeperTime(holders int) (time.Duration, error) {
	s := lease.Settings{Servers: []string{"k"}, MaxAttemptTime: time.Second, Limits: []lease.Limit{{Limit: quota.Limit{Name: "l", Kind: quota.Requests, Class: -1, Zone: -1, Cell: -1}, Total: 10 * holders}}}
	k, err := lease.NewServer(s, "k", 1)
	if err != nil {
		return 0, err
	}
	wire := transport.Wire{Fleet: Fleet}
	h := make([]*lease.Client, holders)
	now := time.Duration(0)
	for n := range h {
		if h[n], err = lease.NewClient(s, fmt.Sprint("m", n), uint64(n)+1); err != nil {
			return 0, err
		}
		h[n].AddAgent(now, 1)
	}
	type encodedRequest struct {
		from int
		data []byte
	}
	type answer struct {
		to    int
		grant *lease.Grant
	}
	var used time.Duration
	requestCount := 0
	const step, steps, counted = 50 * time.Millisecond, 400, 300 // a lease server grants nothing during its first term
	for i := range steps {
		now = time.Duration(i) * step
		k.Tick(now)
		var requests []encodedRequest
		for n := range h {
			for _, a := range h[n].Requests(now) {
				data, err := wire.Marshal(a.Request.From, a.Request)
				if err != nil {
					return 0, err
				}
				requests = append(requests, encodedRequest{n, data})
			}
		}
		var answers []answer
		began := processor()
		for _, q := range requests {
			x, err := wire.Unmarshal(q.data)
			if err != nil {
				return 0, err
			}
			if g := k.HandleRequest(now, x.(*lease.Request)); g != nil {
				if _, err := wire.Marshal("k", g); err != nil {
					return 0, err
				}
				answers = append(answers, answer{q.from, g})
			}
		}
		if i >= counted {
			used += processor() - began
			requestCount += len(requests)
		}
		for _, a := range answers {
			for _, g := range h[a.to].HandleGrant(now, 0, a.grant) {
				for _, r := range g.Leases {
					h[a.to].ReportUsage(now, g.Agent, []quota.Usage{{Limit: r.Limit, Grantor: "k", Number: r.Number, Used: 5, Started: 1}})
				}
			}
		}
	}
	if requestCount == 0 {
		return 0, fmt.Errorf("lease server time: %d lease clients sent no requests", holders)
	}
	return used / time.Duration(requestCount), nil
}
