package daemon

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"vetchhaven/internal/peer/policy"
)

// PolicyChangeStatus is what became of a change, for programs.
type PolicyChangeStatus struct {
	policy.ChangeStatus
	State string `json:"state"` // unknown, under way, in force, dropped
}

// handlePolicy are what operators ask about the fleet's policy.
func (d *Daemon) handlePolicy(mux *http.ServeMux, reply func(http.ResponseWriter, int, any), fail func(http.ResponseWriter, int, error)) {
	done := func(w http.ResponseWriter, v any, err error) {
		if err != nil {
			fail(w, http.StatusUnprocessableEntity, err)
			return
		}
		reply(w, http.StatusOK, v)
	}
	mux.HandleFunc("GET /policy", func(w http.ResponseWriter, _ *http.Request) {
		s, err := d.Policy()
		done(w, s, err)
	})
	mux.HandleFunc("POST /policy/check", func(w http.ResponseWriter, r *http.Request) {
		var wrong error
		body, err := io.ReadAll(io.LimitReader(r.Body, policy.MaxBodyBytes+1))
		if err == nil {
			err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
				wrong = d.checkChange(n, &policy.Document{Part: r.FormValue("part"), Body: body})
				return nil
			})
		}
		done(w, map[string]string{"state": "this daemon could serve by it"}, errors.Join(err, wrong))
	})
	mux.HandleFunc("POST /policy/apply", func(w http.ResponseWriter, r *http.Request) {
		var c PolicyChange
		if err := json.NewDecoder(io.LimitReader(r.Body, 8*policy.MaxChangeBytes)).Decode(&c); err != nil {
			fail(w, http.StatusBadRequest, err)
			return
		}
		id, err := d.ProposePolicy(c)
		done(w, map[string]string{"id": id}, err)
	})
	mux.HandleFunc("GET /policy/fate", func(w http.ResponseWriter, r *http.Request) {
		f, err := d.ChangeStatus(r.FormValue("id"))
		done(w, PolicyChangeStatus{f, f.State.String()}, err)
	})
	mux.HandleFunc("POST /policy/drop", func(w http.ResponseWriter, r *http.Request) {
		err := d.AbortPolicy(r.FormValue("id"), r.FormValue("by"), r.FormValue("reason"))
		done(w, map[string]string{"asked_to_drop": r.FormValue("id")}, err)
	})
	mux.HandleFunc("GET /policy/past", func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
		if r.FormValue("number") != "" && err != nil {
			fail(w, http.StatusBadRequest, err)
			return
		}
		p, err := d.PolicyHistory(r.FormValue("part"), n, 5*time.Second)
		done(w, p, err)
	})
	mux.HandleFunc("POST /policy/voters", func(w http.ResponseWriter, r *http.Request) {
		x := policy.ReplaceVoter{Add: r.FormValue("add"), Remove: r.FormValue("remove")}
		if x.Add == "" && x.Remove == "" {
			fail(w, http.StatusBadRequest, errors.New("nobody is named"))
			return
		}
		done(w, map[string]string{"state": "asked for; see who votes in policy show"}, d.PolicyVoters(x))
	})
	mux.HandleFunc("POST /policy/rescue", func(w http.ResponseWriter, _ *http.Request) {
		done(w, map[string]string{"state": "this voter goes on alone"}, d.PolicyCommand(policy.Rescue{}))
	})
	mux.HandleFunc("POST /policy/trust", func(w http.ResponseWriter, _ *http.Request) {
		done(w, map[string]string{"state": "this voter takes part with the disk as it is"}, d.PolicyCommand(policy.TrustDisk{}))
	})
}
