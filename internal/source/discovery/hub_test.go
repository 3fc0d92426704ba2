package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

var quiet = slog.New(slog.DiscardHandler)

// recorder records the updates that a subscriber receives, and their times.
type recorder struct {
	mu      sync.Mutex
	updates []string
	times   []time.Time
}

func (r *recorder) record(m *Update) {
	var ids []string
	for _, s := range m.Servers {
		ids = append(ids, s.ID+":"+s.State)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates = append(r.updates, fmt.Sprint(map[bool]string{true: "full ", false: ""}[m.Full], strings.Join(ids, ",")))
	r.times = append(r.times, time.Now())
}

func (r *recorder) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.updates)
}

func up(id string) Server { return Server{ID: id, Addr: "127.0.0.1:1", State: "ready"} }

func state(id, state string) Server {
	m := up(id)
	m.State = state
	return m
}

// Subscribers are notified of a server that comes up after their own delay, and of a draining or removed server at
// once, after all updates queued before.
func TestSubscribersAreNotifiedAtTheirOwnTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub(HubOptions{Addr: "127.0.0.1:1", Spread: 300 * time.Millisecond, Log: quiet})
		h.apply(&Update{Version: 1, Full: true, Servers: []Server{up("a")}}, 1)
		subscribers := make([]*recorder, 50)
		for i := range subscribers {
			subscribers[i] = &recorder{}
			defer h.Subscribe(subscribers[i].record)()
		}
		began := time.Now()
		time.Sleep(time.Second)
		synctest.Wait()
		late := 0
		for _, r := range subscribers {
			if got := r.list(); len(got) != 1 || got[0] != "full a:ready" {
				t.Fatalf("%q", got)
			}
			if r.times[0].Sub(began) > 100*time.Millisecond {
				late++
			}
		}
		if late < 20 || late > 45 {
			t.Errorf("%d of 50 subscribers notified after more than a third of the spread", late)
		}
		h.apply(&Update{Version: 2, Servers: []Server{up("b")}}, 2)
		time.Sleep(10 * time.Millisecond)
		h.apply(&Update{Version: 3, Servers: []Server{state("a", "draining")}}, 3)
		synctest.Wait() // no time passes
		for _, r := range subscribers {
			if got := r.list(); len(got) != 3 || got[1] != "b:ready" || got[2] != "a:draining" {
				t.Fatalf("%q", got)
			}
		}
		// A snapshot that lacks a server removes it, so subscribers are notified at once too.
		h.apply(&Update{Version: 4, Full: true, Servers: []Server{up("b")}}, 4)
		synctest.Wait()
		if got := subscribers[7].list(); len(got) != 4 || got[3] != "full b:ready" {
			t.Errorf("%q", got)
		}
	})
}

func TestUnsubscribedSubscriberGetsNoUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub(HubOptions{Spread: time.Second, Log: quiet})
		r := &recorder{}
		unsubscribe := h.Subscribe(r.record)
		h.apply(&Update{Version: 1, Full: true, Servers: []Server{up("a")}}, 1)
		unsubscribe()
		h.apply(&Update{Version: 2, Servers: []Server{state("a", "gone")}}, 2)
		time.Sleep(5 * time.Second)
		if got := r.list(); len(got) > 0 {
			t.Errorf("%q", got)
		}
	})
}

// A subscriber that blocks neither delays the others nor misses an update.
func TestSlowSubscriberNeitherDelaysOthersNorMissesUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub(HubOptions{Log: quiet})
		slow, quick := &recorder{}, &recorder{}
		block := make(chan struct{})
		defer h.Subscribe(func(m *Update) { <-block; slow.record(m) })()
		defer h.Subscribe(quick.record)()
		for i := range 100 {
			h.apply(&Update{Version: int64(i), Servers: []Server{up(fmt.Sprint(i))}}, int64(i))
		}
		synctest.Wait()
		if n := len(quick.list()); n != 100 {
			t.Errorf("the quick subscriber received %d of 100 updates", n)
		}
		close(block)
		synctest.Wait()
		if got := slow.list(); len(got) != 100 || got[99] != "99:ready" {
			t.Errorf("%d", len(got))
		}
	})
}

