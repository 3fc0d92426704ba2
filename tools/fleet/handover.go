package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/simulate/model/sockets"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin"
	"vetchhaven/tools/measure"
)

// handover runs a real daemon under 500 requests per second and hands it over three times, at intervals of a second.
func handover() error {
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := buildDaemon(dir)
	if err != nil {
		return err
	}
	var servers []discovery.Server
	for i := range 8 {
		f := standin.NewFormServer(fmt.Sprint("s-", i), func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond) // service time of a stand-in server
			_, _ = io.WriteString(w, "done")
		})
		defer f.Close()
		servers = append(servers, f.Member("ready"))
	}
	list, err := standin.NewList("", servers...)
	if err != nil {
		return err
	}
	defer list.Close()
	path := filepath.Join(dir, "fleet.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, configText, dir, list.Addr(), 3), 0o600); err != nil {
		return err
	}
	log := &sockets.Tail{}
	cmd := exec.Command(bin, "serve", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() { _ = cmd.Wait() }()
	admin := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, "admin.sock"))
	}, DisableKeepAlives: true}}
	if err := await(func() bool { return healthy(admin) }); err != nil {
		return fmt.Errorf("the daemon did not become ready\n%s", log)
	}
	defer func() { // after the handovers, the serving process is not cmd
		stopLast(admin)
	}()
	type one struct {
		at, took        time.Duration
		served, refused bool
	}
	var mu sync.Mutex
	var all []one
	var asking sync.WaitGroup
	const rate, length = 500, 16 * time.Second
	clients := make([]*http.Client, 3)
	for i := range clients {
		clients[i] = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 200,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "unix", filepath.Join(dir, fmt.Sprint(i, ".sock")))
			}}}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	began := time.Now()
	done := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(began.Add(8 * time.Second)))
		for range 3 {
			out, err := exec.Command(bin, "handover", "--config", path).CombinedOutput()
			if err != nil {
				done <- fmt.Errorf("handover: %w\n%s", err, out)
				return
			}
			time.Sleep(time.Second)
		}
		done <- nil
	}()
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / rate) {
		time.Sleep(time.Until(began.Add(at)))
		id := fmt.Sprintf("%d-%d", at, rng.Uint64())
		c := clients[rng.IntN(len(clients))]
		asking.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://x/get", nil)
			if err != nil {
				return
			}
			req.Header["X-Trace-Id"] = []string{id}
			o := one{at: at}
			start := time.Now()
			resp, err := c.Do(req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				o.served, o.refused = err == nil && resp.StatusCode == 200, resp.StatusCode == 503
			}
			o.took = time.Since(start)
			mu.Lock()
			all = append(all, o)
			mu.Unlock()
		})
	}
	asking.Wait()
	if err := <-done; err != nil {
		return err
	}
	fmt.Println("| seconds | asked | served | refused | failed or lost | p50 | p99 | most |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, w := range []struct {
		name     string
		from, to time.Duration
	}{{"2 to 8, before", 2 * time.Second, 8 * time.Second}, {"8 to 11.5, three handovers", 8 * time.Second, 11500 * time.Millisecond},
		{"11.5 to 16, after", 11500 * time.Millisecond, length}} {
		var took []time.Duration
		n, served, refused := 0, 0, 0
		for _, o := range all {
			if o.at < w.from || o.at >= w.to {
				continue
			}
			n++
			if o.served {
				served++
				took = append(took, o.took)
			}
			if o.refused {
				refused++
			}
		}
		slices.Sort(took)
		fmt.Printf("| %s | %d | %d | %d | %d | %.1f ms | %.1f ms | %.1f ms |\n", w.name, n, served, refused, n-served-refused,
			measure.At(took, 0.5), measure.At(took, 0.99), measure.At(took, 1))
	}
	return nil
}

func healthy(admin *http.Client) bool {
	resp, err := admin.Get("http://x/_health")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func await(f func() bool) error {
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return errors.New("the condition is not met within 20 s")
}

// stopLast ends the process that serves the admin socket.
func stopLast(admin *http.Client) {
	resp, err := admin.Get("http://x/status")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var st daemon.Status
	if json.NewDecoder(resp.Body).Decode(&st) == nil && st.PID > 1 {
		_ = syscall.Kill(st.PID, syscall.SIGTERM)
	}
}
