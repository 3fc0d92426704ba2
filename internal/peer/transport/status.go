package transport

import (
	"time"

	"vetchhaven/internal/peer/ejection"
	"vetchhaven/internal/peer/membership"
)

// MembershipStatus is a member's view for the admin endpoint. The JSON keys are those of earlier builds.
type MembershipStatus struct {
	Fleet         string         `json:"fleet"`
	Name          string         `json:"name"`
	Addr          string         `json:"addr"`
	Boot          uint64         `json:"boot"`
	RunID         string         `json:"life"`
	State         string         `json:"state"` // one of the constants below
	Digest        string         `json:"digest"`
	Health        int            `json:"health"` // Lifeguard's local health multiplier; 0 is healthy
	UptimeSeconds float64        `json:"up_s"`
	Size          SizeStatus     `json:"count"`
	Traffic       TrafficStatus  `json:"traffic"`
	Regions       []RegionStatus `json:"regions,omitempty"` // if there are several
	Isolated      bool           `json:"alone,omitempty"`   // no other member is reachable
	Members       []MemberStatus `json:"members"`
	SaveFails     bool           `json:"save_fails,omitempty"`
}

// SizeStatus is the fleet's size as the daemon's instances use it.
type SizeStatus struct {
	MaxBalancers int  `json:"balancers_most"`
	MinBalancers int  `json:"balancers_least"`
	Members      int  `json:"members"`
	Live         int  `json:"live"`
	FromFile     bool `json:"from_file"`
}

// TrafficStatus counts the traffic since the start of this run. Rates are per second, averaged over the run.
type TrafficStatus struct {
	Datagrams       uint64  `json:"datagrams"`
	Bytes           uint64  `json:"bytes"`
	DatagramsRate   float64 `json:"datagrams_s"`
	BytesRate       float64 `json:"bytes_s"`
	Exchanges       uint64  `json:"exchanges"`
	ExchangeBytes   uint64  `json:"exchange_bytes"`
	Received        uint64  `json:"heard"`
	RemoteBytes     uint64  `json:"far_bytes"` // bytes sent to other regions, included in the totals
	RemoteBytesRate float64 `json:"far_bytes_s"`
	Withheld        uint64  `json:"held_back"` // not sent because the byte budget was used up
	Stale           uint64  `json:"stale"`
	Dropped         uint64  `json:"dropped"` // because the loop's queue was full
	Damaged         uint64  `json:"damaged"`
	OtherFleet      uint64  `json:"other_fleet"`
	OtherFormat     uint64  `json:"other_format"`
	TooLarge        uint64  `json:"huge"`
	Malformed       uint64  `json:"odd"`
	// Messages of the policy, which the fields above do not include. PolicyUnsent counts those that could not be sent,
	// for example because no stream was free or the view had no address of the receiver.
	PolicyMessages uint64 `json:"policy_messages"`
	PolicyBytes    uint64 `json:"policy_bytes"`
	PolicyUnsent   uint64 `json:"policy_unsent"`
}

// RegionStatus is the state of a region in this member's view.
type RegionStatus struct {
	Name            string   `json:"name"`
	Members         int      `json:"members"` // members whose records are alive or suspect
	Dead            int      `json:"silent"`  // members whose records are dead
	Local           bool     `json:"own,omitempty"`
	Unreachable     bool     `json:"not_reached,omitempty"` // no watcher reaches it
	UnreachableForS float64  `json:"since_s,omitempty"`
	Watchers        []string `json:"watchers,omitempty"`
	RoundTripMS     float64  `json:"way_ms,omitempty"` // measured by this member
}

// MemberStatus is one member of a MembershipStatus.
type MemberStatus struct {
	Name        string  `json:"name"`
	Addr        string  `json:"addr"`
	Zone        string  `json:"zone,omitempty"`
	Region      string  `json:"region,omitempty"`
	Version     string  `json:"program,omitempty"`
	State       string  `json:"state"`
	SinceS      float64 `json:"since_s"` // time in this state, by this member's view
	Reporter    string  `json:"by,omitempty"`
	Boot        uint64  `json:"boot"`
	RunID       string  `json:"life"`
	Incarnation uint32  `json:"incarnation"`
	Instances   uint32  `json:"instances"`
	Balancers   uint32  `json:"balancers"`
}

