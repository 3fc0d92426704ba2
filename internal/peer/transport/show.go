package transport

import (
	"time"

	"vetchhaven/internal/peer/membership"
)

// MembershipStatus is a member's view, for people and programs.
type MembershipStatus struct {
	Fleet     string         `json:"fleet"`
	Name      string         `json:"name"`
	Addr      string         `json:"addr"`
	Boot      uint64         `json:"boot"`
	RunID     string         `json:"life"`
	State     string         `json:"state"` // in, looking (for the fleet), or standing back
	Digest    string         `json:"digest"`
	Health    int            `json:"health"` // 0: it hears all that it should
	UpS       float64        `json:"up_s"`
	Size      SizeStatus     `json:"count"`
	Traffic   TrafficStatus  `json:"traffic"`
	Regions   []RegionStatus `json:"regions,omitempty"` // where there are several
	Isolated  bool           `json:"alone,omitempty"`   // nobody is heard
	Members   []MemberStatus `json:"members"`
	SaveFails bool           `json:"save_fails,omitempty"`
}

// SizeStatus is what the daemon's instances are told of the fleet's size.
type SizeStatus struct {
	MaxBalancers int  `json:"balancers_most"`
	MinBalancers int  `json:"balancers_least"`
	Members      int  `json:"members"`
	Live         int  `json:"live"`
	FromFile     bool `json:"from_file"`
}

// TrafficStatus is of this life; rates are means over it.
type TrafficStatus struct {
	Datagrams       uint64  `json:"datagrams"`
	Bytes           uint64  `json:"bytes"`
	DatagramsRate   float64 `json:"datagrams_s"`
	BytesRate       float64 `json:"bytes_s"`
	Exchanges       uint64  `json:"exchanges"`
	ExchangeBytes   uint64  `json:"exchange_bytes"`
	Received        uint64  `json:"heard"`
	RemoteBytes     uint64  `json:"far_bytes"` // of all bytes, to other regions
	RemoteBytesRate float64 `json:"far_bytes_s"`
	Withheld        uint64  `json:"held_back"` // for the budget
	Stale           uint64  `json:"stale"`
	Dropped         uint64  `json:"dropped"` // since this process did not keep up
	Damaged         uint64  `json:"damaged"`
	OtherFleet      uint64  `json:"other_fleet"`
	OtherFormat     uint64  `json:"other_format"`
	TooLarge        uint64  `json:"huge"`
	Malformed       uint64  `json:"odd"`
	// About the policy, apart from the above: messages and bytes sent, and messages not sent, for want of a stream or an address.
	PolicyMessages uint64 `json:"policy_messages"`
	PolicyBytes    uint64 `json:"policy_bytes"`
	PolicyUnsent   uint64 `json:"policy_unsent"`
}

// RegionStatus is a region as it is seen from here.
type RegionStatus struct {
	Name            string   `json:"name"`
	Members         int      `json:"members"` // alive or suspect by their records
	Dead            int      `json:"silent"`  // dead by them
	Local           bool     `json:"own,omitempty"`
	Unreachable     bool     `json:"not_reached,omitempty"` // by none of the watchers
	UnreachableForS float64  `json:"since_s,omitempty"`     // seconds of that
	Watchers        []string `json:"watchers,omitempty"`
	RoundTripMS     float64  `json:"way_ms,omitempty"` // there and back, as this member has measured it
}

// MemberStatus is one member.
type MemberStatus struct {
	Name        string  `json:"name"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone,omitempty"`
	Region      string  `json:"region,omitempty"`
	Program     string  `json:"program,omitempty"`
	State       string  `json:"state"`
	SinceS      float64 `json:"since_s"` // seconds in that state, as seen here
	Reporter    string  `json:"by,omitempty"`
	Boot        uint64  `json:"boot"`
	RunID       string  `json:"life"`
	Incarnation uint32  `json:"incarnation"`
	Instances   uint32  `json:"instances"`
	Balancers   uint32  `json:"balancers"`
}

// MembershipStatus is how the view stands. ok is false where the loop does not answer.
func (c *Transport) MembershipStatus() (s MembershipStatus, ok bool) {
	ok = c.do(func() {
		v := c.view
		own, t, up := v.Local(), v.Traffic(), max(v.Uptime().Seconds(), 1e-3)
		s = MembershipStatus{Fleet: c.options.Fleet, Name: own.Name, Addr: own.Addr, Boot: own.Boot, RunID: hex(own.RunID), State: "in", Digest: hex(v.Digest()), Health: v.Health(), UpS: up}
		switch {
		case v.Yields():
			s.State = "standing back"
		case !v.Joined():
			s.State = "looking"
		}
		n := v.Size()
		s.Size = SizeStatus{n.MaxBalancers, n.MinBalancers, n.Members, n.Live, n.FromFile}
		s.Traffic = TrafficStatus{Datagrams: t.Datagrams, Bytes: t.Bytes, DatagramsRate: float64(t.Datagrams) / up, BytesRate: float64(t.Bytes) / up,
			Exchanges: t.Exchanges, ExchangeBytes: t.ExchangeBytes, Received: t.Received, RemoteBytes: t.RemoteBytes + t.RemoteExchangeBytes, RemoteBytesRate: float64(t.RemoteBytes+t.RemoteExchangeBytes) / up, Withheld: t.Withheld, Stale: t.Stale, Dropped: c.dropped.Load(),
			Damaged: c.damaged.Load(), OtherFleet: c.foreign.Load(), OtherFormat: c.formats.Load(), TooLarge: c.huge.Load(), Malformed: c.odd.Load(),
			PolicyMessages: c.agreeing.sent, PolicyBytes: c.agreeing.bytes, PolicyUnsent: c.agreeing.lost}
		for _, r := range v.Regions() {
			s.Regions = append(s.Regions, RegionStatus{r.Name, r.Members, r.Dead, r.Local, r.Unreachable, r.UnreachableFor.Round(time.Millisecond).Seconds(), r.Watchers,
				float64(r.RoundTrip.Microseconds()) / 1000})
		}
		s.Isolated = v.Isolated()
		for _, r := range v.Members() {
			s.Members = append(s.Members, shownOne(r, c.now()-v.Since(r.Name)))
		}
	})
	s.SaveFails = c.disk.Failed()
	return s, ok
}

func shownOne(r membership.Record, since time.Duration) MemberStatus {
	return MemberStatus{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Region: r.Region, Program: r.Program, State: r.State.String(), SinceS: since.Round(time.Millisecond).Seconds(),
		Reporter: r.Reporter, Boot: r.Boot, RunID: hex(r.RunID), Incarnation: r.Incarnation, Instances: r.Instances, Balancers: r.Balancers}
}
