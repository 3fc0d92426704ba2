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

const (
	// maxChangeRequestBytes bounds the body of a request that proposes a change. JSON escapes may make the body
	// longer than the texts in it.
	maxChangeRequestBytes = 8 * policy.MaxChangeBytes
	// historyTimeout is how long a request for the history waits for a voter.
	historyTimeout = 5 * time.Second
)

// PolicyChangeStatus is the status of a change with its state as text, for programs.
type PolicyChangeStatus struct {
	policy.ChangeStatus
	State string `json:"state"` // unknown, under way, in force, dropped
}

// addPolicyHandlers adds the handlers of operators' requests about the fleet's policy.
func (d *Daemon) addPolicyHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET /policy", func(w http.ResponseWriter, _ *http.Request) {
		status, err := d.PolicyStatus()
		replyOrError(w, status, err)
	})
	mux.HandleFunc("POST /policy/check", d.handlePolicyCheck)
	mux.HandleFunc("POST /policy/apply", d.handlePolicyApply)
	mux.HandleFunc("GET /policy/fate", func(w http.ResponseWriter, r *http.Request) {
		status, err := d.ChangeStatus(r.FormValue("id"))
		replyOrError(w, PolicyChangeStatus{status, status.State.String()}, err)
	})
	mux.HandleFunc("POST /policy/drop", func(w http.ResponseWriter, r *http.Request) {
		err := d.AbortPolicy(r.FormValue("id"), r.FormValue("by"), r.FormValue("reason"))
		replyOrError(w, map[string]string{"asked_to_drop": r.FormValue("id")}, err)
	})
	mux.HandleFunc("GET /policy/past", d.handlePolicyHistory)
	mux.HandleFunc("POST /policy/voters", d.handlePolicyVoters)
	mux.HandleFunc("POST /policy/rescue", func(w http.ResponseWriter, _ *http.Request) {
		replyOrError(w, map[string]string{"state": "this voter goes on alone"}, d.PolicyCommand(policy.Rescue{}))
	})
	mux.HandleFunc("POST /policy/trust", func(w http.ResponseWriter, _ *http.Request) {
		replyOrError(w, map[string]string{"state": "this voter takes part with the disk as it is"}, d.PolicyCommand(policy.TrustDisk{}))
	})
}

// replyOrError sends a body or, if err is not nil, the error.
func replyOrError(w http.ResponseWriter, body any, err error) {
	if err != nil {
		replyError(w, http.StatusUnprocessableEntity, err)
		return
	}
	reply(w, http.StatusOK, body)
}

func (d *Daemon) handlePolicyCheck(w http.ResponseWriter, r *http.Request) {
	var rejected error
	body, err := io.ReadAll(io.LimitReader(r.Body, policy.MaxBodyBytes+1))
	if err == nil {
		err = d.onPolicy(func(n *policy.Node, _ time.Duration) []policy.Event {
			rejected = d.checkChange(n, &policy.Document{Part: r.FormValue("part"), Body: body})
			return nil
		})
	}
	replyOrError(w, map[string]string{"state": "this daemon could serve by it"}, errors.Join(err, rejected))
}

func (d *Daemon) handlePolicyApply(w http.ResponseWriter, r *http.Request) {
	var change PolicyChange
	if err := json.NewDecoder(io.LimitReader(r.Body, maxChangeRequestBytes)).Decode(&change); err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	id, err := d.ProposePolicy(change)
	replyOrError(w, map[string]string{"id": id}, err)
}

func (d *Daemon) handlePolicyHistory(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
	if r.FormValue("number") != "" && err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	history, err := d.PolicyHistory(r.FormValue("part"), number, historyTimeout)
	replyOrError(w, history, err)
}

func (d *Daemon) handlePolicyVoters(w http.ResponseWriter, r *http.Request) {
	request := policy.ReplaceVoter{Add: r.FormValue("add"), Remove: r.FormValue("remove")}
	if request.Add == "" && request.Remove == "" {
		replyError(w, http.StatusBadRequest, errors.New("nobody is named"))
		return
	}
	replyOrError(w, map[string]string{"state": "asked for; see who votes in policy show"}, d.ReplaceVoter(request))
}
