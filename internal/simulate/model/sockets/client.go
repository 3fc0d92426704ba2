package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"vetchhaven/decide"
	"vetchhaven/internal/simulate/checker"
	"vetchhaven/internal/simulate/model"
)

// try holds the data of a client's try that the stand-in servers need to handle its request, by the request's ID.
type try struct {
	task     *model.Task
	seed     model.Seed
	try      int
	attempts int
}

// tryRetention is how long a try is kept after its end, since attempts of it may still be in transit.
const tryRetention = 20 * time.Second

// client simulates the client of one task, with all its tries.
func (g *driver) client(ctx context.Context, c *model.Client, seed model.Seed) {
	for {
		kind, after := g.makeTry(ctx, c, seed)
		if ctx.Err() != nil {
			return // the simulation is cut short: the task has no result
		}
		g.mu.Lock()
		now := g.now()
		if kind == model.Refused {
			g.stats.Refusal(now, c.Task.Class)
		}
		wait, again := c.Next(now, kind, after)
		if !again {
			g.stats.End(now, &c.Task, kind)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// makeTry makes one try.
func (g *driver) makeTry(ctx context.Context, c *model.Client, seed model.Seed) (model.Answer, time.Duration) {
	a := g.agents[c.Task.Agent]
	class := &g.s.Classes[c.Task.Class]
	id := c.ID()
	method, body := http.MethodGet, io.Reader(nil)
	if class.Effect != decide.Idempotent {
		method, body = http.MethodPost, strings.NewReader("form "+id)
	}
	g.mu.Lock()
	now := g.now()
	left := c.Remaining(now)
	g.stats.Try(now, &c.Task, c.Try)
	g.tries[id] = &try{task: &c.Task, seed: seed, try: c.Try}
	g.checker.Took(now, a.n, id, c.Task.Class, now+left)
	generation := a.generation
	g.mu.Unlock()
	defer time.AfterFunc(tryRetention, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.tries, id)
	})
	// The client waits for its deadline plus a grace period. An answer within the grace period matters only to the checker.
	patience, cancel := context.WithTimeout(ctx, left+g.s.Rules.AnswerSlack+slack)
	defer cancel()
	req, err := http.NewRequestWithContext(patience, method, "http://"+a.listen+"/"+class.Name, body)
	if err != nil {
		return model.Failed, 0
	}
	h := req.Header
	h["X-Trace-Id"] = []string{id}
	h.Set("X-Expires-In", strconv.FormatFloat(left.Seconds(), 'f', 4, 64))
	if c.Task.Hint > 0 {
		h.Set("X-Size-Hint", strconv.FormatInt(c.Task.Hint.Microseconds(), 10))
	}
	if c.Task.Key != "" {
		h.Set("Idempotency-Key", c.Task.Key)
	}
	resp, err := a.clients.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.now()
	var dial *net.OpError
	switch {
	case a.generation != generation || a.killing || ctx.Err() != nil: // the agent was killed, or the simulation is ending
		g.checker.ClientLeft(now, id)
		return model.Failed, 0
	case errors.Is(err, context.DeadlineExceeded):
		return model.NoAnswer, 0 // the checker finds that there was no answer
	case errors.As(err, &dial) && dial.Op == "dial":
		g.checker.ClientLeft(now, id) // the agent never accepted it
		return model.Unreachable, 0
	case err != nil:
		g.checker.ConnectionLost(now, a.n, id)
		return model.Failed, 0
	}
	kind, result := checker.Failed, model.Failed
	switch status {
	case http.StatusOK:
		kind, result = checker.Served, model.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind, result = checker.Refused, model.Refused
	}
	g.checker.Answered(now, a.n, id, kind)
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return result, time.Duration(after * float64(time.Second))
}