// The values of MembershipStatus.State.
const (
	stateJoined   = "in"
	stateJoining  = "looking"
	stateYielding = "standing back" // another process uses its name
)

// minUptime is a lower bound for the uptime that rates are divided by, so that they are finite.
const minUptime = time.Millisecond

// MembershipStatus returns the state of the view. ok is false if the loop does not respond.
func (tr *Transport) MembershipStatus() (s MembershipStatus, ok bool) {
	ok = tr.do(func() { s = tr.membershipStatus() })
	s.SaveFails = tr.viewFile.Failed()
	return s, ok
}

func (tr *Transport) membershipStatus() MembershipStatus {
	own := tr.view.Local()
	uptime := max(tr.view.Uptime(), minUptime)
	s := MembershipStatus{
		Fleet:         tr.options.Fleet,
		Name:          own.Name,
		Addr:          own.Addr,
		Boot:          own.Boot,
		RunID:         hex(own.RunID),
		State:         stateJoined,
		Digest:        hex(tr.view.Digest()),
		Health:        tr.view.Health(),
		UptimeSeconds: uptime.Seconds(),
		Traffic:       tr.trafficStatus(uptime),
		Isolated:      tr.view.Isolated(),
	}
	switch {
	case tr.view.Yields():
		s.State = stateYielding
	case !tr.view.Joined():
		s.State = stateJoining
	}
	size := tr.view.BalancerCount()
	s.Size = SizeStatus{size.MaxBalancers, size.MinBalancers, size.Members, size.Live, size.FromFile}
	for _, r := range tr.view.Regions() {
		s.Regions = append(s.Regions, regionStatus(r))
	}
	for _, r := range tr.view.Members() {
		s.Members = append(s.Members, memberStatus(r, tr.now()-tr.view.Since(r.Name)))
	}
	return s
}

func (tr *Transport) trafficStatus(uptime time.Duration) TrafficStatus {
	traffic := tr.view.Traffic()
	remoteBytes := traffic.RemoteBytes + traffic.RemoteExchangeBytes
	return TrafficStatus{
		Datagrams:       traffic.Datagrams,
		Bytes:           traffic.Bytes,
		DatagramsRate:   float64(traffic.Datagrams) / uptime.Seconds(),
		BytesRate:       float64(traffic.Bytes) / uptime.Seconds(),
		Exchanges:       traffic.Exchanges,
		ExchangeBytes:   traffic.ExchangeBytes,
		Received:        traffic.Received,
		RemoteBytes:     remoteBytes,
		RemoteBytesRate: float64(remoteBytes) / uptime.Seconds(),
		Withheld:        traffic.Withheld,
		Stale:           traffic.Stale,
		Dropped:         tr.dropped.Load(),
		Damaged:         tr.rejected.damaged.Load(),
		OtherFleet:      tr.rejected.otherFleet.Load(),
		OtherFormat:     tr.rejected.unknownFormat.Load(),
		TooLarge:        tr.rejected.tooLarge.Load(),
		Malformed:       tr.rejected.malformed.Load(),
		PolicyMessages:  tr.policy.messages.Load(),
		PolicyBytes:     tr.policy.bytes.Load(),
		PolicyUnsent:    tr.policy.unsent.Load(),
	}
}

func regionStatus(r membership.RegionStatus) RegionStatus {
	return RegionStatus{
		Name:            r.Name,
		Members:         r.Members,
		Dead:            r.Dead,
		Local:           r.Local,
		Unreachable:     r.Unreachable,
		UnreachableForS: r.UnreachableFor.Round(time.Millisecond).Seconds(),
		Watchers:        r.Watchers,
		RoundTripMS:     float64(r.RoundTrip.Microseconds()) / 1000,
	}
}

func memberStatus(r membership.Record, since time.Duration) MemberStatus {
	return MemberStatus{
		Name:        r.Name,
		Addr:        r.Addr,
		Zone:        r.Zone,
		Region:      r.Region,
		Version:     r.Version,
		State:       r.State.String(),
		SinceS:      since.Round(time.Millisecond).Seconds(),
		Reporter:    r.Reporter,
		Boot:        r.Boot,
		RunID:       hex(r.RunID),
		Incarnation: r.Incarnation,
		Instances:   r.Instances,
		Balancers:   r.Balancers,
	}
}

