package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"
	"strings"
)

// State is the state of a member. States are ordered from the least to the most final: among records with the same boot
// number, process and incarnation, the higher state wins.
type State uint8

// The states of a member.
const (
	Alive   State = iota // the member answers probes
	Suspect              // a probe of the member failed; it can still refute the suspicion
	Dead                 // the suspicion was not refuted in time; the process may still run behind a broken link
	Left                 // the member left in an orderly way (Serf's term), or an operator removed it
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name as logs and the admin endpoint show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

const (
	// MaxMetadataBytes is the maximum length of Record.Metadata. It is part of the wire format: members of earlier
	// versions reject longer metadata.
	MaxMetadataBytes = 128
	// MaxNameBytes is the maximum length of names, zones, regions and versions. It is part of the wire format too.
	MaxNameBytes = 64
	// maxAddrBytes is the maximum length of an address in a message. An IPv6 address with zone and port fits.
	maxAddrBytes = 64
	// maxFleetNameBytes is the maximum length of a fleet's name.
	maxFleetNameBytes = 32
	// maxInstances is the maximum number of instances or balancers that one daemon may report: far more than a host can
	// run, and few enough that sums over a fleet fit in an int.
	maxInstances = 1 << 20
)

// Record describes one member. Members exchange records with each other.
type Record struct {
	Name         string `cbor:"1,keyasint,omitempty"`
	Addr         string `cbor:"2,keyasint,omitempty"` // host:port for datagrams and streams
	Zone         string `cbor:"3,keyasint,omitempty"`
	Version      string `cbor:"4,keyasint,omitempty"` // version of the program
	Boot         uint64 `cbor:"5,keyasint,omitempty"` // boot number: increases with each start of the process
	RunID        uint64 `cbor:"6,keyasint,omitempty"` // random per process: distinguishes two with the same boot number
	Incarnation  uint32 `cbor:"7,keyasint,omitempty"` // grows when the member refutes a report or changes its record
	State        State  `cbor:"8,keyasint,omitempty"`
	Reporter     string `cbor:"9,keyasint,omitempty"`  // member that suspects this one, or declared it dead or left
	Instances    uint32 `cbor:"10,keyasint,omitempty"` // number of instances that the member runs
	Balancers    uint32 `cbor:"11,keyasint,omitempty"` // of these, how many share servers with the rest of the fleet
	NameVerified bool   `cbor:"12,keyasint,omitempty"` // the member has verified that no other process uses its name
	AgeSeconds   uint32 `cbor:"13,keyasint,omitempty"` // seconds since the member died or left, by the sender's clock
	Metadata     []byte `cbor:"14,keyasint,omitempty"` // used by other modules; up to MaxMetadataBytes

	// Members of versions without regions drop these two fields when they forward a record.
	Region             string   `cbor:"15,keyasint,omitempty"`
	UnreachableRegions []uint32 `cbor:"16,keyasint,omitempty"` // hashes of watched regions that it can't reach
}

// check returns an error that names the first invalid field. Every record from another member is checked before use.
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
	case len(r.Version) > MaxNameBytes || !printable(r.Version):
		return fmt.Errorf("version %q: up to %d printable characters are allowed", r.Version, MaxNameBytes)
	case len(r.Reporter) > MaxNameBytes || !printable(r.Reporter):
		return fmt.Errorf("reporter %q: up to %d printable characters are allowed", r.Reporter, MaxNameBytes)
	case len(r.Metadata) > MaxMetadataBytes:
		return fmt.Errorf("metadata of %d bytes: up to %d are allowed", len(r.Metadata), MaxMetadataBytes)
	case r.State > Left:
		return fmt.Errorf("%v is not a valid member state", r.State)
	case r.Instances > maxInstances || r.Balancers > maxInstances:
		return fmt.Errorf("%d instances, %d balancers: up to %d are allowed", r.Instances, r.Balancers, maxInstances)
	}
	if a, err := netip.ParseAddrPort(r.Addr); err != nil || a.Port() == 0 {
		return fmt.Errorf("address %q: want host:port, such as 127.0.0.1:7946", r.Addr)
	}
	return nil
}

// ValidName reports whether name is valid for a member.
func ValidName(name string) bool {
	r := Record{Name: name, Addr: "127.0.0.1:1", Boot: 1, RunID: 1}
	return r.check() == nil
}

// ValidFleet reports whether name is valid for a fleet.
func ValidFleet(name string) bool {
	return name != "" && len(name) <= maxFleetNameBytes && printable(name) && !strings.ContainsAny(name, " \t\"")
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' || c == 0x7f || c == '\uFFFD' })
}

// newer reports whether r overrides other, a record with the same name. Records are ordered by boot number, then run
// ID, then incarnation, then state. The order is total, so that members agree whatever the order in which records
// arrive.
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

// sameProcess reports whether two records describe the same process.
func (r *Record) sameProcess(other *Record) bool {
	return r.RunID == other.RunID && r.Boot == other.Boot
}

// NextBootNumber returns the boot number for a process that starts: higher than the saved one, and at least the wall
// clock in Unix seconds, so that it increases even if the disk was lost. If the clock was set back as well, other
// members report the higher boot number of the earlier process, and this process outbids it (View.outbid).
func NextBootNumber(saved uint64, wallSeconds int64) uint64 {
	return max(saved+1, uint64(max(0, wallSeconds)))
}

// recordDigest returns a record's contribution to the view's digest: FNV-1a over the fields that order records, mixed
// because contributions are combined by exclusive or. Suspect counts as Alive, because suspicions are transient.
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

// mix makes each bit of the result depend on all bits of the hash (MurmurHash3's 64-bit finalizer).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// nameHash64 returns the hash of a name by which members are ranked as watchers.
func nameHash64(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name) // a hash never returns an error
	return h.Sum64()
}

// nameHash32 returns the hash that identifies a region on the wire and assigns names to buckets.
func nameHash32(name string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, name) // a hash never returns an error
	return h.Sum32()
}