// One watch serves all subscribers, and the next watch resumes from the last version received.
func TestHubResumesFromItsVersion(t *testing.T) {
	defer goleak.VerifyNone(t)
	since := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := r.URL.Query().Get("since")
		since <- s
		m := Update{Version: 7, Full: true, Servers: []Server{up("a")}}
		if s == "7" {
			m = Update{Version: 8, Servers: []Server{up("b")}}
		}
		_ = json.NewEncoder(w).Encode(m)
		if s == "7" {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	h := NewHub(HubOptions{Addr: strings.TrimPrefix(server.URL, "http://"), ConnectTimeout: 10 * time.Second, HeartbeatTimeout: time.Minute, Log: quiet})
	h.Restore(&Update{Version: 99, Servers: []Server{up("old")}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	received := make(chan string, 100)
	defer h.Subscribe(func(m *Update) {
		r := &recorder{}
		r.record(m)
		received <- r.updates[0]
	})()
	running.Go(func() { h.Run(ctx) }) // after Subscribe, so that the subscriber does not miss the restored list
	want := []string{"full old:ready", "full a:ready", "b:ready"}
	for _, w := range want {
		select {
		case got := <-received:
			if got != w {
				t.Errorf("%q, want %q", got, w)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("update %q not received", w)
		}
	}
	if a, b := <-since, <-since; a != "0" || b != "7" {
		t.Errorf("requested since %s, then %s, want 0, then 7: a restored list's version does not count", a, b)
	}
	if m := h.Snapshot(); len(m.Servers) != 2 || m.Version != 8 {
		t.Errorf("%+v", m)
	}
	cancel()
	running.Wait()
}

// A hub remembers the servers that the list has removed, by a change or by a snapshot without them, until the list names
// them again. It remembers no more than the last of them.
func TestHubRemembersRemovedServers(t *testing.T) {
	h := NewHub(HubOptions{Log: quiet})
	removed := func() (ids []string) {
		for _, server := range h.Removed() {
			ids = append(ids, server.ID)
		}
		return ids
	}
	for _, step := range []struct {
		update Update
		want   string
	}{
		{Update{Full: true, Servers: []Server{up("a"), up("b"), up("c")}}, "[]"},
		{Update{Servers: []Server{state("b", "gone")}}, "[b]"},
		{Update{Full: true, Servers: []Server{up("c")}}, "[b a]"},
		{Update{Servers: []Server{state("b", "draining")}}, "[a]"},
		{Update{Full: true}, "[a b c]"},
		{Update{Servers: []Server{state("a", "gone"), up("c")}}, "[b a]"},
	} {
		h.Apply(&step.update)
		if got := fmt.Sprint(removed()); got != step.want {
			t.Errorf("after %+v: %s, want %s", step.update, got, step.want)
		}
	}
	for i := range maxRemovedServers + 1 {
		h.Apply(&Update{Servers: []Server{state(fmt.Sprint(i), "gone")}})
	}
	if got := removed(); len(got) != maxRemovedServers || got[0] != "1" {
		t.Errorf("%d servers, the first is %s", len(got), got[0])
	}
}

// A removal is forgotten after removedRetention, over restarts too: the server's address may be another's by then.
func TestHubForgetsRemovalsOfLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHub(HubOptions{Log: quiet})
		h.Apply(&Update{Full: true, Servers: []Server{up("a"), up("b")}})
		h.Apply(&Update{Servers: []Server{state("a", "gone")}})
		time.Sleep(removedRetention - time.Minute)
		h.Apply(&Update{Servers: []Server{state("b", "gone")}})
		next := NewHub(HubOptions{Log: quiet})
		next.RestoreRemoved(h.Removed())
		if got := next.Removed(); len(got) != 2 || got[0].ID != "a" || got[0].Age != removedRetention-time.Minute {
			t.Errorf("%+v", got)
		}
		time.Sleep(2 * time.Minute)
		if got := next.Removed(); len(got) != 1 || got[0].ID != "b" {
			t.Errorf("%+v", got)
		}
	})
}
