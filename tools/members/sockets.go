package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	mdns "github.com/miekg/dns"

	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/internal/standin/dns"
	"vetchhaven/tools/measure"
)

const (
	formServerCount = 8
	dedupWindow     = 12 * time.Second // deduplication window of a pod for a ward-close
	grace           = 2 * time.Second
	publishLate     = 15 * time.Second
	closesPerSecond = 40
)

// formServer is a stand-in server on a port of its own, which it keeps when it restarts.
type formServer struct {
	id, addr string
	pod      int
	ledger   *ledger

	mu        sync.Mutex
	server    *http.Server
	announced time.Time // when the list announced that the server drains or is removed; zero: not announced
	started   int64     // start time in Unix ms; 0: long ago
}

// ledger records the operations that ran on all servers, by their way: through the agent or from the plain client.
type ledger struct {
	mu      sync.Mutex
	seen    map[string]time.Time // by pod, way and key: when the pod first saw the key
	effects map[string]int       // by way and key: how often the operation ran
	late    map[string]int       // by way: number of arrivals later than grace after a drain was announced
	rng     *rand.Rand
}

// open listens on the server's earlier address if it has one, and serves.
func (o *formServer) open() error {
	at := o.addr
	if at == "" {
		at = "127.0.0.1:0"
	}
	var ln net.Listener
	var err error
	for range 50 { // the port may still be in use for a short time
		if ln, err = net.Listen("tcp", at); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addr, o.announced = ln.Addr().String(), time.Time{}
	o.server = &http.Server{Handler: o}
	go func(s *http.Server) { _ = s.Serve(ln) }(o.server)
	return nil
}

// announceRemoval records that the list announces now that the server drains or is removed.
func (o *formServer) announceRemoval() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.announced.IsZero() {
		o.announced = time.Now()
	}
}

func (o *formServer) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.server.Close()
}

func (o *formServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	way, key := r.Header.Get("X-Customer"), r.Header.Get("Idempotency-Key")
	o.mu.Lock()
	late := !o.announced.IsZero() && time.Since(o.announced) > grace
	o.mu.Unlock()
	l := o.ledger
	l.mu.Lock()
	if late {
		l.late[way]++
	}
	known := fmt.Sprint(o.pod, " ", way, " ", key)
	if at, ok := l.seen[known]; !ok || time.Since(at) >= dedupWindow {
		l.seen[known] = time.Now()
		l.effects[way+" "+key]++
	}
	lost := l.rng.IntN(50) == 0 // the operation has run, but its answer is lost
	l.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("closed\n"))
}

func (o *formServer) member(state string) discovery.Server {
	return discovery.Server{ID: o.id, Addr: o.addr, Zone: "a", Kind: "k", Cell: new(o.pod), State: state, Weight: 1, Started: o.started}
}

const twoSources = `admin = "unix:%[1]s/admin.sock"
[[source]]
name = "main"
list = "%[2]s"
srv = ["_form._tcp.example.org"]
resolvers = ["%[3]s"]
[site]
zones = ["a"]
kinds = ["k"]
[[class]]
name = "ward-close"
repeats = "keyed"
group = "pod"
window = "12s"
aim = "600ms"
deadline = "2500ms"
worth = 3.0
[[template]]
name = "i{n}"
listen = "unix:%[1]s/{n}.sock"
count = 3
`

// outcome counts the answers that clients received.
type outcome struct{ asked, served, refused, failed atomic.Int64 }

