// Command adapter runs decide balancers for the simulator: it reads batches of events from standard input and writes
// one reply per batch to standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/wire"
)

func main() {
	debug.SetGCPercent(800) // the heap is small and most garbage is short-lived, so infrequent collection is cheap
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// stepper is the interface of an instance: a *decide.Balancer, or a fake in tests.
type stepper interface {
	Step(now time.Duration, events []decide.Event) []decide.Action
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), wire.NewWriter(out)
	instances := map[int]stepper{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(batch, instances, writer); err != nil {
			return err
		}
		if err := writer.End(); err != nil {
			return err
		}
	}
}

// answer passes each instance its events of the batch in one step, and writes the actions. If an instance is started
// within the batch, the events before the start form a step of their own.
func answer(batch *wire.Batch, instances map[int]stepper, w *wire.Writer) error {
	var order []int
	pending := map[int][]decide.Event{}
	flush := func(agent int) error {
		events := pending[agent]
		if len(events) == 0 {
			return nil
		}
		pending[agent] = nil
		actions, fault := step(instances[agent], batch.Now, events)
		if fault != "" {
			w.InstanceFailed(agent, fault)
			return nil
		}
		return w.Actions(agent, actions)
	}
	for _, e := range batch.Events {
		if _, seen := pending[e.Agent]; !seen {
			order = append(order, e.Agent)
			pending[e.Agent] = nil
		}
		switch {
		case e.Open != nil:
			if err := flush(e.Agent); err != nil {
				return err
			}
			b, err := decide.New(e.Open.Settings, e.Open.Seed)
			if err != nil {
				return fmt.Errorf("line %d: OpenInstance: %w", e.Line, err)
			}
			instances[e.Agent] = b
		case instances[e.Agent] == nil:
			return fmt.Errorf("line %d: instance %d is not open", e.Line, e.Agent)
		case e.Retire:
			pending[e.Agent] = nil // the instance is killed, so its preceding events in this batch are dropped
			delete(instances, e.Agent)
		default:
			pending[e.Agent] = append(pending[e.Agent], e.Event)
		}
	}
	for _, agent := range order {
		if err := flush(agent); err != nil {
			return err
		}
	}
	return nil
}

// step calls b.Step and returns the text of a panic in it as fault.
func step(b stepper, now time.Duration, events []decide.Event) (acts []decide.Action, fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprint("panic: ", p)
		}
	}()
	return b.Step(now, events), ""
}
