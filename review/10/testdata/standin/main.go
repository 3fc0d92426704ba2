// Command standin plays the outside of a daemon for the script of this case: the list service, four form servers and
// clients, by the operators' protocol page, and a name server with their SRV records. Everything is on loopback.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"vetchhaven/internal/standin/dns"
)

// afterTold is how long after the daemon is ready the list counts as told (6 s at the latest), and the grace (2 s), with
// the 50 ms by which each time limit is longer on sockets.
const afterTold = 6*time.Second + 2*time.Second + 50*time.Millisecond

type world struct {
	start   time.Time
	removed string // file that the script makes when s-3 leaves the list
	ready   string // file that the script makes when the daemon is ready after that
	entries []map[string]any

	mu     sync.Mutex
	lines  []string
	counts map[string]int // requests after the list counts as told, by server
	all    map[string]int
}

func main() {
	list := flag.String("list", "", "address of the list service")
	agent := flag.String("agent", "", "address of the agent")
	removed := flag.String("removed", "", "file that the script makes when s-3 leaves the list")
	ready := flag.String("ready", "", "file that the script makes when the daemon is ready after that")
	until := flag.String("until", "", "file that the script makes at the end")
	resolver := flag.String("resolver", "", "file for the address of the name server")
	record := flag.String("record", "", "file for the record")
	ports := flag.Int("ports", 0, "print so many free ports, and end")
	health := flag.String("health", "", "wait until GET /_health at this address answers 200, and end")
	flag.Parse()
	switch {
	case *ports > 0:
		printPorts(*ports)
		return
	case *health != "":
		os.Exit(awaitHealth(*health))
	}
	w := &world{start: time.Now(), removed: *removed, ready: *ready, counts: map[string]int{}, all: map[string]int{}}
	names, err := dns.New()
	check(err)
	var records []string
	for n := range 4 {
		ln := listen("127.0.0.1:0")
		id := fmt.Sprintf("s-%d", n)
		w.entries = append(w.entries, map[string]any{"id": id, "addr": ln.Addr().String(), "zone": "kathmandu", "kind": "new-3core", "cell": 1,
			"state": "ready", "weight": 1.0, "started_ms": 0})
		records = append(records, fmt.Sprintf("_form._tcp.example.org. 30 IN SRV 0 0 %d %s.example.org.", ln.Addr().(*net.TCPAddr).Port, id))
		check(names.Set(id+".example.org", "A", id+".example.org. 30 IN A 127.0.0.1"))
		go func() {
			_ = http.Serve(ln, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serveForm(id, rw, r) }))
		}()
	}
	check(names.Set("_form._tcp.example.org", "SRV", records...))
	check(os.WriteFile(*resolver, []byte(names.Addr()), 0o644))
	ln := listen(*list)
	go func() { _ = http.Serve(ln, http.HandlerFunc(w.serveList)) }()
	for !exists(*until) {
		go w.request(*agent)
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(30*time.Millisecond)))
	}
	time.Sleep(time.Second)
	os.Exit(w.report(*record))
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func listen(addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return ln
}

// printPorts prints free ports below those that the system gives to others in the meantime.
func printPorts(n int) {
	const first, last = 12000, 30000
	for found := 0; found < n; {
		port := first + rand.IntN(last-first)
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			defer ln.Close()
			fmt.Println(port)
			found++
		}
	}
}

func awaitHealth(addr string) int {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/_health"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return 0
			}
		}
	}
	return 2
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%.3fs ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// serveList answers with the whole list, and tells a watch when s-3 is gone.
func (w *world) serveList(rw http.ResponseWriter, r *http.Request) {
	gone := exists(w.removed)
	servers := w.entries
	version := 1
	if gone {
		servers, version = w.entries[:3], 2
	}
	w.note("list: a call for %s is answered with the whole list of %d servers", r.URL, len(servers))
	_ = json.NewEncoder(rw).Encode(map[string]any{"version": version, "full": true, "servers": servers})
	for last := time.Now(); r.URL.Query().Get("follow") == "1" && http.NewResponseController(rw).Flush() == nil; {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
		switch {
		case !gone && exists(w.removed):
			gone = true
			e := maps.Clone(w.entries[3])
			e["state"] = "gone"
			w.note("list: a watch is told that s-3 is gone")
			_ = json.NewEncoder(rw).Encode(map[string]any{"version": 2, "full": false, "servers": []any{e}})
		case time.Since(last) > 2*time.Second:
			last = time.Now()
			_, _ = rw.Write([]byte("\n"))
		}
	}
}

func (w *world) serveForm(id string, rw http.ResponseWriter, r *http.Request) {
	trace := r.Header.Get("X-Trace-Id")
	if trace == "" {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	told := false
	if info, err := os.Stat(w.ready); err == nil {
		told = time.Since(info.ModTime()) > afterTold
	}
	w.mu.Lock()
	w.all[id]++
	if told {
		w.counts[id]++
	}
	w.mu.Unlock()
	if told && id == "s-3" {
		w.note("server s-3, which is gone by the whole list, gets request %s", trace)
	}
	time.Sleep(40 * time.Millisecond)
	_, _ = rw.Write([]byte(trace))
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

func (w *world) request(agent string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+agent+"/form-fetch", nil)
	if err != nil {
		return
	}
	req.Header.Set("X-Trace-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("X-Expires-In", "3")
	resp, err := client.Do(req)
	end := "no answer"
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		end = fmt.Sprint(resp.StatusCode)
	}
	w.mu.Lock()
	w.all["answer "+end]++
	w.mu.Unlock()
}

// report writes the record, and returns 1 if the server that is gone got requests.
func (w *world) report(path string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	summary := fmt.Sprintf("requests since the list counts as told, with the grace, by server: %v; all: %v", w.counts, w.all)
	fmt.Println(summary)
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return 2
	}
	_, _ = file.WriteString(strings.Join(append(slices.Clone(w.lines), summary), "\n") + "\n")
	_ = file.Close()
	switch {
	case w.counts["s-0"]+w.counts["s-1"]+w.counts["s-2"] < 30 || w.all["s-3"] == 0:
		return 2
	case w.counts["s-3"] > 0:
		return 1
	}
	return 0
}
