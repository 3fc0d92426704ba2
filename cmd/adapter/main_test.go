package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/wire"
)

const open = `{"msg":"OpenInstance","Agent":3,"RandomSeed":5,"Facts":{"Balancers":1,"Me":0,"TickMs":5,` +
	`"Profiles":[{"AimMs":400,"DeadlineMs":1500,"Worth":1,"Semantics":"once","WindowMs":0}],` +
	`"PolicyLimits":{"TryLimit":2},"Contract":{"ColdFrom":1}}}`
const lists = `{"msg":"DefineList","Sheet":0,"Items":[{"Backend":"10.0.0.1:80","Availability":"on"}]}
{"msg":"View","Agent":3,"How":"disk","Index":1,"Sheet":0}`

func batch(clock string, lines ...string) string {
	return "{\"msg\":\"Frame\",\"ClockMs\":" + clock + "}\n" + strings.Join(append(lines, ""), "\n") + "{\"msg\":\"End\"}\n"
}

func TestRun(t *testing.T) {
	const submit = `{"msg":"Submit","Agent":3,"Job":"d0","TierClass":0,"GraceMs":700}`
	const try = `{"msg":"Try","Agent":3,"Job":"d0","Backend":"10.0.0.1:80"}` + "\n"
	const eor = "{\"msg\":\"Eor\"}\n"
	ended := func(outcome, done string) string {
		return `{"msg":"Ended","Agent":3,"Job":"d0","Outcome":"` + outcome +
			`","WaitTimeMs":20,"Backend":"10.0.0.1:80","SendNo":0` + done + `}`
	}
	tests := []struct{ name, in, want string }{
		{"nothing", "", ""},
		{"an empty batch", batch("1"), eor},
		{"a request is sent", batch("1", open, lists) + batch("6", submit), eor + try + eor},
		{"served", batch("1", open, lists, submit) + batch("26", ended("pass", `,"Ended":true`)), try + eor + eor},
		{"failed", batch("1", open, lists, submit) + batch("26", ended("fault", "")),
			try + eor + `{"msg":"DropRequest","Agent":3,"Job":"d0"}` + "\n" + eor},
		{"killed and started in one batch forgets", batch("1", open, lists, submit) +
			batch("6", `{"msg":"Retire","Agent":3}`, open, lists) + batch("26", ended("fault", "")),
			try + eor + eor + eor},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := run(strings.NewReader(tt.in), &out); err != nil {
				t.Fatal(err)
			}
			if out.String() != tt.want {
				t.Errorf("got\n%swant\n%s", out.String(), tt.want)
			}
		})
	}
}

func TestRunFaults(t *testing.T) {
	var many []string // repeated starts: each one ends a step that has replies
	for i := range 2000 {
		many = append(many, fmt.Sprintf(`{"msg":"Submit","Agent":3,"Job":"m%d","TierClass":0,"GraceMs":700}`, i), open, lists)
	}
	tests := []struct{ name, in, want string }{
		{"instance not open", batch("1", `{"msg":"Reminder","Agent":8,"Cookie":1}`), "line 2: instance 8 is not open"},
		{"settings make no sense", batch("1", strings.Replace(open, `"Balancers":1`, `"Balancers":0`, 1)), "Balancers: 0"},
		{"unknown class", batch("1", open, lists, `{"msg":"Submit","Agent":3,"Job":"d0","TierClass":1,"GraceMs":700}`),
			"line 5: Submit: TierClass: unknown class 1"},
		{"not open, behind one with much to answer", batch("1", append([]string{open, lists},
			append(many, `{"msg":"Reminder","Agent":8,"Cookie":1}`)...)...), "instance 8 is not open"},
		{"broken line", batch("1", "{"), "line 2: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(tt.in), &out)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
			if out.Len() > 0 {
				t.Errorf("wrote %q", out.String())
			}
		})
	}
}

// A panic of the decision code is reported with its text, and the adapter continues.
func TestPanicIsReportedAsBroken(t *testing.T) {
	var out bytes.Buffer
	w := wire.NewWriter(&out)
	b := &wire.Batch{Events: []wire.Event{{Agent: 2, Event: decide.Request{ID: "x"}}}}
	broken := map[int]stepper{2: stepFunc(func(time.Duration, []decide.Event) []decide.Action { panic("no such thing") })}
	if err := answer(b, broken, w); err != nil {
		t.Fatal(err)
	}
	if err := w.End(); err != nil {
		t.Fatal(err)
	}
	want := `{"msg":"Broken","Agent":2,"Msg":"panic: no such thing"}` + "\n{\"msg\":\"Eor\"}\n"
	if out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

type stepFunc func(time.Duration, []decide.Event) []decide.Action

func (f stepFunc) Step(now time.Duration, e []decide.Event) []decide.Action { return f(now, e) }
