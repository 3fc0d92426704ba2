package decide_test

import (
	"fmt"
	"time"

	"vetchhaven/decide"
)

// The example shows one balancer with a first attempt, a failure, a retry and an answer. The agent owns the clock,
// the timers and the connections.
func Example() {
	b, err := decide.New(decide.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes: []decide.Class{
			{Objective: 200 * time.Millisecond, Deadline: time.Second, Value: 1, Effect: decide.Idempotent},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	var backend string
	var timer int64
	step := func(events ...decide.Event) {
		for _, action := range b.Step(now, events) {
			switch a := action.(type) {
			case decide.Send: // start the attempt; report its Outcome later
				fmt.Println("send", a.Request)
				backend = a.Backend
			case decide.SetTimer: // report TimerFired when it is due
				fmt.Println("set a timer")
				timer = a.Token
			case decide.Refuse:
				fmt.Println("refuse", a.Request)
			case decide.Fail:
				fmt.Println("fail", a.Request)
			}
		}
	}
	step(decide.ListUpdate{Kind: decide.ListFull, Backends: []decide.Backend{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}})
	step(decide.Request{ID: "r1", Class: 0, Remaining: time.Second})

	first := backend
	now += 3 * time.Millisecond
	step(decide.Outcome{Request: "r1", Attempt: 0, Backend: backend, Result: decide.Errored, Latency: 3 * time.Millisecond})

	now += 7 * time.Millisecond
	step(decide.TimerFired{Token: timer})
	fmt.Println("on another backend:", backend != first)

	now += 20 * time.Millisecond
	step(decide.Outcome{Request: "r1", Attempt: 1, Backend: backend, Latency: 20 * time.Millisecond, Answered: true})
	// Output:
	// send r1
	// set a timer
	// send r1
	// on another backend: true
}
