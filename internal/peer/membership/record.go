package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"strings"
)

// State is the state of a member, from the least to the most final. Among records of the same boot number, process and
// incarnation the higher state wins.
type State uint8

// The states of a member.
const (
	Alive   State = iota // it answers probes
	Suspect              // a probe of it failed; it may still refute that
	Dead                 // nobody refuted the suspicion in time; the process may still run beyond a broken link
	Left                 // it left in order, or an operator said that it is gone (Serf's term)
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String is the state's name as logs and the admin endpoint show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

const (
	// MaxMetadataBytes bounds Record.Metadata. It is part of the wire format: a larger value would not be accepted by
	// members of earlier versions.
	MaxMetadataBytes = 128
	// MaxNameBytes bounds names, zones, regions and versions, in bytes. It is part of the wire format too.
	MaxNameBytes = 64
	// maxAddrBytes bounds an address in a message, in bytes: an IPv6 address with zone and port fits.
	maxAddrBytes = 64
	// maxFleetNameBytes bounds the name of a fleet, in bytes.
	maxFleetNameBytes = 32
	// maxInstances bounds the instances and balancers that one daemon may claim: far above what a host can run, and
	// low enough that sums over a fleet stay in an int.
	maxInstances = 1 << 20
)

// Record is what members tell one another about one of them.
type Record struct {
	Name         string `cbor:"1,keyasint,omitempty"`
	Addr         string `cbor:"2,keyasint,omitempty"` // host:port of its datagrams and streams
	Zone         string `cbor:"3,keyasint,omitempty"`
	Program      string `cbor:"4,keyasint,omitempty"` // version of the program that it runs
	Boot         uint64 `cbor:"5,keyasint,omitempty"` // boot number: grows with each start of the process
	RunID        uint64 `cbor:"6,keyasint,omitempty"` // random, one per process: distinguishes two with the same boot number
	Incarnation  uint32 `cbor:"7,keyasint,omitempty"` // grows each time the member refutes a suspicion or changes its record
	State        State  `cbor:"8,keyasint,omitempty"`
	Reporter     string `cbor:"9,keyasint,omitempty"`  // name of the member that suspects it, or declared it dead or left
	Instances    uint32 `cbor:"10,keyasint,omitempty"` // instances that it runs
	Balancers    uint32 `cbor:"11,keyasint,omitempty"` // of these, the ones that share servers with the rest of the fleet
	NameVerified bool   `cbor:"12,keyasint,omitempty"` // it has verified that no other process uses its name
	AgeSeconds   uint32 `cbor:"13,keyasint,omitempty"` // seconds since it died or left, by the sender's clock
	Metadata     []byte `cbor:"14,keyasint,omitempty"` // for other modules; up to MaxMetadataBytes

	// Members of versions without regions pass a record on without these two.
	Region             string   `cbor:"15,keyasint,omitempty"`
	UnreachableRegions []uint32 `cbor:"16,keyasint,omitempty"` // hashes of regions that it watches and can't reach
}

// check returns an error that names the first field out of bounds. Every record from outside passes it before use.
func (r *Record) check() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxNameBytes || strings.ContainsAny(r.Name, " \t\r\n\"") || !printable(r.Name):
		return fmt.Errorf("name %q: 1 to %d printable characters without spaces are allowed", r.Name, MaxNameBytes)
	case len(r.Zone) > MaxNameBytes || !printable(r.Zone):
		return fmt.Errorf("zone %q: up to %d printable characters are allowed", r.Zone, MaxNameBytes)
	case len(r.Region) > MaxNameBytes || !printable(r.Region):
		return fmt.Errorf("region %q: up to %d printable characters are allowed", r.Region, MaxNameBytes)
	case len(r.UnreachableRegions) > maxRegions:
		return fmt.Errorf("%d unreachable regions: up to %d are allowed", len(r.UnreachableRegions), maxRegions)
	case len(r.Program) > MaxNameBytes || !printable(r.Program):
		return fmt.Errorf("version %q: up to %d printable characters are allowed", r.Program, MaxNameBytes)
	case len(r.Reporter) > MaxNameBytes || !printable(r.Reporter):
		return fmt.Errorf("reporter %q: up to %d printable characters are allowed", r.Reporter, MaxNameBytes)
	case len(r.Metadata) > MaxMetadataBytes:
		return fmt.Errorf("metadata of %d bytes: up to %d are allowed", len(r.Metadata), MaxMetadataBytes)
	case r.State > Left:
		return fmt.Errorf("%v is unknown", r.State)
	case r.Instances > maxInstances || r.Balancers > maxInstances:
		return fmt.Errorf("%d instances, %d balancers: up to %d are allowed", r.Instances, r.Balancers, maxInstances)
	}
	if a, err := netip.ParseAddrPort(r.Addr); err != nil || a.Port() == 0 {
		return fmt.Errorf("address %q: one such as 127.0.0.1:7946 is needed", r.Addr)
	}
	return nil
}

// ValidName reports whether a member may have this name.
func ValidName(name string) bool {
	r := Record{Name: name, Addr: "127.0.0.1:1", Boot: 1, RunID: 1}
	return r.check() == nil
}

// ValidFleet reports whether a fleet may have this name.
func ValidFleet(name string) bool {
	return name != "" && len(name) <= maxFleetNameBytes && printable(name) && !strings.ContainsAny(name, " \t\"")
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f || c == '\uFFFD' })
}

// newer reports whether r overrides other, a record of the same name: by boot number, then run ID, then incarnation,
// then the more final state. The order is total, so that members agree whatever the order in which records arrive.
func (r *Record) newer(other *Record) bool {
	switch {
	case r.Boot != other.Boot:
		return r.Boot > other.Boot
	case r.RunID != other.RunID:
		return r.RunID > other.RunID
	case r.Incarnation != other.Incarnation:
		return r.Incarnation > other.Incarnation
	}
	return r.State > other.State
}

// sameProcess reports whether two records are of the same process.
func (r *Record) sameProcess(other *Record) bool {
	return r.RunID == other.RunID && r.Boot == other.Boot
}

// NextBootNumber is the boot number of a process that starts: above the saved one, and at least the wall clock in Unix
// seconds, so that it grows although the disk was lost. Where the clock was set back as well, other members report the
// higher boot number, and the process outbids it.
func NextBootNumber(saved uint64, wallSeconds int64) uint64 {
	return max(saved+1, uint64(max(0, wallSeconds)))
}

// recordDigest is a record's part of the view's digest: FNV-1a over the fields that order records, mixed since the
// parts are combined by exclusive or. A suspicion counts as alive: it comes and goes.
func recordDigest(r *Record) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Name) // a hash never returns an error
	state := r.State
	if state == Suspect {
		state = Alive
	}
	var numbers []byte
	for _, n := range [...]uint64{r.Boot, r.RunID, uint64(r.Incarnation), uint64(state)} {
		numbers = binary.LittleEndian.AppendUint64(numbers, n)
	}
	_, _ = h.Write(numbers)
	return mix(h.Sum64())
}

// mix spreads each bit of a hash over all of them (MurmurHash3's 64-bit finalizer).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// nameHash64 is the hash by which watchers of regions are ranked.
func nameHash64(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // a hash never returns an error
	return h.Sum64()
}

// nameHash32 is the hash of regions on the wire and of names in buckets.
func nameHash32(name string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, name) // a hash never returns an error
	return h.Sum32()
}
