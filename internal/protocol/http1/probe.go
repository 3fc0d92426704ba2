package http1

import (
	"context"
	"math"
	"strconv"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/wire"
)

// Paths of probes.
const (
	pingPath = "/ping"
	loadPath = "/_load" // returns a load report
)

// probe checks a server's health, and reads its load report where the site's probes return one.
func (p *connPool) probe(id string) decide.ProbeResult {
	start := time.Now()
	path := pingPath
	if p.cfg.Site.LoadProbed {
		path = loadPath
	}
	m := &message{head: []byte("GET " + path + " HTTP/1.1\r\nHost: probe\r\n")}
	// The settings have no timeout for probes, so the connect timeout applies.
	ctx, cancel := context.WithTimeoutCause(context.Background(), p.cfg.Settings.ConnectTimeout, core.ErrTimedOut)
	defer cancel()
	result, a, load := p.attempt(ctx, probeOwner{}, id, m)
	if a != nil && p.cfg.Site.LoadProbed {
		load = parseLoad(string(a.body))
	}
	if a != nil {
		a.Discard()
	}
	return decide.ProbeResult{Backend: id, Result: result, Latency: time.Since(start), Load: load}
}

// loadNames maps the names of load values on the wire to those of the settings.
var loadNames = map[string]string{"queue": "backlog", "inflight": "outstanding", "eps": "errors_per_s", "latency_ms": "recent_ms"}

// parseLoad parses a load report such as "TEXT inflight=7, queue=2". Invalid values are left out.
func parseLoad(text string) decide.Load {
	usage := map[string]float64{}
	text = strings.TrimSpace(text)
	text = strings.TrimPrefix(strings.TrimPrefix(text, "Endpoint-Load-Metrics:"), " ")
	for _, pair := range strings.Split(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		// Load values are counts and times: values outside this range are ignored.
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v <= math.MaxInt32 {
			if known, ok := loadNames[name]; ok {
				name = known
			}
			usage[name] = v
		}
	}
	return wire.Load(usage)
}

// probeOwner is the attemptOwner of a probe. Only its context ends a probe, and its writes are always admitted.
type probeOwner struct{}

func (probeOwner) BeginWrite(func()) core.SendRefusal { return core.SendAllowed }

func (probeOwner) ContinueWrite(func()) core.SendRefusal { return core.SendAllowed }

func (probeOwner) EndWrite() {}

func (probeOwner) SettleClient() {}

func (probeOwner) Ended() <-chan struct{} { return nil }

func (probeOwner) Disconnected() bool { return false }

func (probeOwner) NoteServerClosed(time.Time) {}

func (probeOwner) MayDial() bool { return true }

func (probeOwner) MarkDialed() {}

func (probeOwner) Sent() {}

func (probeOwner) UploadCompleted() {}

func (probeOwner) MarkNotReplayable() {}

func (probeOwner) StartResponse(core.ServerProgress) bool { return false }

func (probeOwner) NoteFailure(error) {}
