package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vetchhaven/internal/faulttest/soak/check"
	"vetchhaven/internal/source/discovery"
)

// agentProcess is an agent of `run`, or a daemon of `serve` with one HTTP instance, and its successive processes.
type agentProcess struct {
	n       int
	serve   bool
	pushed  bool // its list is pushed (mode automatic); otherwise the agent subscribes to it (mode subscribe)
	program string
	dir     string
	listen  string
	env     []string
	rec     *Recorder
	clients *clients
	list    *list

	deadline    time.Duration // longest deadline of all classes
	ldapListen  string        // address of a daemon's LDAP instance; empty: none
	directories string        // address of the list of directory servers
	ldapClients *ldapClients  // nil: none

	mu      sync.Mutex
	exited  chan struct{}
	process int
	pid     int
	at      int // number of the current configuration; selects the list address or limit in it
	config  string

	writeConfig func() error // writes the configuration file for the current state of the run
}

// shortDeadline is the longest deadline of all classes in most runs; documentedDeadline, the one that the
// documentation gives, is used in the others. A process has the deadline and stopSlack to stop.
const (
	shortDeadline      = 1000 * time.Millisecond
	documentedDeadline = 3 * time.Second
)

// Values in the agents' configuration.
const (
	drainGrace     = 800 * time.Millisecond
	keyedWindow    = 900 * time.Millisecond
	connectTimeout = 250 * time.Millisecond
	idleClose      = 3 * time.Second
	coldShare      = 0.05
	rampTime       = 10 * time.Second
	fallMultiple   = 1.2
	fallWindow     = time.Second
)

const settings = `{
 "Balancers": %d, "Me": %d, "Zone": %d, "Dcs": ["a", "b"], "Kinds": ["k"], "MembershipMode": %q,
 "TickMs": 5, "CountedBy": "request",
 "Profiles": [
  {"Name": "get", "AimMs": 300, "DeadlineMs": %[5]d, "Worth": 1, "LateValue": 0.3, "Semantics": "repeatable"},
  {"Name": "put", "AimMs": 300, "DeadlineMs": %[5]d, "Worth": 3, "LateValue": 0.3, "Semantics": "by_key", "Group": "all", "WindowMs": %[6]d},
  {"Name": "pin", "AimMs": 300, "DeadlineMs": %[5]d, "Worth": 3, "LateValue": 0.3, "Semantics": "by_key", "Group": "zone", "WindowMs": %[6]d},
  {"Name": "pay", "AimMs": 300, "DeadlineMs": %[5]d, "Worth": 5, "LateValue": 0.3, "Semantics": "once"}],
 "PolicyLimits": {"TryLimit": 3, "ConnectTimeoutMs": %[7]d, "IdleCloseMs": %[8]d, "MaxOpen": 300,
  "RetryAfter": true, "MaxRetryAfterMs": 1500, "MayProbe": true, "Cancel": true, "SecondCopies": true},
 "Contract": {"AskWithinMs": 3000, "DrainGraceMs": %[9]d, "GraceToAnswerMs": 20, "ColdFrom": %[10]g, "RampTimeMs": %[11]d, "FallMultiple": %[12]g, "FallMs": %[13]d},
 "Goal": {"Whole": 1}, "Report": {"Source": "off"}}`

const fleetFile = `admin = "unix:%s"
state_dir = %q
[[source]]
name = "list"
list = %q
spread = "50ms"
first = "50ms"
[site]
zones = ["a", "b"]
kinds = ["k"]
[rules]
balancers = %d
max_attempts = 3
second_copies = true
connect_timeout = %q
idle_close = %q
drain_grace = %q
cold_share = %g
ramp_time = %q
fall_multiple = %g
fall_window = %q
`

const fleetClass = `[[class]]
name = %q
repeats = %q
aim = "300ms"
deadline = %q
worth = 1.0
late = 0.3
`

// configure writes the agent's configuration file.
func (a *agentProcess) configure(agents int, known discovery.Update) error {
	if a.serve {
		return a.configureServe(agents)
	}
	mode := "subscribe"
	if a.pushed {
		mode = "automatic"
	}
	raw, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", a.n), "listen": a.listen, "discovery": a.list.addrs[a.at%listAddrs], "seed": fmt.Sprintf("%016x", a.n+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": agentSockets}, "known": known,
		"settings": json.RawMessage(fmt.Sprintf(settings, agents, a.n, a.n%2, mode, a.deadline.Milliseconds(), keyedWindow.Milliseconds(),
			connectTimeout.Milliseconds(), idleClose.Milliseconds(), drainGrace.Milliseconds(), coldShare, rampTime.Milliseconds(), fallMultiple,
			fallWindow.Milliseconds())),
	})
	if err != nil {
		return err
	}
	a.config = filepath.Join(a.dir, "config.json")
	return os.WriteFile(a.config, raw, 0o600)
}

