package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/metrics"
	"vetchhaven/internal/host/supervise"
	"vetchhaven/internal/source/discovery"
)

// Status is how a daemon stands.
type Status struct {
	PID       int                  `json:"pid"`
	Up        float64              `json:"up_s"`
	State     string               `json:"state"` // serving, or handing over
	Ready     int                  `json:"ready"` // instances that know servers
	Running   int                  `json:"running"`
	Waiting   int                  `json:"waiting"` // failed, and start again
	Down      int                  `json:"down"`    // left down
	Reloads   int                  `json:"reloads"`
	Memory    uint64               `json:"heap_bytes"`
	Totals    core.Totals          `json:"totals"`
	Lists     []discovery.HubState `json:"lists"`
	Instances []InstanceStatus     `json:"instances"`
	Saving    string               `json:"saving,omitempty"` // why the state is not being saved
}

// InstanceStatus is how one instance stands.
type InstanceStatus struct {
	Name     string      `json:"name"`
	Listen   string      `json:"listen"`
	State    string      `json:"state"` // ready, starting, waiting, down
	Failures int         `json:"failures,omitempty"`
	Reason   string      `json:"reason,omitempty"`
	Totals   core.Totals `json:"totals"`
}

// Status tells how the daemon stands.
func (d *Daemon) Status() (s Status, ok bool) {
	ok = d.call(func() { s = d.status() })
	return s, ok
}

func (d *Daemon) status() Status {
	s := Status{PID: os.Getpid(), Up: d.now().Seconds(), State: "serving", Reloads: d.reloads, Instances: []InstanceStatus{}}
	if d.handingOver {
		s.State = "handing over"
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s.Memory = m.HeapAlloc
	for name, p := range d.instances {
		i := InstanceStatus{Name: name, Listen: p.spec.Listen.String(), Totals: p.pastTotals}
		st := d.supervisor.State(name)
		i.Failures, i.Reason = st.TotalFailures, st.LastReason
		switch {
		case st.Phase == supervise.Down:
			i.State = "down"
			s.Down++
		case p.agent == nil:
			i.State = "waiting"
			s.Waiting++
		default:
			i.State = "starting"
			s.Running++
			if p.agent.Ready() {
				i.State = "ready"
				s.Ready++
			}
			i.Totals = addTotals(p.pastTotals, p.agent.Totals())
		}
		s.Totals = addTotals(s.Totals, i.Totals)
		s.Instances = append(s.Instances, i)
	}
	slices.SortFunc(s.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range d.hubs {
		s.Lists = append(s.Lists, h.State())
	}
	slices.SortFunc(s.Lists, func(a, b discovery.HubState) int { return strings.Compare(a.Addr, b.Addr) })
	if d.snapshots.Failed() {
		s.Saving = "the state directory can't be written"
	}
	return s
}

// agentCounters is what the instances that run have counted since their starts.
func (d *Daemon) agentCounters() (all []metrics.Agent) {
	d.call(func() {
		for name, p := range d.instances {
			if p.agent != nil {
				all = append(all, metrics.Agent{Name: name, Totals: p.agent.Totals(), Counters: p.agent.Counters()})
			}
		}
	})
	return all
}

// serveAdmin answers operators. The daemon's own socket stays open for a successor.
func (d *Daemon) serveAdmin(master net.Listener) *http.Server {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, status int, v any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		e := json.NewEncoder(w)
		e.SetIndent("", " ")
		_ = e.Encode(v)
	}
	fail := func(w http.ResponseWriter, status int, err error) {
		reply(w, status, map[string]string{"error": err.Error()})
	}
	gone := errors.New("the daemon is stopping")
	mux.HandleFunc("GET /_health", func(w http.ResponseWriter, _ *http.Request) {
		s, ok := d.Status()
		short := map[string]any{"ready": s.Ready, "running": s.Running, "waiting": s.Waiting, "down": s.Down}
		switch {
		case !ok:
			fail(w, http.StatusServiceUnavailable, gone)
		case s.Down > 0 || s.Waiting > 0 || s.Ready < s.Running:
			var names []string
			for _, i := range s.Instances {
				if i.State != "ready" {
					names = append(names, i.Name+": "+i.State)
				}
			}
			short["not_ready"] = names[:min(20, len(names))]
			reply(w, http.StatusServiceUnavailable, short)
		case !d.policyAdmits():
			short["policy"] = "no request is taken: see vetchhaven policy show"
			reply(w, http.StatusServiceUnavailable, short)
		default:
			reply(w, http.StatusOK, short)
		}
	})
	mux.Handle("GET /metrics", metrics.Handler(d.agentCounters))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		if s, ok := d.Status(); ok {
			reply(w, http.StatusOK, s)
		} else {
			fail(w, http.StatusServiceUnavailable, gone)
		}
	})
	mux.HandleFunc("POST /reload", func(w http.ResponseWriter, _ *http.Request) {
		if r, err := d.Reload(); err != nil {
			d.log.Error("configuration not applied, the old one holds", "error", err)
			fail(w, http.StatusUnprocessableEntity, err)
		} else {
			reply(w, http.StatusOK, r)
		}
	})
	mux.HandleFunc("POST /handover", func(w http.ResponseWriter, r *http.Request) {
		if err := d.Handover(context.WithoutCancel(r.Context())); err != nil {
			fail(w, http.StatusConflict, err)
		} else {
			reply(w, http.StatusOK, map[string]string{"state": "a successor serves"})
		}
	})
	mux.HandleFunc("GET /fleet/view", func(w http.ResponseWriter, _ *http.Request) {
		if s, ok := d.MembershipStatus(); ok {
			reply(w, http.StatusOK, s)
		} else {
			fail(w, http.StatusNotFound, errors.New("this daemon has no view of a fleet: [peers] is not in its file, or is being started"))
		}
	})
	mux.HandleFunc("GET /fleet/limits", func(w http.ResponseWriter, _ *http.Request) {
		if s, ok := d.Limits(); ok {
			reply(w, http.StatusOK, s)
		} else {
			fail(w, http.StatusNotFound, errors.New("the fleet shares no limits: there is no [[limit]] in this daemon's file"))
		}
	})
	mux.HandleFunc("GET /fleet/verdicts", func(w http.ResponseWriter, _ *http.Request) {
		if s, ok := d.EjectionStatus(); ok {
			reply(w, http.StatusOK, s)
		} else {
			fail(w, http.StatusNotFound, errors.New("this daemon shares no verdicts: [peers] is not in its file, says verdicts = false, or is being started"))
		}
	})
	d.handlePolicy(mux, reply, fail)
	mux.HandleFunc("POST /fleet/forget", func(w http.ResponseWriter, r *http.Request) {
		if err := d.ForgetMember(r.FormValue("name")); err != nil {
			fail(w, http.StatusUnprocessableEntity, err)
		} else {
			reply(w, http.StatusOK, map[string]string{"forgotten": r.FormValue("name")})
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	ln, err := copyOf(master)
	if err != nil {
		d.log.Error("admin", "error", err)
		return server
	}
	d.background.Go(func() {
		if err := server.Serve(core.NewSteadyListener(ln)); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("admin", "error", err)
		}
	})
	return server
}
