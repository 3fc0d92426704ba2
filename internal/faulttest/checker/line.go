package checker

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Line is one thing that happened: what a daemon says that changed in it, or what the drill did, which is the
// truth. One JSON object a line.
type Line struct {
	T    int64  `json:"t"`              // ns on the machine's monotonic clock, which all its processes share
	Wall int64  `json:"wall,omitempty"` // ms, Unix
	By   string `json:"by"`             // a daemon's name, or Drill
	PID  int    `json:"pid,omitempty"`  // of the process it is about, or that says it
	What string `json:"what"`

	Region string `json:"region,omitempty"` // in which the daemon of Up stands
	Of     string `json:"of,omitempty"`     // the member, of a daemon's line; the daemon, of the drill's
	Addr   string `json:"addr,omitempty"`
	Life   string `json:"life,omitempty"` // of Of
	Boot   uint64 `json:"boot,omitempty"`
	Inc    uint32 `json:"inc,omitempty"`

	State string `json:"state,omitempty"`
	Was   string `json:"was,omitempty"`
	Why   string `json:"why,omitempty"`

	Most      int  `json:"most,omitempty"`
	Least     int  `json:"least,omitempty"`
	Members   int  `json:"members,omitempty"`
	Live      int  `json:"live,omitempty"`
	File      bool `json:"file,omitempty"`
	Balancers int  `json:"balancers,omitempty"`

	StandBack bool  `json:"stand_back,omitempty"`
	PauseMS   int64 `json:"pause_ms,omitempty"`
	Health    int   `json:"health,omitempty"`

	From  string  `json:"from,omitempty"` // of a link
	To    string  `json:"to,omitempty"`
	Drop  float64 `json:"drop,omitempty"`
	WayUS int64   `json:"way_us,omitempty"` // microseconds that the link adds, one way
	// Rough: the link also doubles, reorders, damages, slows or breaks.
	Rough bool `json:"rough,omitempty"`

	Asked     int `json:"asked,omitempty"` // in the second before
	Served    int `json:"served,omitempty"`
	Refused   int `json:"refused,omitempty"`
	Failed    int `json:"failed,omitempty"`
	Datagrams int `json:"datagrams,omitempty"`
	Bytes     int `json:"bytes,omitempty"`
	Far       int `json:"far,omitempty"`      // of Bytes, to other regions
	Streamed  int `json:"streamed,omitempty"` // bytes on streams
	CPUMS     int `json:"cpu_ms,omitempty"`   // that the process has used since it started

	Limit  string `json:"limit,omitempty"`
	Figure int    `json:"figure,omitempty"`
	Bound  int    `json:"bound,omitempty"`
	Hard   bool   `json:"hard,omitempty"`
	Rate   bool   `json:"per_s,omitempty"` // it counts what begins in a second
	Used   int    `json:"used,omitempty"`  // at servers, at the most since the line before: at once, or begun in a second
	Begun  int    `json:"begun,omitempty"` // at servers, since the line before
	Wanted int    `json:"wanted,omitempty"`
	Server string `json:"server,omitempty"` // as the list names it; a daemon says it with its source before

	ID     string `json:"id,omitempty"`     // of a change of policy
	Number uint64 `json:"number,omitempty"` // of a policy
	Both   string `json:"both,omitempty"`   // it went by what this change allows as well
	Alone  bool   `json:"alone,omitempty"`  // it found nobody, and served by the last policy that it knew
	Part   string `json:"part,omitempty"`   // of the policy: a service; empty: what holds for all
	Parts  string `json:"parts,omitempty"`  // several, by spaces; what holds for all is "-"
}

// FaultTest is By of what the drill itself did.
const FaultTest = "drill"

// What lines say.
const (
	Start     = "start"     // a daemon: its view begins, with Life, Boot, Balancers
	Member    = "member"    // a daemon: Of is in State now
	Counted   = "count"     // a daemon: how many balancers it divides by
	Contested = "contested" // a daemon: another process has its name
	SelfDoubt = "doubt"     // a daemon: it was paused, or hears too little
	Leaving   = "leave"     // a daemon: it says that it goes
	Gap       = "gap"       // a daemon: so many lines were not written (Asked)

	Up            = "up"      // the drill: process PID of daemon Of runs, with Balancers
	Down          = "down"    // the drill: it was ended; Why is kill or term
	Pause         = "pause"   // the drill
	Resume        = "resume"  // the drill
	Link          = "link"    // the drill: From hears To so much less
	Cut           = "cut"     // the drill: Of is cut off from its servers or list (Why) by Drop
	Sent          = "sent"    // the drill: what Of sent to peers in the last second
	Service       = "service" // the drill: what Of's clients got in the last second
	Twin          = "twin"    // the drill: PID runs with the name of another
	Ending        = "ending"  // the drill: PID was told to end in order
	Handing       = "handing" // the drill: another process is to take the place of PID
	Handed        = "handed"  // the drill: PID serves in the place of the process before
	Starve        = "starve"  // the drill: PID has little of a core for PauseMS
	Limited       = "limited" // the drill: the daemons share a limit
	Used          = "used"    // the drill: what servers saw of it
	Wanted        = "wanted"  // the drill: so much is asked for from now on, a second, of all daemons together
	EjectionState = "verdict" // a daemon: Server is out, drains or is free (State)
	Fault         = "fault"   // the drill: Server fails Drop of its requests; of one daemon's (Of) alone, it is their link
	Got           = "got"     // the drill: so many requests reached Server in the last second (Asked), of Wanted at all servers
	StrayDatagram = "odd"     // the drill: a stray datagram; Why is its kind
	End           = "end"     // the drill

	Agreed         = "agreed"   // the drill: a policy is agreed on; Hard: who is cut off stops, after PauseMS; Why: voters; Parts: who may vote later
	Proposed       = "proposed" // the drill: change ID of these Parts (none: what holds for all) is asked for at Of, without those in Why
	AuthorNotified = "told"     // the drill: the author of change ID is told its State, and Number
	Took           = "took"     // the drill: Of took a request by policy Number, which change ID made
	PolicyRejected = "turned"   // the drill: Of turned a request away for the policy
	Disk           = "disk"     // the drill: the disk of Of is full, slow or well (State)
	OnDisk         = "on-disk"  // the drill: change ID is on the disk of Of
	Holds          = "holds"    // the drill: PID holds these Parts of the policy, besides what holds for all
)

// Read reads lines until the end of r. A line that is no line is an error that names it.
func Read(r io.Reader) ([]Line, error) {
	var all []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for n := 1; s.Scan(); n++ {
		text := bytes.TrimSpace(s.Bytes())
		if len(text) == 0 {
			continue
		}
		var l Line
		if err := json.Unmarshal(text, &l); err != nil {
			return all, fmt.Errorf("line %d: %w", n, err)
		}
		all = append(all, l)
	}
	return all, s.Err()
}