func (a *agentProcess) configureServe(agents int) error {
	text := fmt.Sprintf(fleetFile, filepath.Join(a.dir, "admin"), filepath.Join(a.dir, "state"), a.list.addrs[0], agents, connectTimeout, idleClose,
		drainGrace, coldShare, rampTime, fallMultiple, fallWindow)
	for _, k := range []struct{ name, repeats, more string }{{"get", "safe", ""},
		{"put", "keyed", fmt.Sprintf("group = \"all\"\nwindow = %q\n", keyedWindow)},
		{"pin", "keyed", fmt.Sprintf("group = \"zone\"\nwindow = %q\n", keyedWindow)}, {"pay", "unsafe", ""}} {
		text += fmt.Sprintf(fleetClass, k.name, k.repeats, a.deadline) + k.more
	}
	text += a.instances()
	a.config = filepath.Join(a.dir, "fleet.toml")
	return os.WriteFile(a.config, []byte(text), 0o600)
}

// instances returns the instances of a daemon's file. Their max_open differs from one configuration to the next, so
// that a reload replaces them.
func (a *agentProcess) instances() string {
	maxOpen := 300 + a.variant()
	text := fmt.Sprintf("[[instance]]\nname = \"n%d\"\nsource = \"list\"\nlisten = %q\nzone = %q\nmax_open = %d\n", a.n, a.listen,
		[]string{"a", "b"}[a.n%2], maxOpen)
	if a.ldapListen == "" {
		return text
	}
	head := fmt.Sprintf("[[source]]\nname = \"directories\"\nlist = %q\nspread = \"50ms\"\nfirst = \"50ms\"\n", a.directories)
	for class, repeats := range map[string]string{classSearch: "safe", classModify: "unsafe"} {
		head += fmt.Sprintf(fleetClass, class, repeats, a.deadline)
	}
	return head + text + fmt.Sprintf("[[instance]]\nname = \"dir%d\"\nprotocol = \"ldap\"\nsource = \"directories\"\nlisten = %q\nzone = \"a\"\nmax_open = %d\n",
		a.n, a.ldapListen, maxOpen)
}

// start starts a process and returns once it is ready.
func (a *agentProcess) start(ctx context.Context) error {
	if err := a.launch(); err != nil {
		return err
	}
	a.mu.Lock()
	exited := a.exited
	a.mu.Unlock()
	return a.awaitReady(ctx, exited)
}

// launch starts a process.
func (a *agentProcess) launch() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	cmd := exec.Command(a.program, "run")
	if a.serve {
		cmd = exec.Command(a.program, "serve", "--config", a.config)
	}
	cmd.Env = append(append(os.Environ(), a.env...), "PROXY_CONFIG="+a.config, "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	log, err := os.OpenFile(a.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		cmd.Stderr = log
		err = cmd.Start()
		_ = log.Close()
	}
	if err != nil {
		return fmt.Errorf("agent %d: %w", a.n, err)
	}
	a.begin(cmd.Process.Pid)
	return nil
}

func (a *agentProcess) logPath() string { return filepath.Join(a.dir, "log") }

// begin makes a process the current one. The lock must be held.
func (a *agentProcess) begin(pid int) (exited chan struct{}) {
	a.process++
	a.pid, a.exited = pid, make(chan struct{})
	exited = a.exited
	process := a.process
	a.rec.Put(check.Event{Kind: check.ProcessStarted, Agent: a.n, Process: process})
	go func() {
		a.rec.Put(check.Event{Kind: check.ProcessExited, Agent: a.n, Process: process, Status: await(pid)})
		close(exited)
	}()
	return exited
}

// await waits for a process to end and returns its exit status, or -1 if a signal ended it. A successor becomes this
// process's child only after its parent has ended; if the successor ended earlier, its status is unknown and counts
// as 0.
func await(pid int) int {
	for {
		var status syscall.WaitStatus
		switch _, err := syscall.Wait4(pid, &status, 0, nil); {
		case err == nil && status.Exited():
			return status.ExitStatus()
		case err == nil && status.Signaled():
			return -1
		case errors.Is(err, syscall.ECHILD) && syscall.Kill(pid, 0) != nil:
			return 0 // the process ended before its parent, so its status is not available here
		case errors.Is(err, syscall.ECHILD):
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// variant returns 0 or 1, alternating from one configuration to the next.
func (a *agentProcess) variant() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at % 2
}

// current returns the number of the current process.
func (a *agentProcess) current() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process
}

// handOver makes a daemon hand over to a successor, which becomes the current process.
func (a *agentProcess) handOver(ctx context.Context) error {
	a.mu.Lock()
	old := a.pid
	a.mu.Unlock()
	a.rec.Put(check.Event{Kind: check.ProcessHandedOver, Agent: a.n, Process: a.current()})
	a.signal(syscall.SIGUSR2)
	for end := time.Now().Add(maxReadyTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(a.logPath())
		if err != nil {
			return err
		}
		all := readyLine.FindAllSubmatch(text, -1)
		if len(all) == 0 {
			continue
		}
		pid, err := strconv.Atoi(string(all[len(all)-1][1]))
		if err != nil || pid == old {
			continue
		}
		a.mu.Lock()
		a.begin(pid)
		a.mu.Unlock()
		a.rec.Put(check.Event{Kind: check.ProcessReady, Agent: a.n, Process: a.current()})
		return nil
	}
	if strings.Contains(strings.Join(a.env, " "), "FAULT_DISK") { // no space for the handover state, so the old process continues
		return nil
	}
	return fmt.Errorf("agent %d did not hand over within %v", a.n, maxReadyTime)
}

var readyLine = regexp.MustCompile(`msg=ready .*pid=([0-9]+)`)

// maxReadyTime is how long a process may take to become ready.
const maxReadyTime = 10 * time.Second

func (a *agentProcess) awaitReady(ctx context.Context, exited chan struct{}) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(2 * maxReadyTime); time.Now().Before(end); {
		resp, err := client.Get("http://" + a.listen + "/_health")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				a.rec.Put(check.Event{Kind: check.ProcessReady, Agent: a.n, Process: a.current()})
				a.clients.open.Store(true)
				return nil
			}
		}
		select {
		case <-exited:
			return fmt.Errorf("agent %d ended before it was ready", a.n)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	a.rec.Put(check.Event{Kind: check.ProcessReady, Agent: a.n, Process: a.current(), Note: "never"})
	return fmt.Errorf("agent %d was not ready within %v", a.n, 2*maxReadyTime)
}

