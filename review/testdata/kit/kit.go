// Package kit has what the review's cases share: a record of what was sent and answered, processes of the project's
// own program, a list service, and free ports of loopback.
package kit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// maxRun is the longest time that a case may take.
const maxRun = 110 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption is played
	Dir     string // a temporary folder

	mu        sync.Mutex
	record    *os.File
	startedAt time.Time
	processes []*Process
	broken    []string
}

// Run runs a case and ends the program with the case's exit code. The program's only argument is the file for the record,
// such as review/1/record.txt.
func Run(name string, play func(c *Case) error) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage:", name, "RECORD")
		os.Exit(CannotRun)
	}
	os.Exit(run(name, os.Args[1], play))
}

func run(name, path string, play func(c *Case) error) int {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-"+name+"-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	defer os.RemoveAll(dir)
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, record: record, startedAt: time.Now()}
	defer c.endAll()
	c.Log("case %s, trouble=%v", name, c.Trouble)
	ended := make(chan error, 1)
	go func() { ended <- play(c) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	select {
	case err = <-ended:
	case s := <-stopped:
		err = fmt.Errorf("ended by a signal: %v", s)
	case <-time.After(maxRun):
		err = fmt.Errorf("the case did not end within %v", maxRun)
	}
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	switch {
	case len(broken) > 0:
		c.Log("RESULT: the rule was broken %d times; the first: %s", len(broken), broken[0])
		fmt.Printf("%s: broken %d times; the first: %s\n", name, len(broken), broken[0])
		return Broken
	case err != nil:
		c.Log("RESULT: the case could not run: %v", err)
		fmt.Printf("%s: could not run: %v\n", name, err)
		return CannotRun
	}
	c.Log("RESULT: the rule held")
	fmt.Printf("%s: held\n", name)
	return Held
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Log("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// Process is a process of the project's program.
type Process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts the program with the deploy file's command, exec bin/vetchhaven, and further arguments. Its log goes to
// the record.
func (c *Case) Start(name, arguments string, env ...string) (*Process, error) {
	command := strings.TrimSpace("exec bin/vetchhaven " + arguments)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = w
	cmd.Stderr = w
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	_ = w.Close()
	c.Log("%s: started by /bin/sh -c %q, process %d", name, command, cmd.Process.Pid)
	p := &Process{name: name, cmd: cmd, ended: make(chan struct{})}
	go c.copyLog(name, out)
	go func() {
		err := cmd.Wait()
		c.Log("%s: ended: %v", name, err)
		close(p.ended)
	}()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, nil
}

func (c *Case) copyLog(name string, out io.ReadCloser) {
	defer out.Close()
	buf := make([]byte, 64<<10)
	rest := ""
	for {
		n, err := out.Read(buf)
		lines := strings.Split(rest+string(buf[:n]), "\n")
		rest = lines[len(lines)-1]
		for _, line := range lines[:len(lines)-1] {
			c.Log("%s log: %s", name, line)
		}
		if err != nil {
			return
		}
	}
}

// Signal sends a signal to a process.
func (c *Case) Signal(p *Process, s syscall.Signal) {
	c.Log("%s: %v", p.name, s)
	_ = syscall.Kill(-p.cmd.Process.Pid, s)
}

// Running reports whether a process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Wait waits for the end of a process, and reports whether it ended in time.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (c *Case) endAll() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		p.Wait(5 * time.Second)
	}
}

// Write writes a file in the case's temporary folder, and returns its path.
func (c *Case) Write(name, text string) (string, error) {
	path := filepath.Join(c.Dir, name)
	next := path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(next, path)
}

// Ports returns ports of loopback that are free, for TCP and UDP. They lie below the ports that the system gives to
// clients.
func Ports(n int) ([]int, error) {
	var ports []int
	for range 1000 {
		if len(ports) == n {
			return ports, nil
		}
		port := 12000 + rand.IntN(18000)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		defer l.Close()
		p, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		defer p.Close()
		ports = append(ports, port)
	}
	return nil, fmt.Errorf("there are no %d free ports", n)
}

