// Command directory measures the agent in front of directory servers (LDAP). It prints Markdown.
//
//	go run ./tools/directory storm          5 servers, one killed mid-operation every 100 ms
//	go run ./tools/directory stall          searches while one of 5 servers stalls, compared with round robin
//	go run ./tools/directory cost           cost and latency of an operation: direct, bare relay, this agent
//	go run ./tools/directory idle           memory of 1,000 idle client connections
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vetchhaven/internal/protocol/ldapmsg"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/tools/measure"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "directory:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) < 1 {
		return errors.New("missing command: storm, stall, cost or idle")
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	seconds := f.Int("seconds", 5, "seconds of each run")
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	length := time.Duration(*seconds) * time.Second
	switch args[0] {
	case "storm":
		return storm()
	case "stall":
		return stall(length)
	case "cost":
		return cost(length)
	case "idle":
		return idle()
	}
	return fmt.Errorf("%q is not one of storm, stall, cost, idle", args[0])
}

const config = `admin = "unix:%[1]s/admin.sock"
[[source]]
name = "main"
list = "%[2]s"
first = "1ms"
[site]
zones = ["a"]
kinds = ["k"]
[rules]
max_retry_after = "1s"
connect_timeout = "250ms"
idle_close = "30s"
[[class]]
name = "search"
repeats = "safe"
aim = "600ms"
deadline = "3s"
worth = 1.0
[[class]]
name = "modify"
aim = "600ms"
deadline = "3s"
worth = 3.0
[[instance]]
name = "ward"
protocol = "ldap"
listen = "unix:%[1]s/ward.sock"
`

// site is a set of directory servers with an agent in front of them.
type site struct {
	dir  string
	all  []*directory.Directory
	list *standin.List
	end  func()
}

func newSite(n int) (*site, error) {
	dir, err := os.MkdirTemp("", "directory")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir}
	var members []discovery.Server
	for i := range n {
		d, err := directory.New(fmt.Sprint("d-", i), directory.Options{})
		if err != nil {
			return nil, err
		}
		for k := range 20 {
			d.Add(fmt.Sprintf("cn=%d,dc=ward", k), map[string][]string{"cn": {fmt.Sprint(k)}, "signed": {"yes"}, "by": {"supervisor of the ward"}})
		}
		s.all = append(s.all, d)
		members = append(members, d.Member("ready"))
	}
	if s.list, err = standin.NewList("", members...); err != nil {
		return nil, err
	}
	_, stop, err := measure.Daemon(dir, fmt.Appendf(nil, config, dir, s.list.Addr()))
	if err != nil {
		return nil, err
	}
	s.end = func() {
		stop()
		s.list.Close()
		for _, d := range s.all {
			d.Close()
		}
		_ = os.RemoveAll(dir)
	}
	return s, nil
}

func (s *site) script(f func(directory.Op) directory.Fault) {
	for _, d := range s.all {
		d.Script(f)
	}
}

func (s *site) agent() (net.Conn, error) { return net.Dial("unix", filepath.Join(s.dir, "ward.sock")) }

// conn is a client's connection, with one operation in flight at a time.
type conn struct {
	net.Conn
	in *ldapmsg.Reader
	id int32
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, in: ldapmsg.NewReader(c, 1<<20)} }

func element(tag byte, parts ...[]byte) []byte {
	b := bytes.Join(parts, nil)
	return append([]byte{tag, byte(len(b))}, b...)
}

func searchOf(id int32, base string, scope byte) []byte {
	return ldapmsg.WithID(id, element(ldapmsg.SearchRequest, element(4, []byte(base)), []byte{10, 1, scope, 10, 1, 0, 2, 1, 0, 2, 1, 0, 1, 1, 0},
		element(0x87, []byte("objectClass")), []byte{0x30, 0}))
}