// onSockets runs servers that drain, stop and restart. It sends ward-closes through a daemon that reads a list and SRV
// records, and through a plain client that uses each answer of the resolver unchecked.
func onSockets(length time.Duration) error {
	names, err := dns.New()
	if err != nil {
		return err
	}
	defer names.Close()
	book := &ledger{seen: map[string]time.Time{}, effects: map[string]int{}, late: map[string]int{}, rng: rand.New(rand.NewPCG(1, 1))}
	var all []*formServer
	for i := range formServerCount {
		o := &formServer{id: fmt.Sprint("s-", i), pod: 1 + i%2, ledger: book}
		if err := o.open(); err != nil {
			return err
		}
		defer o.close()
		all = append(all, o)
	}
	var members []discovery.Server
	for _, o := range all {
		members = append(members, o.member("ready"))
	}
	list, err := standin.NewList("", members...)
	if err != nil {
		return err
	}
	defer list.Close()
	up := make([]bool, formServerCount)
	for i := range up {
		up[i] = true
	}
	publish := func(up []bool) {
		var records []string
		for i, o := range all {
			_, port, err := net.SplitHostPort(o.addr)
			if err == nil && up[i] {
				records = append(records, fmt.Sprintf("_form._tcp.example.org. 5 IN SRV 0 0 %s here.example.org.", port))
			}
		}
		_ = names.Set("_form._tcp.example.org", "SRV", records...)
	}
	_ = names.Set("here.example.org", "A", "here.example.org. 5 IN A 127.0.0.1")
	publish(up)
	faults := rand.New(rand.NewPCG(2, 2))
	var faultsMu sync.Mutex
	names.Script(func(_, kind, _ string) dns.Fault {
		faultsMu.Lock()
		defer faultsMu.Unlock()
		if kind != "SRV" {
			return dns.Fault{}
		}
		switch faults.IntN(16) {
		case 0:
			return dns.Fault{Rcode: mdns.RcodeServerFailure}
		case 1:
			return dns.Fault{Truncate: true, CutTCP: true}
		case 2:
			return dns.Fault{Rcode: mdns.RcodeNameError}
		case 3:
			return dns.Fault{Drop: true}
		}
		return dns.Fault{}
	})
	dir, err := os.MkdirTemp("", "members")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	_, stop, err := measure.Daemon(dir, fmt.Appendf(nil, twoSources, dir, list.Addr(), names.Addr()))
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { restartServers(ctx, all, up, list, publish) })
	plain := &trustingClient{at: names.Addr()}
	running.Go(func() { plain.run(ctx) })
	merged, theirs := &outcome{}, &outcome{}
	tick := time.NewTicker(time.Second / closesPerSecond)
	defer tick.Stop()
	var clients [3]*http.Client
	for n := range clients {
		path := fmt.Sprintf("%s/%d.sock", dir, n)
		if _, err := os.Stat(path); err != nil {
			path = fmt.Sprintf("%s/%d.sock", dir, n+1)
		}
		clients[n] = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}}}
	}
	for n := 0; ctx.Err() == nil; n++ {
		<-tick.C
		key := strconv.Itoa(n)
		running.Go(func() { closeWard(merged, clients[n%len(clients)], "http://agent/ward-close", "agent", key) })
		running.Go(func() { plain.closeWard(theirs, key) })
	}
	running.Wait()
	fmt.Printf("%v, %d servers, %d ward-closes a second each way\n\n", length, formServerCount, closesPerSecond)
	fmt.Println("| way | asked | served | refused | failed | sent over 2 s after a drain was told | ward-closes doubled | left with no server |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, row := range []struct {
		way, name string
		o         *outcome
		none      int64
	}{{"agent", "daemon on list and records", merged, -1}, {"plain", "a resolver that believes all", theirs, plain.none.Load()}} {
		doubled := 0
		book.mu.Lock()
		for key, times := range book.effects {
			if times > 1 && len(key) > len(row.way) && key[:len(row.way)] == row.way {
				doubled++
			}
		}
		late := book.late[row.way]
		book.mu.Unlock()
		none := "0 (see refused)"
		if row.none >= 0 {
			none = fmt.Sprint(row.none)
		}
		fmt.Printf("| %s | %d | %d | %d | %d | %d | %d | %s |\n", row.name, row.o.asked.Load(), row.o.served.Load(), row.o.refused.Load(),
			row.o.failed.Load(), late, doubled, none)
	}
	return nil
}

// restartServers makes one server after another drain, stop 4 s later, and restart cold 8 s after that. The DNS
// records follow with a delay.
func restartServers(ctx context.Context, all []*formServer, up []bool, list *standin.List, publish func([]bool)) {
	wait := func(d time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(d):
			return true
		}
	}
	later := func() {
		now := append([]bool(nil), up...)
		time.AfterFunc(publishLate, func() {
			if ctx.Err() == nil {
				publish(now)
			}
		})
	}
	for n := 0; wait(3 * time.Second); n++ {
		i := (n * 3) % len(all)
		o := all[i]
		o.announceRemoval()
		list.Set(o.member("draining"))
		up[i] = false
		later()
		if !wait(4 * time.Second) {
			return
		}
		list.Set(o.member("gone"))
		o.close()
		if !wait(8 * time.Second) {
			return
		}
		o.started = time.Now().UnixMilli()
		if err := o.open(); err != nil {
			fmt.Fprintln(os.Stderr, "members:", err)
			return
		}
		up[i] = true
		list.Set(o.member("ready"))
		later()
	}
}

// closeWard sends one ward-close and counts its outcome. It returns the status code; 0: there was no answer.
func closeWard(o *outcome, c *http.Client, url, way, key string) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("ward")))
	if err != nil {
		o.failed.Add(1)
		return 0
	}
	req.Header.Set("X-Trace-Id", way+key+"-"+strconv.FormatUint(rand.Uint64(), 16))
	req.Header.Set("X-Customer", way)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Expires-In", "2.400")
	o.asked.Add(1)
	resp, err := c.Do(req)
	if err != nil {
		o.failed.Add(1)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		o.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		o.refused.Add(1)
	default:
		o.failed.Add(1)
	}
	return resp.StatusCode
}

// trustingClient resolves the name every 5 s and sends to any server in the latest answer, which it does not check. A
// request that fails is retried once on any server.
type trustingClient struct {
	at   string
	mu   sync.Mutex
	now  []string
	none atomic.Int64 // seconds without any server
}

func (b *trustingClient) run(ctx context.Context) {
	c := &mdns.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		q := new(mdns.Msg).SetQuestion("_form._tcp.example.org.", mdns.TypeSRV)
		r, _, err := c.ExchangeContext(ctx, q, b.at)
		var found []string
		if err == nil {
			for _, a := range r.Answer {
				if s, ok := a.(*mdns.SRV); ok {
					found = append(found, fmt.Sprintf("127.0.0.1:%d", s.Port))
				}
			}
		}
		b.mu.Lock()
		b.now = found
		b.mu.Unlock()
		for range 5 {
			if len(found) == 0 {
				b.none.Add(1)
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Second):
			}
		}
	}
}

func (b *trustingClient) any() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.now) == 0 {
		return "", errors.New("the resolver has no server")
	}
	return b.now[rand.IntN(len(b.now))], nil
}

func (b *trustingClient) closeWard(o *outcome, key string) {
	c := &http.Client{}
	for try := range 2 {
		to, err := b.any()
		if err != nil {
			o.asked.Add(1)
			o.failed.Add(1)
			return
		}
		if try > 0 {
			o.asked.Add(-1)
			o.failed.Add(-1)
		}
		if closeWard(o, c, "http://"+to+"/ward-close", "plain", key) == http.StatusOK {
			return
		}
	}
}
