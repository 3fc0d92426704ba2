package ldap

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	client "github.com/go-ldap/ldap/v3"

	"vetchhaven/decide"
	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
	"vetchhaven/internal/standin/directory"
	"vetchhaven/internal/testkit"
)

const objective, deadline = 5 * time.Second, 60 * time.Second

func testConfig(t testing.TB, servers ...*directory.Directory) *core.Config {
	t.Helper()
	var members []discovery.Server
	for _, s := range servers {
		members = append(members, s.Member("ready"))
	}
	cfg, err := core.ParseConfig(testkit.Config(t, testkit.ConfigOptions{Servers: members}), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	cfg.Settings.Tick, cfg.Margin = 0, 5*time.Millisecond
	cfg.Settings.MayProbe, cfg.Settings.Hedging = false, false
	cfg.Site.Classes = []string{"search", "modify"}
	cfg.Settings.Classes = []decide.Class{
		{Objective: objective, Deadline: deadline, Value: 1, Effect: decide.Idempotent},
		{Objective: objective, Deadline: deadline, Value: 1, Effect: decide.NonIdempotent},
	}
	return cfg
}

// testAgent is an agent under test.
type testAgent struct {
	*core.Agent
	p    *protocol
	stop context.CancelFunc
	done chan error
	log  *logBuffer
}

// logBuffer collects the log output of an agent.
type logBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	return len(p), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text)
}

func startAgent(t testing.TB, cfg *core.Config, o Options) *testAgent {
	t.Helper()
	log := &logBuffer{}
	a, p, err := newAgent(cfg, o, slog.New(slog.NewTextHandler(log, nil)), core.Options{NoLateConnections: true, HeartbeatTimeout: 2 * testkit.EventTimeout})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testAgent{Agent: a, p: p, stop: cancel, done: make(chan error, 1), log: log}
	go func() { r.done <- a.Run(ctx); close(r.done) }()
	t.Cleanup(func() {
		cancel()
		if t.Failed() {
			t.Log(log.String())
		}
		select {
		case <-r.done:
		case <-time.After(2 * testkit.EventTimeout):
			t.Error("the agent did not stop")
		}
	})
	return r
}

// startDirectory starts a stand-in directory server with a few entries and two accounts.
func startDirectory(t testing.TB, id string, o directory.Options) *directory.Directory {
	t.Helper()
	d, err := directory.New(id, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	for _, n := range []string{"a", "b", "c", "d", "e"} {
		d.Add("cn="+n+",dc=ward", map[string][]string{"cn": {n}, "on": {id}})
	}
	d.Add("dc=ward", map[string][]string{"dc": {"ward"}})
	d.Password("cn=admin", "secret-1")
	d.Password("cn=other", "secret-2")
	return d
}

func (r *testAgent) dial(t testing.TB) *client.Conn {
	t.Helper()
	c, err := client.DialURL("ldap://" + r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetTimeout(testkit.EventTimeout)
	t.Cleanup(func() { c.Close() })
	return c
}

// dialRaw opens a TCP connection to the agent, on which the test writes and reads the messages itself.
func (r *testAgent) dialRaw(t testing.TB) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testkit.EventTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// hasAttempt reports whether the operation with the given message ID has been written to a server that has not
// answered yet.
func (r *testAgent) hasAttempt(id int32) bool {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	for s := range r.p.sessions {
		s.mu.Lock()
		o := s.operations[id]
		s.mu.Unlock()
		if o == nil {
			continue
		}
		o.mu.Lock()
		written := o.attemptConn != nil
		o.mu.Unlock()
		if written {
			return true
		}
	}
	return false
}

func newSearch(base string, scope int) *client.SearchRequest {
	return client.NewSearchRequest(base, scope, client.NeverDerefAliases, 0, 0, false, "(objectClass=*)", nil, nil)
}

var subtreeSearch = func() *client.SearchRequest { return newSearch("dc=ward", client.ScopeWholeSubtree) }
var baseSearch = func() *client.SearchRequest { return newSearch("cn=a,dc=ward", client.ScopeBaseObject) }

func newModify(value string) *client.ModifyRequest {
	m := client.NewModifyRequest("cn=a,dc=ward", nil)
	m.Replace("description", []string{value})
	return m
}

// resultCode returns the LDAP result code of an error: 0 for nil, -1 for an error that is not a client.Error.
func resultCode(err error) int {
	if err == nil {
		return 0
	}
	if e, ok := err.(*client.Error); ok {
		return int(e.ResultCode)
	}
	return -1
}