func modifyOf(id int32, dn, value string) []byte {
	change := element(0x30, []byte{10, 1, 2}, element(0x30, element(4, []byte("d")), element(0x31, element(4, []byte(value)))))
	return ldapmsg.WithID(id, element(ldapmsg.ModifyRequest, element(4, []byte(dn)), element(0x30, change)))
}

var errWrongAnswer = errors.New("answer to another operation")

// ask sends one operation, reads its answer to the end, and returns the result code.
func (c *conn) ask(text func(id int32) []byte, within time.Duration) (code int, err error) {
	c.id++
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return 0, err
	}
	if _, err := c.Write(text(c.id)); err != nil {
		return 0, err
	}
	for {
		raw, err := c.in.Next()
		if err != nil {
			return 0, err
		}
		m, err := ldapmsg.Parse(raw)
		if err != nil {
			return 0, err
		}
		if m.ID != c.id {
			return 0, fmt.Errorf("%w: id %d for %d", errWrongAnswer, m.ID, c.id)
		}
		if m.Op == ldapmsg.SearchEntry {
			continue
		}
		code, _ = m.Code()
		return code, nil
	}
}

// storm kills a random server every 100 ms while clients send operations, and counts lost, repeated and wrong answers.
func storm() error {
	s, err := newSite(5)
	if err != nil {
		return err
	}
	defer s.end()
	s.script(func(o directory.Op) directory.Fault {
		return directory.Fault{Wait: time.Duration(1+o.N%8) * time.Millisecond}
	})
	const clients, each = 200, 100
	var lost, wrongAnswers, none atomic.Int64
	var mu sync.Mutex
	codes := map[string]map[int]int{"lookup": {}, "search": {}, "modify": {}}
	refusedModifies := map[string]bool{}
	var all sync.WaitGroup
	stop := make(chan struct{})
	kills := 0
	var killer sync.WaitGroup
	killer.Go(func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				s.all[rand.IntN(len(s.all))].Kill()
				kills++
			case <-stop:
				return
			}
		}
	})
	began := time.Now()
	for n := range clients {
		nc, err := s.agent()
		if err != nil {
			return err
		}
		defer nc.Close()
		c := newConn(nc)
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 7))
			for i := range each {
				kind, value := "lookup", fmt.Sprintf("%d-%d", n, i)
				text := func(id int32) []byte { return searchOf(id, "cn=1,dc=ward", 0) }
				switch rng.IntN(10) {
				case 0, 1:
					kind, text = "search", func(id int32) []byte { return searchOf(id, "dc=ward", 2) }
				case 2, 3:
					kind, text = "modify", func(id int32) []byte { return modifyOf(id, "cn=1,dc=ward", value) }
				}
				code, err := c.ask(text, 20*time.Second)
				switch {
				case errors.Is(err, errWrongAnswer):
					wrongAnswers.Add(1)
					return
				case err != nil:
					lost.Add(1)
					return
				}
				mu.Lock()
				codes[kind][code]++
				if kind == "modify" && code == ldapmsg.Busy {
					refusedModifies["modify cn=1,dc=ward "+value] = true
				}
				mu.Unlock()
			}
			// A second answer to the last operation would arrive now.
			_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := c.in.Next(); err == nil {
				wrongAnswers.Add(1)
			} else {
				none.Add(1)
			}
		})
	}
	all.Wait()
	took := time.Since(began)
	close(stop)
	killer.Wait()
	twice, ran, refusedAndRan := 0, map[string]int{}, 0
	for _, d := range s.all {
		for k, n := range d.Ran() {
			ran[k] += n
		}
	}
	for k, n := range ran {
		if n > 1 {
			twice++
		}
		if refusedModifies[k] {
			refusedAndRan++
		}
	}
	total := 0
	for _, k := range codes {
		for _, n := range k {
			total += n
		}
	}
	fmt.Printf("%d connections, %d operations in %.1f s, %d kills.\n\n", clients, clients*each, took.Seconds(), kills)
	fmt.Println("| operation | done | refused (busy) | failed (other) | time limit |\n| --- | --- | --- | --- | --- |")
	for _, k := range []string{"lookup", "search", "modify"} {
		c := codes[k]
		fmt.Printf("| %s | %d | %d | %d | %d |\n", k, c[0], c[ldapmsg.Busy], c[ldapmsg.Other], c[ldapmsg.TimeLimitExceeded])
	}
	fmt.Printf("\nOperations answered: %d of %d; lost: %d; second answers, or answers to something else: %d; effects twice: %d; refused and yet done: %d.\n",
		total, clients*each, lost.Load(), wrongAnswers.Load(), twice, refusedAndRan)
	return nil
}

