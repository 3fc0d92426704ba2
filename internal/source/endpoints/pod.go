package endpoints

import (
	"fmt"
	"strconv"
	"time"
)

// Pod is the pod of a server: the group of servers that share the idempotency keys they have received. The zero value
// means that the pod is unknown; pod 0 is a pod like any other. Pods can be compared with ==, but two servers of
// unknown pods may be in different pods.
type Pod struct {
	number int
	known  bool
}

// PodNumber returns the pod with a number.
func PodNumber(number int) Pod { return Pod{number: number, known: true} }

// Number returns the pod's number; known is false if the pod is unknown.
func (p Pod) Number() (number int, known bool) { return p.number, p.known }

// String returns the pod's number, or "unknown".
func (p Pod) String() string {
	if !p.known {
		return "unknown"
	}
	return strconv.Itoa(p.number)
}

// podHistory is the effective pod of a server, and when it changed.
type podHistory struct {
	pod     Pod           // the last known one that took effect
	changed time.Duration // when the pod took effect
	logged  bool          // whether it has been logged that another pod is reported
}

// dampPod returns the effective pod of a server, given the reported one. A change takes effect at once unless the
// last one took effect less than Settings.Settle ago; until it does, the pod is unknown, because the server is no longer
// known to be in the old one. That a source tells a pod which was unknown, or no longer tells it, is not a change of the
// pod.
func (m *Module) dampPod(id string, reported Pod) Pod {
	p := m.pods[id]
	if p == nil {
		p = &podHistory{changed: m.latest - m.settings.Settle}
		m.pods[id] = p
	}
	switch {
	case !reported.known:
		return reported
	case !p.pod.known:
		p.pod = reported
	case reported == p.pod:
		p.logged = false
	case m.latest-p.changed < m.settings.Settle:
		m.logDelayedMove(id, p, reported)
		return Pod{}
	default:
		m.logs = append(m.logs, fmt.Sprintf("server %s moves from pod %s to pod %s", id, p.pod, reported))
		p.pod = reported
		p.changed = m.latest
		p.logged = false
	}
	return p.pod
}

// logDelayedMove logs once that a move does not take effect yet.
func (m *Module) logDelayedMove(id string, p *podHistory, reported Pod) {
	if p.logged {
		return
	}
	m.logs = append(m.logs, fmt.Sprintf(
		"server %s is reported in pod %s too soon after its last move, to pod %s: its pod is unknown for now",
		id, reported, p.pod))
	p.logged = true
}

// Bounds of Module.pods: it is pruned when it has more than maxPodsPerServer elements for each listed server and
// podsSlack more. With larger values it is pruned less often and uses more memory for removed servers.
const (
	maxPodsPerServer = 4
	podsSlack        = 1000
)

// prunePods drops the pods of servers that no source names any more, once their number exceeds the bounds.
func (m *Module) prunePods(list []ListedServer) {
	if len(m.pods) <= maxPodsPerServer*len(list)+podsSlack {
		return
	}
	listed := map[string]bool{}
	for _, member := range list {
		listed[member.ID] = true
	}
	for id := range m.pods {
		if !listed[id] {
			delete(m.pods, id)
		}
	}
}
