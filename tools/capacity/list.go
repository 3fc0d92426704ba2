package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/decide"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/tools/capacity/slopes"
)

// Target size and bound with which the list is compared: see docs/capacity/size.toml.
const (
	agents         = 12000
	restartsPerDay = 710
	budget         = 11000 // bytes per second for an agent's control traffic
	secondsOfDay   = 86400
)

// listedServer returns a server as the list service encodes it.
func listedServer(i int, state string) discovery.Server {
	return discovery.Server{ID: fmt.Sprintf("s%03d-%05d", i%990, i), Addr: fmt.Sprintf("10.%d.%d.%d:%d", i>>16&255, i>>8&255, i&255, 20000+i%1000),
		Zone: fmt.Sprintf("zone-%02d", i%15), Kind: "standard", Cell: new(i % 150), State: state, Weight: 1, Started: 1764633600000 + int64(i)}
}

// encodedList returns the encoded list of n servers, as it is sent.
func encodedList(n int) ([]byte, error) {
	m := discovery.Update{Version: 1, Full: true}
	for i := range n {
		m.Servers = append(m.Servers, listedServer(i, "ready"))
	}
	data, err := json.Marshal(&m)
	return append(data, '\n'), err
}

// restartBytes returns the number of bytes that each agent receives for one restart of a server: its entry with the
// states draining, gone and ready.
func restartBytes() (size int, err error) {
	for i, state := range []string{"draining", "gone", "ready"} {
		data, err := json.Marshal(&discovery.Update{Version: int64(100000 + i), Servers: []discovery.Server{listedServer(11999, state)}})
		if err != nil {
			return 0, err
		}
		size += len(data) + 1
	}
	return size, nil
}

// listCost is the cost of a complete list for the agent that reads it.
type listCost struct {
	decode, take time.Duration // decoding the JSON; the module's step that applies the list
	memory       float64       // heap that stays in use, in bytes
	step         time.Duration // the module's time for a request and its outcome
}

func readList(data []byte, requests int) (*listCost, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var r listCost
	var decodes, takes []time.Duration
	var lb *decide.Balancer
	var m *discovery.Update
	heap := func() float64 {
		runtime.GC()
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	}
	before := 0.0
	for range 5 {
		lb, m = nil, nil
		before = heap()
		began := threadTime()
		m = &discovery.Update{}
		if err := json.NewDecoder(bytes.NewReader(data)).Decode(m); err != nil {
			return nil, err
		}
		decodes = append(decodes, threadTime()-began)
		list := decide.ListUpdate{Kind: decide.ListFull}
		for _, s := range m.Servers {
			list.Backends = append(list.Backends, decide.Backend{ID: s.ID, Zone: *s.Cell % 15, Cell: *s.Cell})
		}
		var err error
		lb, err = decide.New(decide.Settings{Balancers: 1, MaxAttempts: 3, SlowStartTime: 8600 * time.Millisecond, SlowStartShare: 0.31, OverloadMultiple: 2.5,
			OverloadWindow: time.Second, GoalOverall: 1, Classes: []decide.Class{{Objective: 600 * time.Millisecond, Deadline: 3 * time.Second, Value: 1}}}, 1)
		if err != nil {
			return nil, err
		}
		began = threadTime()
		lb.Step(time.Hour, []decide.Event{list})
		takes = append(takes, threadTime()-began)
	}
	r.memory = heap() - before
	runtime.KeepAlive(m)
	now := time.Hour
	play := func(i int) {
		id := fmt.Sprint("q", i)
		for _, a := range lb.Step(now, []decide.Event{decide.Request{ID: id, Remaining: 3 * time.Second}}) {
			if s, ok := a.(decide.Send); ok {
				now += 2 * time.Millisecond
				lb.Step(now, []decide.Event{decide.Outcome{Request: id, Backend: s.Backend, Latency: 2 * time.Millisecond, Answered: true}})
			}
		}
	}
	for i := range requests / 10 {
		play(-i)
	}
	var each []time.Duration
	for range 5 {
		began := threadTime()
		for i := range requests {
			play(i)
		}
		each = append(each, (threadTime()-began)/time.Duration(requests))
	}
	for _, all := range [][]time.Duration{decodes, takes, each} {
		slices.Sort(all)
	}
	r.decode, r.take, r.step = decodes[2], takes[2], each[2]
	return &r, nil
}

