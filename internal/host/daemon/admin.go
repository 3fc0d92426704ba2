package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/host/metrics"
)

const (
	adminHeaderTimeout = 5 * time.Second
	adminIdleTimeout   = 30 * time.Second
	// maxNotReady bounds the number of instances that the health endpoint lists as not ready.
	maxNotReady = 20
)

// Reasons why the daemon has no state to return for an admin request.
var (
	errNoMembership = errors.New("this daemon has no view of a fleet: [peers] is not in its file, or is being started")
	errNoLimits     = errors.New("the fleet shares no limits: there is no [[limit]] in this daemon's file")
	errNoEjections  = errors.New("this daemon shares no verdicts: [peers] is not in its file, says verdicts = false, or is being started")
)

// serveAdmin serves the admin endpoint on a copy of a listener, which stays open for a successor.
func (d *Daemon) serveAdmin(listener net.Listener) *http.Server {
	server := &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout}
	copied, err := copyOf(listener)
	if err != nil {
		d.log.Error("admin", "error", err)
		return server
	}
	d.background.Go(func() {
		if err := server.Serve(core.NewRetryingListener(copied)); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("admin", "error", err)
		}
	})
	return server
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", d.handleHealth)
	mux.Handle("GET /metrics", metrics.Handler(d.agentCounters))
	mux.HandleFunc("GET /status", d.handleStatus)
	mux.HandleFunc("POST /reload", d.handleReload)
	mux.HandleFunc("POST /handover", d.handleHandover)
	mux.HandleFunc("GET /fleet/view", func(w http.ResponseWriter, _ *http.Request) {
		status, ok := d.MembershipStatus()
		replyIfFound(w, status, ok, errNoMembership)
	})
	mux.HandleFunc("GET /fleet/limits", func(w http.ResponseWriter, _ *http.Request) {
		status, ok := d.LimitsStatus()
		replyIfFound(w, status, ok, errNoLimits)
	})
	mux.HandleFunc("GET /fleet/verdicts", func(w http.ResponseWriter, _ *http.Request) {
		status, ok := d.EjectionStatus()
		replyIfFound(w, status, ok, errNoEjections)
	})
	mux.HandleFunc("POST /fleet/forget", d.handleForget)
	d.addPolicyHandlers(mux)
	return mux
}

// reply sends a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	_ = encoder.Encode(body)
}

func replyError(w http.ResponseWriter, status int, err error) {
	reply(w, status, map[string]string{"error": err.Error()})
}

// replyIfFound sends a body or, if found is false, status 404 with the error notFound.
func replyIfFound(w http.ResponseWriter, body any, found bool, notFound error) {
	if !found {
		replyError(w, http.StatusNotFound, notFound)
		return
	}
	reply(w, http.StatusOK, body)
}

// healthStatus is the body of the health endpoint. Its keys are in the order in which earlier builds sent them.
type healthStatus struct {
	Down     int      `json:"down"`
	NotReady []string `json:"not_ready,omitempty"`
	Policy   string   `json:"policy,omitempty"`
	Ready    int      `json:"ready"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
}

func (d *Daemon) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s, ok := d.Status()
	if !ok {
		replyError(w, http.StatusServiceUnavailable, errStopping)
		return
	}
	health := healthStatus{Down: s.Down, Ready: s.Ready, Running: s.Running, Waiting: s.Waiting}
	switch {
	case s.Down > 0 || s.Waiting > 0 || s.Ready < s.Running:
		health.NotReady = s.notReady()
	case !d.policyAdmits():
		health.Policy = "no request is taken: see vetchhaven policy show"
	default:
		reply(w, http.StatusOK, health)
		return
	}
	reply(w, http.StatusServiceUnavailable, health)
}

// notReady names up to maxNotReady instances that are not ready, with their states.
func (s *Status) notReady() []string {
	var names []string
	for _, instance := range s.Instances {
		if instance.State != instanceReady {
			names = append(names, instance.Name+": "+instance.State)
		}
	}
	return names[:min(maxNotReady, len(names))]
}

func (d *Daemon) handleStatus(w http.ResponseWriter, _ *http.Request) {
	s, ok := d.Status()
	if !ok {
		replyError(w, http.StatusServiceUnavailable, errStopping)
		return
	}
	reply(w, http.StatusOK, s)
}

func (d *Daemon) handleReload(w http.ResponseWriter, _ *http.Request) {
	result, err := d.Reload()
	if err != nil {
		d.log.Error("configuration not applied; the previous one stays in effect", "error", err)
		replyError(w, http.StatusUnprocessableEntity, err)
		return
	}
	reply(w, http.StatusOK, result)
}

func (d *Daemon) handleHandover(w http.ResponseWriter, r *http.Request) {
	// A client that disconnects does not stop the handover.
	if err := d.Handover(context.WithoutCancel(r.Context())); err != nil {
		replyError(w, http.StatusConflict, err)
		return
	}
	reply(w, http.StatusOK, map[string]string{"state": "a successor serves"})
}

func (d *Daemon) handleForget(w http.ResponseWriter, r *http.Request) {
	name := r.FormValue("name")
	if err := d.ForgetMember(name); err != nil {
		replyError(w, http.StatusUnprocessableEntity, err)
		return
	}
	reply(w, http.StatusOK, map[string]string{"forgotten": name})
}