// LimitsStatus is the state of the fleet's limits for the admin endpoint: the leases of this daemon's agents and, if
// this daemon is a lease server, its shares of the limits.
type LimitsStatus struct {
	Name         string               `json:"name"`
	Leased       []LeasedLimitStatus  `json:"held"`
	Granted      []GrantedLimitStatus `json:"kept,omitempty"`
	Bytes        uint64               `json:"bytes"`
	Packets      uint64               `json:"packets"`
	Agents       int                  `json:"agents"`
	MaxBalancers int                  `json:"balancers_most"`
}

// LeasedLimitStatus is the part of one limit that is leased to this daemon's agents.
type LeasedLimitStatus struct {
	Limit    string        `json:"limit"`
	Key      string        `json:"key,omitempty"`
	Used     int           `json:"used"`
	Rejected int           `json:"turned_away_s"` // within the last second
	Leases   []LeaseStatus `json:"rights"`
}

// LeaseStatus is a lease that a lease server has granted to this daemon's agents.
type LeaseStatus struct {
	Server     string  `json:"keeper"`
	Amount     int     `json:"amount"`
	RemainingS float64 `json:"left_s"`
}

// GrantedLimitStatus is the part of one limit that this daemon has granted as a lease server.
type GrantedLimitStatus struct {
	Limit          string         `json:"limit"`
	Key            string         `json:"key,omitempty"`
	Share          int            `json:"part"`
	Leased         int            `json:"lent"`
	WaitRemainingS float64        `json:"lends_nothing_for_s,omitempty"`
	Holders        map[string]int `json:"holders"`
}

// LimitsStatus returns the state of the fleet's limits. ok is false if the fleet has no limits or the loop does not
// respond.
func (tr *Transport) LimitsStatus() (s LimitsStatus, ok bool) {
	if tr.options.Leases == nil {
		return s, false
	}
	ok = tr.do(func() { s = tr.limitsStatus() })
	return s, ok
}

func (tr *Transport) limitsStatus() LimitsStatus {
	d := tr.leases
	now := tr.now()
	s := LimitsStatus{
		Name:         tr.options.Membership.Name,
		Bytes:        d.bytes,
		Packets:      d.packets,
		Agents:       len(d.client.Agents()),
		MaxBalancers: tr.view.BalancerCount().MaxBalancers,
	}
	for _, l := range d.client.Status(now) {
		leased := LeasedLimitStatus{Limit: l.Limit, Key: l.Key, Used: l.Used, Rejected: l.Rejected}
		for _, lease := range l.Leases {
			leased.Leases = append(leased.Leases, LeaseStatus{
				lease.Server, lease.Amount, lease.Remaining.Round(time.Millisecond).Seconds()})
		}
		s.Leased = append(s.Leased, leased)
	}
	if d.server == nil {
		return s
	}
	for _, l := range d.server.Status(now) {
		s.Granted = append(s.Granted, GrantedLimitStatus{
			Limit:          l.Limit,
			Key:            l.Key,
			Share:          l.Share,
			Leased:         l.Leased,
			WaitRemainingS: l.WaitRemaining.Round(time.Millisecond).Seconds(),
			Holders:        l.Holders,
		})
	}
	return s
}

// EjectionStatus is a member's state of outlier ejection for the admin endpoint.
type EjectionStatus struct {
	Name    string                  `json:"name"`
	Servers []ejection.ServerStatus `json:"servers"`
	Counts  ejection.Counters       `json:"counts"`
	Packets uint64                  `json:"packets"`
}

// EjectionStatus returns this member's state of outlier ejection. ok is false if members exchange no evidence or the
// loop does not respond.
func (tr *Transport) EjectionStatus() (s EjectionStatus, ok bool) {
	if tr.options.Ejection == nil {
		return s, false
	}
	ok = tr.do(func() {
		d := tr.ejection
		s = EjectionStatus{
			Name:    tr.options.Membership.Name,
			Servers: d.member.Status(),
			Counts:  d.member.Counters(),
			Packets: d.packets,
		}
	})
	return s, ok
}