// Until waits until a condition holds, and reports whether it did in time.
func Until(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// Healthy reports whether GET /_health at an address is answered with 200.
func Healthy(addr string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Server is an entry of the list.
type Server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type update struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// List is the platform's list service: GET /catalog/members, with and without a watch.
type List struct {
	Addr string

	c       *Case
	server  *http.Server
	mu      sync.Mutex
	version int64
	servers map[string]Server
	changed map[string]int64
	next    chan struct{}
}

// NewList starts a list service on a free port.
func (c *Case) NewList(servers ...Server) (*List, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &List{
		Addr:    ln.Addr().String(),
		c:       c,
		version: 40,
		servers: map[string]Server{},
		changed: map[string]int64{},
		next:    make(chan struct{}),
	}
	l.Set(servers...)
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

// Set changes entries, and tells all watches at once.
func (l *List) Set(servers ...Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, s := range servers {
		l.servers[s.ID] = s
		l.changed[s.ID] = l.version
		l.c.Log("list: version %d: %s at %s is %s", l.version, s.ID, s.Addr, s.State)
	}
	close(l.next)
	l.next = make(chan struct{})
}

func (l *List) since(version int64) (u update, next chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u = update{Version: l.version, Full: version <= 0 || version > l.version, Servers: []Server{}}
	for id, s := range l.servers {
		if u.Full && s.State != "gone" || !u.Full && l.changed[id] > version {
			u.Servers = append(u.Servers, s)
		}
	}
	return u, l.next
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	follow := r.URL.Query().Get("follow") == "1"
	l.c.Log("list: asked from %s: %s", r.RemoteAddr, r.URL.RequestURI())
	flush := func(text []byte) bool {
		_, err := w.Write(append(text, '\n'))
		return err == nil && http.NewResponseController(w).Flush() == nil
	}
	for first := true; ; first = false {
		u, next := l.since(version)
		if first || len(u.Servers) > 0 {
			text, err := json.Marshal(u)
			if err != nil || !flush(text) {
				return
			}
			l.c.Log("list: told %s: %s", r.RemoteAddr, text)
			version = u.Version
		}
		if !follow {
			return
		}
		select {
		case <-next:
		case <-time.After(2 * time.Second): // an empty line while nothing changes
			if !flush(nil) {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// Close stops the list service.
func (l *List) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.server.Shutdown(ctx)
	_ = l.server.Close()
}

// Child returns the ID of the only process that a process has started and that has not ended.
func (c *Case) Child(p *Process) (id int, err error) {
	found := Until(time.Second, func() bool {
		all := children(p.cmd.Process.Pid)
		if len(all) == 1 {
			id = all[0]
		}
		return len(all) == 1
	})
	if !found {
		return 0, fmt.Errorf("%s has no successor", p.name)
	}
	c.Log("%s has the successor %d", p.name, id)
	return id, nil
}

func children(parent int) []int {
	var all []int
	paths, _ := filepath.Glob("/proc/[0-9]*/status")
	for _, path := range paths {
		text, _ := os.ReadFile(path)
		_, rest, _ := strings.Cut(string(text), "\nPPid:")
		line, _, _ := strings.Cut(rest, "\n")
		if id, err := strconv.Atoi(strings.TrimSpace(line)); err != nil || id != parent {
			continue
		}
		if id, err := strconv.Atoi(filepath.Base(filepath.Dir(path))); err == nil {
			all = append(all, id)
		}
	}
	return all
}

// Command runs a command of the project's program as an operator does, and returns its status and output.
func (c *Case) Command(arguments string) (status int, output string) {
	cmd := exec.Command("/bin/sh", "-c", "exec bin/vetchhaven "+arguments)
	out, err := cmd.CombinedOutput()
	status = 0
	if err != nil {
		status = -1
		if cmd.ProcessState != nil {
			status = cmd.ProcessState.ExitCode()
		}
	}
	c.Log("operator: vetchhaven %s: status %d: %s", arguments, status, out)
	return status, string(out)
}
