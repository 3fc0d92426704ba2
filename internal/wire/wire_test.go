package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
)

const ms = time.Millisecond

func frame(lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":1500.25}\n" + strings.Join(lines, "\n") + "\n{\"msg\":\"End\"}\n"
}

func TestMessagesBecomeEvents(t *testing.T) {
	const list = `{"msg":"DefineList","Sheet":3,"Items":[` +
		`{"Backend":"10.0.0.1:80","Availability":"on","Rating":1.5,"Block":2,"LaunchedMs":900,"Sku":1,"Dc":1},` +
		`{"Backend":"10.0.0.2:80","Availability":"fading"},{"Backend":"10.0.0.3:80","Availability":"off"}]}`
	entries := []decide.Backend{
		{ID: "10.0.0.1:80", Weight: 1.5, Cell: 2, Started: 900 * ms, Kind: 1, Zone: 1},
		{ID: "10.0.0.2:80", State: decide.Draining}, {ID: "10.0.0.3:80", State: decide.Removed}}
	tests := []struct {
		line string
		want decide.Event
	}{
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":240.5,"WorkHintMs":12,"StateBits":3}`,
			decide.Request{ID: "d0", Class: 1, Remaining: 240500 * time.Microsecond, Work: 12 * ms, ClientRetry: true}},
		{`{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":240,"WorkHintMs":12,"Later":{"x":1}}`,
			decide.Request{ID: "d0", Remaining: 240 * ms}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"pass","WaitTimeMs":18.5,"Backend":"b","SendNo":2,"Ended":true,"Usage":{"backlog":4,"outstanding":6,"recent_ms":7,"errors_per_s":0.5}}`,
			decide.Outcome{Request: "d0", Attempt: 2, Backend: "b", Latency: 18500 * time.Microsecond, Answered: true,
				Load: decide.Load{Valid: true, Queue: 4, InFlight: 6, Service: 7 * ms, ErrorsPerSec: 0.5}}},
		{`{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"stale_send","WaitTimeMs":0,"Backend":"b","SendNo":0}`,
			decide.Outcome{Request: "d0", Backend: "b", Result: decide.NotSent, Load: Load(nil)}},
		{`{"msg":"Expired","Agent":3,"Job":"d0"}`, decide.RequestCancelled{Request: "d0"}},
		{`{"msg":"Reminder","Agent":3,"Cookie":9223372036854775807}`, decide.TimerFired{Token: 1<<63 - 1}},
		{`{"msg":"Streaming","Agent":3,"Job":"d0","WaitTimeMs":1,"SendNo":1,"Backend":"b"}`,
			decide.ResponseStarted{Request: "d0", Attempt: 1}},
		{`{"msg":"Peer","Agent":3,"From":2,"Msg":"68692037"}`,
			decide.PeerMessage{From: 2, Data: []byte("hi 7")}},
		{`{"msg":"ProbeDone","Agent":3,"Backend":"b","Outcome":"no_route","WaitTimeMs":2}`,
			decide.ProbeResult{Backend: "b", Result: decide.ConnectFailed, Latency: 2 * ms, Load: Load(nil)}},
		{`{"msg":"View","Agent":3,"How":"error","Index":4,"Sheet":0}`, decide.ListUpdate{Kind: decide.ListFailed}},
		{list + "\n" + `{"msg":"View","Agent":3,"How":"diff","Index":4,"Sheet":3}`,
			decide.ListUpdate{Kind: decide.ListDelta, Backends: entries}},
	}
	for _, tt := range tests {
		b, err := NewReader(strings.NewReader(frame(tt.line))).Next()
		if err != nil {
			t.Errorf("%s: %v", tt.line, err)
			continue
		}
		if b.Now != 1500250*time.Microsecond || len(b.Events) != 1 || b.Events[0].Agent != 3 {
			t.Errorf("%s: batch %+v", tt.line, b)
			continue
		}
		if got := b.Events[0].Event; !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s:\n got %#v\nwant %#v", tt.line, got, tt.want)
		}
	}
}

const settingsJSON = `{"Balancers":3,"Me":1,"Zone":2,"CountedBy":"work","MembershipMode":"subscribe","TickMs":5,"Later":[1],
"Profiles":[{"Name":"x","AimMs":400,"DeadlineMs":1500,"Worth":3,"LateValue":0.25,"Semantics":"by_key","Group":"cell","WindowMs":3000}],
"PolicyLimits":{"TryLimit":4,"SecondCopies":true,"Peers":true,"MaxRetryAfterMs":1500},
"Contract":{"ColdFrom":0.16,"DrainGraceMs":500,"FallMs":1000,"FallMultiple":2.5,"RampTimeMs":20000,"AskWithinMs":10000,"GraceToAnswerMs":20},
"Goal":{"Whole":0.55,"WorstClass":0.3,"WorstWindow":0.15},"Prices":{"CrossZone":0.02}}`

func TestSettingsObjectBecomesSettings(t *testing.T) {
	oneLine := strings.ReplaceAll(settingsJSON, "\n", "")
	b, err := NewReader(strings.NewReader(frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":77,"Facts":` + oneLine + `}`))).Next()
	if err != nil {
		t.Fatal(err)
	}
	want := decide.Settings{
		Balancers: 3, Self: 1, Zone: 2, ByWork: true, Subscribe: true, Tick: 5 * ms,
		Classes: []decide.Class{{Objective: 400 * ms, Deadline: 1500 * ms, Value: 3, LateValue: 0.25,
			Effect: decide.Keyed, Scope: decide.ScopeCell, DedupWindow: 3 * time.Second}},
		MaxAttempts: 4, Hedging: true, Peers: true, MaxRetryAfter: 1500 * ms,
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, SubscribeWithin: 10 * time.Second, SlowStartShare: 0.16,
		SlowStartTime: 20 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second,
		GoalOverall: 0.55, GoalWorstWindow: 0.15, GoalWorstClass: 0.3, CrossZonePrice: 0.02,
	}
	if o := b.Events[0].Open; o == nil || o.Seed != 77 || !reflect.DeepEqual(o.Settings, want) {
		t.Errorf("got %+v\nwant %+v", o, want)
	}
}