// readLog records the invariant violations and panics in the log of the agent's processes.
func (a *agentProcess) readLog() error {
	text, err := os.ReadFile(a.logPath())
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "invariant violated") || strings.Contains(line, "panic") {
			a.rec.Put(check.Event{Kind: check.InvariantLogged, Agent: a.n, Note: strings.TrimSpace(line)})
		}
	}
	return nil
}

func (a *agentProcess) signal(s syscall.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pid != 0 {
		_ = syscall.Kill(a.pid, s) // fails only if the process has ended
	}
}

// Times around the end of a process. connectsAfterTerm is how long clients still connect after SIGTERM; a process
// that runs for longer than the deadline and stopSlack after SIGTERM is killed.
const (
	connectsAfterTerm = 400 * time.Millisecond
	stopSlack         = 700 * time.Millisecond
	dumpTime          = 500 * time.Millisecond // for a process that does not end to dump its goroutines
	agentSockets      = 512                    // descriptors that an agent may open
)

// maxStopTime returns how long a platform waits at least, after SIGTERM, before it kills a process.
func (a *agentProcess) maxStopTime() time.Duration { return a.deadline + stopSlack }

// terminate sends SIGTERM to the current process, followed by the signals in after, and kills it if it does not end
// in time.
func (a *agentProcess) terminate(after ...timedSignal) {
	a.rec.Put(check.Event{Kind: check.ProcessTerminated, Agent: a.n, Process: a.current()})
	a.signal(syscall.SIGTERM)
	late := time.AfterFunc(connectsAfterTerm, func() { a.clients.open.Store(false) })
	defer late.Stop()
	a.mu.Lock()
	exited := a.exited
	a.mu.Unlock()
	killAt := time.NewTimer(a.maxStopTime())
	defer killAt.Stop()
	a.signalAll(after, exited)
	select {
	case <-exited:
	case <-killAt.C:
		a.rec.Put(check.Event{Kind: check.ProcessKilled, Agent: a.n, Process: a.current()})
		a.signal(syscall.SIGQUIT) // makes the process log its goroutines
		select {
		case <-exited:
		case <-time.After(dumpTime):
			a.signal(syscall.SIGKILL)
			<-exited
		}
	}
	a.clients.open.Store(false)
}

// signalAll sends signals one after the other until the process has ended.
func (a *agentProcess) signalAll(signals []timedSignal, exited <-chan struct{}) {
	for _, next := range signals {
		select {
		case <-exited:
			return
		case <-time.After(next.wait):
		}
		if next.reconfigure {
			a.reconfigure()
		}
		a.signal(next.signal)
	}
}

// kill kills the current process.
func (a *agentProcess) kill() {
	a.rec.Put(check.Event{Kind: check.ProcessKilled, Agent: a.n, Process: a.current()})
	a.signal(syscall.SIGKILL)
	a.mu.Lock()
	exited := a.exited
	a.mu.Unlock()
	<-exited
	a.clients.open.Store(false)
}

// hold pauses the current process, like a machine that does not run it.
func (a *agentProcess) hold(d time.Duration) {
	a.rec.Put(check.Event{Kind: check.ProcessHeld, Agent: a.n, Left: d})
	a.signal(syscall.SIGSTOP)
	time.Sleep(d)
	a.signal(syscall.SIGCONT)
}

// reservePort reserves a port: no other process gets it by chance, but a process that sets SO_REUSEADDR can listen on
// it.
func reservePort() (addr string, release func(), err error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, err
	}
	fail := func(err error) (string, func(), error) {
		_ = syscall.Close(fd)
		return "", nil, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fail(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return fail(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		return fail(err)
	}
	in, ok := at.(*syscall.SockaddrInet4)
	if !ok {
		return fail(errors.New("no IPv4 address"))
	}
	return net.JoinHostPort("127.0.0.1", fmt.Sprint(in.Port)), func() { _ = syscall.Close(fd) }, nil
}
