package check

import (
	"testing"
	"time"
)

// Each check of connections and notices is tested with a history that violates it and with the closest one that does
// not.
func TestCheckerFindsRefusedConnections(t *testing.T) {
	rules := testRules()
	rules.MinAcceptTime = 400 * ms
	rules.MinStartTime = 250 * ms
	life := func(kind Kind, at time.Duration, process, status int) Event {
		return Event{Kind: kind, At: at, Process: process, Status: status}
	}
	serving := []Event{life(ProcessStarted, ms, 1, 0), life(ProcessReady, 20*ms, 1, 0)}
	connect := func(kind Kind, at time.Duration) Event { return Event{Kind: kind, At: at, Note: "refused"} }
	stopped := append(serving[:2:2], life(ProcessTerminated, 1000*ms, 1, 0), life(ProcessExited, 1900*ms, 1, 0))
	with := func(base []Event, more ...Event) []Event { return append(base[:len(base):len(base)], more...) }
	request := Event{Kind: RequestSent, At: 1000 * ms, Request: "r", Class: "get", Left: 500 * ms}
	for _, row := range []struct {
		name   string
		want   Invariant // empty: no violation
		events []Event
	}{
		{"made while it serves", "", with(serving, connect(ConnectionMade, 500*ms))},
		{"refused while it serves", ConnectedIsRead, with(serving, connect(ConnectFailed, 500*ms))},
		{"refused before it is ready", "", with(serving, connect(ConnectFailed, 10*ms))},
		{"refused soon after SIGTERM", ConnectedIsRead, with(stopped, connect(ConnectFailed, 1380*ms))},
		{"taken no request soon after SIGTERM", ConnectedIsRead, with(stopped, connect(ConnectionLost, 1380*ms))},
		{"refused 0.4 s after SIGTERM", "", with(stopped, connect(ConnectFailed, 1400*ms))},
		{"refused as it is killed", "", with(serving, connect(ConnectFailed, 1000*ms), life(ProcessKilled, 1005*ms, 1, 0))},
		{"refused in a crowd", "", with(serving, Event{Kind: CrowdBegan, At: 400 * ms}, connect(ConnectFailed, 500*ms))},
		{"refused after a handover", ConnectedIsRead, with(serving, life(ProcessHandedOver, 300*ms, 1, 0), life(ProcessStarted, 400*ms, 2, 0),
			life(ProcessReady, 400*ms, 2, 0), life(ProcessExited, 450*ms, 1, 0), connect(ConnectFailed, 500*ms))},
		{"a message behind a notice", NothingAfterNotice, []Event{{Kind: NoticeRead, At: ms}, {Kind: AfterNotice, At: 2 * ms}}},
		{"a notice", "", []Event{{Kind: NoticeRead, At: ms}}},
		{"no answer on a new connection in a crowd", "", []Event{{Kind: CrowdBegan, At: 400 * ms}, request, {Kind: ConnectionEnded, At: 1100 * ms, Request: "r"}}},
		{"no answer on a connection whose process was killed while it was idle", "", []Event{life(ProcessKilled, 700*ms, 1, 0), request,
			{Kind: ConnectionEnded, At: 1001 * ms, Began: 600 * ms, Request: "r"}}},
		{"no answer on one that was alive after the kill", OneAnswer, []Event{life(ProcessKilled, 700*ms, 1, 0), request,
			{Kind: ConnectionEnded, At: 1001 * ms, Began: 800 * ms, Request: "r"}}},
		{"an end by SIGTERM before it could know of it", "", []Event{life(ProcessStarted, ms, 1, 0), life(ProcessTerminated, 200*ms, 1, 0), life(ProcessExited, 210*ms, 1, -1)}},
		{"an end by SIGTERM later", CleanStop, []Event{life(ProcessStarted, ms, 1, 0), life(ProcessTerminated, 300*ms, 1, 0), life(ProcessExited, 310*ms, 1, -1)}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := Check(rules, row.events).Violations
			switch {
			case row.want == "" && len(got) > 0:
				t.Errorf("no invariant is violated, got: %v", got)
			case row.want != "" && (len(got) == 0 || got[0].Invariant != row.want):
				t.Errorf("%v, want %s", got, row.want)
			}
		})
	}
}
