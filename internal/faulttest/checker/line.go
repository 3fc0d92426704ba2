package checker

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

// Line is one event of a recorded history. Lines of the fault test record its actions and observations and are the
// ground truth; lines of a daemon report a change of its own state. Each line is one JSON object.
type Line struct {
	T    int64  `json:"t"`              // ns on the machine's monotonic clock, which all processes on the machine share
	Wall int64  `json:"wall,omitempty"` // Unix time in ms
	By   string `json:"by"`             // a daemon's name, or FaultTest
	PID  int    `json:"pid,omitempty"`  // process that the line is about or that wrote it
	What string `json:"what"`

	Region string `json:"region,omitempty"` // of the daemon, in Up lines
	Of     string `json:"of,omitempty"`     // in lines of a daemon: the member; in lines of the fault test: the daemon
	Addr   string `json:"addr,omitempty"`
	RunID  string `json:"life,omitempty"` // run ID of Of
	Boot   uint64 `json:"boot,omitempty"`
	Inc    uint32 `json:"inc,omitempty"`

	State    string `json:"state,omitempty"`
	Previous string `json:"was,omitempty"`
	Why      string `json:"why,omitempty"`

	MaxBalancers int  `json:"most,omitempty"`
	MinBalancers int  `json:"least,omitempty"`
	Members      int  `json:"members,omitempty"`
	Live         int  `json:"live,omitempty"`
	File         bool `json:"file,omitempty"`
	Balancers    int  `json:"balancers,omitempty"`

	Yielded bool  `json:"stand_back,omitempty"`
	PauseMS int64 `json:"pause_ms,omitempty"`
	Health  int   `json:"health,omitempty"`

	From          string  `json:"from,omitempty"` // sending end of a link
	To            string  `json:"to,omitempty"`
	Drop          float64 `json:"drop,omitempty"`
	OneWayDelayUS int64   `json:"way_us,omitempty"` // one-way delay that the link adds, in microseconds
	// Impaired: the link also duplicates, reorders, damages, slows down or breaks traffic.
	Impaired bool `json:"rough,omitempty"`

	Count     int `json:"asked,omitempty"` // requests in the last second; in Gap lines: lost lines; in StrayDatagram lines: datagrams
	Served    int `json:"served,omitempty"`
	Refused   int `json:"refused,omitempty"`
	Failed    int `json:"failed,omitempty"`
	Datagrams int `json:"datagrams,omitempty"`
	Bytes     int `json:"bytes,omitempty"`
	Far       int `json:"far,omitempty"`      // part of Bytes that went to other regions
	Streamed  int `json:"streamed,omitempty"` // bytes sent on streams
	CPUMS     int `json:"cpu_ms,omitempty"`   // CPU time that the process has used since its start, in ms

	Limit  string `json:"limit,omitempty"`
	Total  int    `json:"figure,omitempty"`
	Bound  int    `json:"bound,omitempty"`
	Hard   bool   `json:"hard,omitempty"`
	Rate   bool   `json:"per_s,omitempty"` // the limit counts requests that begin within a second
	Used   int    `json:"used,omitempty"`  // at servers, maximum since the last line: in flight, or begun in a second
	Begun  int    `json:"begun,omitempty"` // requests that began at servers since the previous line
	Demand int    `json:"wanted,omitempty"`
	Server string `json:"server,omitempty"` // name in the server list; in lines of a daemon, the source precedes the name

	ID              string `json:"id,omitempty"`     // of a policy change
	Number          uint64 `json:"number,omitempty"` // of a policy version
	PreparingChange string `json:"both,omitempty"`   // change that is being prepared and that also allows the request
	Standalone      bool   `json:"alone,omitempty"`  // the daemon reached no voter and served by the last policy on its disk
	Part            string `json:"part,omitempty"`   // part of the policy: a service; empty: the global part
	Parts           string `json:"parts,omitempty"`  // several parts, separated by spaces; "-" is the global part
}

// FaultTest is the value of By in lines of the fault test itself.
const FaultTest = "drill"

// Values of Line.What. Each comment names the writer: "daemon" or "test" (the fault test).
const (
	Start         = "start"     // daemon: its view starts, with RunID, Boot, Balancers
	Member        = "member"    // daemon: member Of is now in State
	Counted       = "count"     // daemon: number of balancers by which it divides shared limits
	Contested     = "contested" // daemon: another process has the same name
	PauseDetected = "doubt"     // daemon: it was paused or starved of CPU time, and has raised its local health multiplier (Health)
	Leaving       = "leave"     // daemon: it announces its departure
	Gap           = "gap"       // daemon: lines could not be written; Count is their number

	Up                = "up"      // test: process PID of daemon Of runs, with Balancers
	Down              = "down"    // test: the process was ended; Why is kill or term
	Pause             = "pause"   // test: process PID was paused
	Resume            = "resume"  // test: process PID was resumed
	Link              = "link"    // test: traffic from From to To has these faults from now on
	Cut               = "cut"     // test: Of loses the share Drop of its traffic with its servers or its list (Why)
	Sent              = "sent"    // test: traffic that Of sent to peers in the last second
	Service           = "service" // test: outcomes of the requests of Of's clients in the last second
	DuplicateStarted  = "twin"    // test: process PID runs under the name of another process
	ShutdownRequested = "ending"  // test: a graceful shutdown of process PID was requested
	HandoverStarted   = "handing" // test: a handover from process PID to a successor starts
	HandoverDone      = "handed"  // test: process PID has taken over from its predecessor
	Starve            = "starve"  // test: process PID gets little CPU time for PauseMS
	Limited           = "limited" // test: the daemons share a limit
	Used              = "used"    // test: use of the limit, as measured at the servers
	DemandChanged     = "wanted"  // test: requests per second, over all daemons, from now on
	EjectionState     = "verdict" // daemon: Server is ejected, drains or is readmitted (State)
	Fault             = "fault"   // test: Server fails the share Drop of requests; with Of: only those of that daemon
	ServerReceived    = "got"     // test: requests that reached Server (Count) and all servers (Demand) in the last second
	StrayDatagram     = "odd"     // test: Count stray datagrams were sent to Of; Why is their kind
	End               = "end"     // test: the history ends

	Agreed          = "agreed"   // test: the daemons agree on policies; Hard: isolated members stop after PauseMS; Why: voters; Parts: future voters
	Proposed        = "proposed" // test: change ID of Parts (none: the global part) is proposed at Of, excluding the members in Why
	AuthorNotified  = "told"     // test: the author of change ID is notified of its State and Number
	RequestAdmitted = "took"     // test: Of admitted a request by policy Number, which change ID made
	PolicyRejected  = "turned"   // test: Of rejected a request because of the policy
	Disk            = "disk"     // test: the disk of Of is full, slow or healthy (State: full, slow, well)
	OnDisk          = "on-disk"  // test: change ID is on the disk of Of
	Holds           = "holds"    // test: process PID holds these Parts of the policy, besides the global part
)

// Read reads lines until the end of r. For a line that can't be parsed, it returns an error with the line's number,
// and the lines before it.
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
