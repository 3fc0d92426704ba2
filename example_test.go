package brookferry_test

import (
	"fmt"
	"time"

	"brookferry"
)

// One balancer through a first attempt, a failure, a retry and an answer. The
// agent owns the clock, the timers and the connections.
func Example() {
	b, err := brookferry.New(brookferry.Settings{
		Balancers:   1,
		MaxAttempts: 3,
		Classes: []brookferry.Class{
			{Aim: 200 * time.Millisecond, Deadline: time.Second, Worth: 1, Effect: brookferry.Safe},
		},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	var backend string
	var timer int64
	step := func(events ...brookferry.Event) {
		for _, action := range b.Step(now, events) {
			switch a := action.(type) {
			case brookferry.Send: // start the attempt; pass its Outcome on later
				fmt.Println("send", a.Request)
				backend = a.Backend
			case brookferry.SetTimer: // pass TimerFired on when it is due
				fmt.Println("set a timer")
				timer = a.Token
			case brookferry.Refuse:
				fmt.Println("refuse", a.Request)
			case brookferry.Fail:
				fmt.Println("fail", a.Request)
			}
		}
	}
	step(brookferry.List{Kind: brookferry.ListFull, Backends: []brookferry.Backend{{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"}}})
	step(brookferry.Request{ID: "r1", Class: 0, Left: time.Second})

	first := backend
	now += 3 * time.Millisecond
	step(brookferry.Outcome{Request: "r1", Attempt: 0, Backend: backend, Result: brookferry.Errored, Latency: 3 * time.Millisecond})

	now += 7 * time.Millisecond
	step(brookferry.TimerFired{Token: timer})
	fmt.Println("on another backend:", backend != first)

	now += 20 * time.Millisecond
	step(brookferry.Outcome{Request: "r1", Attempt: 1, Backend: backend, Latency: 20 * time.Millisecond, Done: true})
	// Output:
	// send r1
	// set a timer
	// send r1
	// on another backend: true
}