func TestMalformedInputIsRejectedWithItsLine(t *testing.T) {
	tests := []struct{ name, in, want string }{
		{"not JSON", frame("{oops"), "line 2: "},
		{"unknown message", frame(`{"msg":"Nope","Agent":1}`), "line 2: Nope: unknown message"},
		{"missing field", frame(`{"msg":"Submit","Agent":1,"Job":"x"}`), "line 2: Submit: missing"},
		{"missing instance", frame(`{"msg":"Expired","Job":"x"}`), "line 2: Expired: missing Agent"},
		{"ill-typed field", frame(`{"msg":"Expired","Agent":"one","Job":"x"}`), "line 2: "},
		{"list never defined", frame(`{"msg":"View","Agent":1,"How":"diff","Sheet":5}`), "line 2: View: Sheet 5 was never defined"},
		{"unknown outcome", frame(`{"msg":"Ended","Agent":1,"Job":"x","Outcome":"huh","WaitTimeMs":1,"Backend":"b","SendNo":0}`), `unknown Outcome "huh"`},
		{"unknown kind of class", frame(`{"msg":"OpenInstance","Agent":1,"RandomSeed":1,"Facts":{"Profiles":[{"Semantics":"maybe"}]}}`),
			`Profiles[0].Semantics: unknown kind "maybe"`},
		{"ends within a batch", "{\"msg\":\"Frame\",\"ClockMs\":1}\n", "line 1: the input ends within a batch"},
		{"frame without clock", "{\"msg\":\"Frame\"}\n", "line 1: Frame: missing ClockMs"},
		{"event outside a batch", "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"x\"}\n", "outside a batch"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(tt.in)).Next()
			if err == nil || errors.Is(err, io.EOF) || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}

func TestActionsBecomeMessages(t *testing.T) {
	tests := []struct {
		action decide.Action
		want   string
	}{
		{decide.Send{Request: "d0", Backend: "b", Timeout: 80500 * time.Microsecond},
			`{"msg":"Try","Agent":4,"Job":"d0","Backend":"b","PatienceMs":80.5}`},
		{decide.Send{Request: "d0", Backend: "b"}, `{"msg":"Try","Agent":4,"Job":"d0","Backend":"b"}`},
		{decide.Cancel{Request: "d0", Attempt: 2}, `{"msg":"Cancel","Agent":4,"Job":"d0","SendNo":2}`},
		{decide.Refuse{Request: "d0", RetryAfter: 5 * ms}, `{"msg":"SayNo","Agent":4,"Job":"d0","WaitMs":5}`},
		{decide.Refuse{Request: "d0"}, `{"msg":"SayNo","Agent":4,"Job":"d0"}`},
		{decide.Fail{Request: `q"\`}, `{"msg":"DropRequest","Agent":4,"Job":"q\"\\"}`},
		{decide.SetTimer{After: ms / 4, Token: 9}, `{"msg":"SetTimer","Agent":4,"SpanMs":0.25,"Cookie":9}`},
		{decide.Probe{Backend: "b"}, `{"msg":"Test","Agent":4,"Backend":"b"}`},
		{decide.SendToPeer{To: 2, Data: []byte("hi 7")}, `{"msg":"WritePeer","Agent":4,"Whom":2,"Msg":"68692037"}`},
		{decide.Subscribe{}, `{"msg":"KeepInformed","Agent":4,"Enable":true}`},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		w := NewWriter(&out)
		if err := w.Actions(4, []decide.Action{tt.action}); err != nil {
			t.Fatal(err)
		}
		if err := w.End(); err != nil {
			t.Fatal(err)
		}
		if want := tt.want + "\n{\"msg\":\"Eor\"}\n"; out.String() != want {
			t.Errorf("%#v:\n got %swant %s", tt.action, out.String(), want)
		}
	}
}

// The length of lines and batches must not be limited.
func TestBatchOfSeveralMegabytesIsRead(t *testing.T) {
	var in strings.Builder
	for i := range 50000 {
		fmt.Fprintf(&in, "{\"msg\":\"Expired\",\"Agent\":1,\"Job\":\"%016x\"}\n", i)
	}
	pad := `{"msg":"Expired","Agent":1,"Job":"x","Later":"` + strings.Repeat("y", 3<<20) + `"}`
	b, err := NewReader(strings.NewReader(frame(in.String() + pad))).Next()
	if err != nil || len(b.Events) != 50001 {
		t.Fatalf("%v: read %d events", err, len(b.Events))
	}
}
