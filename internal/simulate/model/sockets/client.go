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

// try is what a server needs to know of a request that comes by an id.
type try struct {
	task     *model.Task
	chance   model.Chance
	try      int
	attempts int
}

// keepTries is how long an id is known after its try has ended: an attempt may still be under way.
const keepTries = 20 * time.Second

// client wants one task done, with all its tries.
func (g *stage) client(ctx context.Context, c *model.Client, chance model.Chance) {
	for {
		kind, after := g.ask(ctx, c, chance)
		if ctx.Err() != nil {
			return // cut short: neither asked to the end nor answered
		}
		g.mu.Lock()
		now := g.now()
		if kind == model.Refused {
			g.day.Refusal(now, c.Task.Class)
		}
		wait, again := c.Next(now, kind, after)
		if !again {
			g.day.End(now, &c.Task, kind)
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

// ask is one try.
func (g *stage) ask(ctx context.Context, c *model.Client, chance model.Chance) (model.Answer, time.Duration) {
	a := g.agents[c.Task.Agent]
	class := &g.s.Classes[c.Task.Class]
	id := c.ID()
	method, body := http.MethodGet, io.Reader(nil)
	if class.Effect != decide.Idempotent {
		method, body = http.MethodPost, strings.NewReader("form "+id)
	}
	g.mu.Lock()
	now := g.now()
	left := c.Left(now)
	g.day.Try(now, &c.Task, c.Try)
	g.tries[id] = &try{task: &c.Task, chance: chance, try: c.Try}
	g.judge.Took(now, a.n, id, c.Task.Class, now+left)
	life := a.life
	g.mu.Unlock()
	defer time.AfterFunc(keepTries, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.tries, id)
	})
	// The client's own patience; what is answered in the grace after it is for the judge alone.
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
	case a.life != life || a.dying || ctx.Err() != nil: // the agent was killed, or all is being ended
		g.judge.GaveUp(now, id)
		return model.Failed, 0
	case errors.Is(err, context.DeadlineExceeded):
		return model.NoAnswer, 0 // the judge finds that nothing came
	case errors.As(err, &dial) && dial.Op == "dial":
		g.judge.GaveUp(now, id) // it was never taken
		return model.Unreachable, 0
	case err != nil:
		g.judge.Lost(now, a.n, id)
		return model.Failed, 0
	}
	kind, told := checker.Failed, model.Failed
	switch status {
	case http.StatusOK:
		kind, told = checker.Served, model.Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		kind, told = checker.Refused, model.Refused
	}
	g.judge.Answered(now, a.n, id, kind)
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return told, time.Duration(after * float64(time.Second))
}