// stall makes one server stop answering while its connections stay open.
func stall(length time.Duration) error {
	s, err := newSite(5)
	if err != nil {
		return err
	}
	defer s.end()
	stalled := make(chan struct{})
	defer close(stalled)
	fmt.Println("| way | searches | p50 | p99 | most | not served |\n| --- | --- | --- | --- | --- | --- |")
	for _, way := range []string{"this agent", "round robin, 600 ms and then the next"} {
		s.script(func(directory.Op) directory.Fault { return directory.Fault{Wait: 3 * time.Millisecond} })
		var turn atomic.Int64
		dial := func() (net.Conn, error) {
			if way == "this agent" {
				return s.agent()
			}
			return net.Dial("tcp", s.all[int(turn.Add(1))%len(s.all)].Addr())
		}
		var mu sync.Mutex
		var took []time.Duration
		bad := 0
		var all sync.WaitGroup
		end := time.Now().Add(length)
		time.AfterFunc(length/5, func() {
			s.all[0].Script(func(directory.Op) directory.Fault { return directory.Fault{Stall: stalled} })
		})
		for n := range 32 {
			all.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(n), 3))
				own := make([]*conn, len(s.all))
				for time.Now().Before(end) {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(64*time.Millisecond)))
					began := time.Now()
					ok := false
					for try := 0; try < 3 && !ok; try++ {
						slot := 0
						if way != "this agent" {
							slot = int(turn.Add(1)) % len(s.all)
						}
						if own[slot] == nil {
							var nc net.Conn
							var err error
							if way == "this agent" {
								nc, err = dial()
							} else {
								nc, err = net.Dial("tcp", s.all[slot].Addr())
							}
							if err != nil {
								continue
							}
							own[slot] = newConn(nc)
						}
						wait := 600 * time.Millisecond
						if way == "this agent" {
							wait = 3 * time.Second
						}
						code, err := own[slot].ask(func(id int32) []byte { return searchOf(id, "cn=2,dc=ward", 0) }, wait)
						if ok = err == nil && code == 0; err != nil {
							own[slot].Close()
							own[slot] = nil
						}
					}
					mu.Lock()
					if ok {
						took = append(took, time.Since(began))
					} else {
						bad++
					}
					mu.Unlock()
				}
				for _, c := range own {
					if c != nil {
						c.Close()
					}
				}
			})
		}
		all.Wait()
		slices.Sort(took)
		fmt.Printf("| %s | %d | %.1f ms | %.1f ms | %.1f ms | %d |\n", way, len(took), measure.At(took, 0.5), measure.At(took, 0.99), measure.At(took, 1), bad)
	}
	return nil
}

// relay copies bytes between each client and one server, chosen by round robin.
func relay(s *site) (net.Listener, error) {
	ln, err := net.Listen("unix", filepath.Join(s.dir, "relay.sock"))
	if err != nil {
		return nil, err
	}
	var turn atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				to, err := net.Dial("tcp", s.all[int(turn.Add(1))%len(s.all)].Addr())
				if err != nil {
					return
				}
				defer to.Close()
				go func() { _, _ = io.Copy(to, c); _ = to.Close() }()
				_, _ = io.Copy(c, to)
			}()
		}
	}()
	return ln, nil
}