// listCommand measures the cost of the list of servers, for agents and for the list service.
func listCommand() *cobra.Command {
	var f plainFlags
	c := &cobra.Command{Use: "list", Short: "The cost of the list of servers, by their number", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b, out := f.book("go run ./tools/capacity list"), f.table(c)
			delta, err := restartBytes()
			if err != nil {
				return err
			}
			out.head("servers", "bytes of the list", "at 11 KB/s", "all agents at once", "read", "taken", "memory", "a request", "against the first")
			var first time.Duration
			for _, n := range f.sizes {
				data, err := encodedList(n)
				if err != nil {
					return err
				}
				r, err := readList(data, 100000)
				if err != nil {
					return err
				}
				if first == 0 {
					first = r.step
				}
				size, x := float64(len(data)), float64(n)
				out.row(n, len(data), fmt.Sprintf("%.1f s", size/budget), fmt.Sprintf("%.2f GB", size*x/1e9), r.decode, r.take, fmt.Sprintf("%.0f", r.memory), r.step, fmt.Sprintf("%.2f", float64(r.step)/float64(first)))
				e := func(name, role, load, quantity, unit, form, note string, value float64) {
					b.addPoint(slopes.Slope{Name: name, Role: role, Load: load, Quantity: quantity, Unit: unit, Mechanism: "list", Variable: "servers", Form: form, Command: b.command, Note: note}, x, value)
				}
				e("list.size", "source", "rest", "list_size", "B", "linear", "the whole list as JSON", size)
				e("list.bytes_in.day", "agent", "day", "bytes_in", "B/s", "linear", fmt.Sprintf("worked out: %d restarts a day of %d, each told to all in three lines (%d bytes), and the whole list to who restarts", restartsPerDay, agents, delta),
					(float64(delta)*restartsPerDay*x/agents+size*restartsPerDay/agents)/secondsOfDay)
				e("list.bytes_in.worst", "agent", "worst", "bytes_in", "B/s", "linear", "worked out: the whole list within a minute", size/60)
				e("list.time.worst", "agent", "worst", "time_list", "s", "linear", "worked out: the whole list at 11 KB a second, after each restart", size/budget)
				e("list.bytes_out.day", "source", "day", "bytes_out", "B/s", "power", "worked out: the day's restarts, told to all agents, and the whole list to each that restarts",
					(float64(delta)*restartsPerDay*x/agents*x+size*restartsPerDay*x/agents)/secondsOfDay)
				e("list.bytes_out.zone", "source", "worst", "bytes_out", "B/s", "power", "worked out: a zone comes back, one agent in fifteen, each has the whole list within a minute", size*x/15/60)
				e("list.bytes_out.release", "source", "worst", "bytes_out", "B/s", "power", "worked out: all agents after a release, each has the whole list within a minute", size*x/60)
				e("list.read", "agent", "worst", "time_read", "ms", "linear", "processor time to read the JSON and have the module take it, at each start", float64(r.decode+r.take)/1e6)
				e("list.memory", "agent", "rest", "memory", "B", "linear", "heap of the list and of the module with it", r.memory)
				e("list.state", "agent", "rest", "state", "B", "linear", "the list", size)
				e("list.step", "path", "rest", "step_time", "us", "constant", "processor time of the module for a request and its outcome", float64(r.step)/1e3)
			}
			return f.end(c, &b)
		}}
	f.add(c, "servers", 12, 120, 1200, 12000)
	return c
}