// cost compares a direct client, a plain relay and this agent, all in this process, one after another.
func cost(length time.Duration) error {
	debug.SetGCPercent(400) // as in the command serve; all three run with the same setting
	s, err := newSite(5)
	if err != nil {
		return err
	}
	defer s.end()
	ln, err := relay(s)
	if err != nil {
		return err
	}
	defer ln.Close()
	var turn atomic.Int64
	fmt.Println("| way | 1,000 a second: p50 | p99 | CPU an operation | 32 clients at full speed: a second | CPU an operation | allocations an operation |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, w := range []struct {
		name string
		dial func() (net.Conn, error)
	}{
		{"direct", func() (net.Conn, error) { return net.Dial("tcp", s.all[int(turn.Add(1))%len(s.all)].Addr()) }},
		{"bare relay", func() (net.Conn, error) { return net.Dial("unix", filepath.Join(s.dir, "relay.sock")) }},
		{"this agent", s.agent},
	} {
		paced, c1, _, bad1, err := load(w.dial, 32, 1000, length)
		if err != nil {
			return err
		}
		full, c2, allocs, bad2, err := load(w.dial, 32, 0, length)
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %.2f ms | %.2f ms | %.0f us | %.0f | %.0f us | %.0f |", w.name, measure.At(paced, 0.5), measure.At(paced, 0.99),
			float64(c1.Microseconds())/float64(len(paced)), float64(len(full))/length.Seconds(), float64(c2.Microseconds())/float64(len(full)),
			float64(allocs)/float64(len(full)))
		if bad1+bad2 > 0 {
			fmt.Printf(" %d and %d not served", bad1, bad2)
		}
		fmt.Println()
	}
	fmt.Println("\nLookups of one entry. CPU and allocations are this whole process's: clients, servers and what is between them.")
	return nil
}

func load(dial func() (net.Conn, error), clients, rate int, length time.Duration) (took []time.Duration, used time.Duration, allocs uint64, bad int, err error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	var conns []*conn
	for range clients {
		nc, err := dial()
		if err != nil {
			return nil, 0, 0, 0, err
		}
		defer nc.Close()
		conns = append(conns, newConn(nc))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, end := measure.CPU(), time.Now().Add(length)
	for n, c := range conns {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			var own []time.Duration
			failed := 0
			for time.Now().Before(end) {
				if rate > 0 {
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) * float64(clients) / float64(rate)))
				}
				began := time.Now()
				code, err := c.ask(func(id int32) []byte { return searchOf(id, "cn=3,dc=ward", 0) }, 5*time.Second)
				if err != nil || code != 0 {
					failed++
					continue
				}
				own = append(own, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, own...)
			bad += failed
		})
	}
	all.Wait()
	used = measure.CPU() - start
	runtime.ReadMemStats(&after)
	slices.Sort(took)
	return took, used, after.Mallocs - before.Mallocs, bad, nil
}

// idle measures the memory of an idle client connection.
func idle() error {
	s, err := newSite(1)
	if err != nil {
		return err
	}
	defer s.end()
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse + m.StackInuse)
	}
	const n = 1000
	before := heap()
	var all []*conn
	for range n {
		nc, err := s.agent()
		if err != nil {
			return err
		}
		defer nc.Close()
		c := newConn(nc)
		all = append(all, c)
		if code, err := c.ask(func(id int32) []byte { return searchOf(id, "cn=3,dc=ward", 0) }, 5*time.Second); err != nil || code != 0 {
			return fmt.Errorf("search over an idle connection: result code %d, %v", code, err)
		}
	}
	after := heap()
	fmt.Printf("| idle connections | memory of one |\n| --- | --- |\n| %d | %.1f KB |\n\nBoth ends are in this process; a client's end of these takes about 1.5 KB.\n", len(all), (after-before)/n/1024)
	return nil
}
