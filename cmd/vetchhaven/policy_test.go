package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/testkit"
)

// startPolicyVoter starts a daemon that is the only voter of its fleet.
func startPolicyVoter(t *testing.T, rest string) *daemonProcess {
	t.Helper()
	_, list := startFormAndList(t)
	return startDaemonWith(t, list.Addr(), fmt.Sprintf("[peers]\nfleet = \"f\"\nname = \"host-1\"\nlisten = \"%s\"\n[policy]\nvoters = [\"host-1\"]\ncut_off = \"vetoes\"\n%s", freeAddr(t), rest))
}

const twoClassPolicy = "[[class]]\nname = \"get\"\nrepeats = \"safe\"\naim = \"5s\"\ndeadline = \"60s\"\n[[class]]\nname = \"new\"\nrepeats = \"safe\"\naim = \"5s\"\ndeadline = \"60s\"\n"

var requestCount atomic.Int64

func (s *daemonProcess) requestStatus(class string) int {
	req, err := http.NewRequest(http.MethodGet, "http://daemon/"+class, nil)
	if err != nil {
		return 0
	}
	req.Header.Set("X-Trace-Id", fmt.Sprint(s.t.Name(), requestCount.Add(1)))
	resp, err := s.client("one").Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (s *daemonProcess) waitForStatus(class string, status int) {
	s.t.Helper()
	for end := time.Now().Add(testkit.EventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if s.requestStatus(class) == status {
			return
		}
	}
	s.t.Fatalf("class %s is not answered with status %d", class, status)
}

func exitStatus(err error) int {
	var e exitError
	if err == nil {
		return 0
	}
	errors.As(err, &e)
	return e.status
}

func TestPolicyIsAppliedShownRevertedAndDropped(t *testing.T) {
	s := startPolicyVoter(t, "")
	s.waitForStatus("get", http.StatusOK)
	s.waitForStatus("new", http.StatusNotFound)
	var out bytes.Buffer
	flags := &applyFlags{reason: "a class more", wait: testkit.EventTimeout}
	if err := applyPolicy(s.path, map[string]string{"": twoClassPolicy}, flags, &out); err != nil || !strings.Contains(out.String(), "+ class[new].deadline = 60s") || !strings.Contains(out.String(), "policy 1 is in force") {
		t.Fatalf("%v\n%s", err, out.String())
	}
	s.waitForStatus("new", http.StatusOK)
	out.Reset()
	if err := applyPolicy(s.path, map[string]string{"": twoClassPolicy}, flags, &out); err != nil || !strings.Contains(out.String(), "it was in force already") {
		t.Errorf("applying the same policy again: %v\n%s", err, out.String())
	}
	bad := strings.Replace(twoClassPolicy, "5s", "90s", 1)
	if err := applyPolicy(s.path, map[string]string{"": bad}, flags, &out); exitStatus(err) == 0 || !strings.Contains(err.Error(), "policy:4: class[0].aim") {
		t.Errorf("an aim above its deadline: %v", err)
	}
	if err := applyPolicy(s.path, map[string]string{"": strings.Replace(twoClassPolicy, "new", "newer", 1)}, flags, &out); err != nil {
		t.Fatal(err)
	}
	s.waitForStatus("new", http.StatusNotFound)
	p, err := fetchHistory(s.path, "", 1)
	if err != nil || p.Document == nil || string(p.Document.Body) != twoClassPolicy || len(p.Changes) != 3 {
		t.Fatalf("%v, %+v", err, p)
	}
	if err := applyPolicy(s.path, map[string]string{"": string(p.Document.Body)}, flags, &out); err != nil {
		t.Fatal(err)
	}
	s.waitForStatus("new", http.StatusOK)
	// A change that no member has received is dropped, and can't come into force later.
	if _, err := callAdmin(s.path, http.MethodPost, "/policy/drop?id=never&by=me&reason=no", 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if err := await(s.path, "never", testkit.EventTimeout, &out); exitStatus(err) != 1 || !strings.Contains(err.Error(), "dropped by me: no") {
		t.Errorf("%v", err)
	}
	if err := await(s.path, "unheard-of", 0, &out); exitStatus(err) != 2 {
		t.Errorf("%v", err)
	}
	now, err := fetchPolicy(s.path)
	if err != nil || now.Active.Number != 3 {
		t.Fatalf("%v, %+v", err, now)
	}
	out.Reset()
	showPolicy(now, "", &out)
	showHistory(p, &out)
	for _, want := range []string{"policy 3", "a class more", "host-1 serves by the policy in force", "votes: leads", "roster: host-1", "in force"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not shown:\n%s", want, out.String())
		}
	}
}

// killAndRestart kills the daemon and starts it again.
func (s *daemonProcess) killAndRestart() {
	s.t.Helper()
	st, _ := s.status()
	if p, err := os.FindProcess(st.PID); err == nil {
		_ = p.Kill()
	}
	for end := time.Now().Add(testkit.EventTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, up := s.status(); !up {
			break
		}
	}
	s.start()
}

// The agreed policy stays in force after a kill, a handover and a reload. A configuration file that does not fit the
// policy is rejected.
func TestPolicySurvivesRestarts(t *testing.T) {
	s := startPolicyVoter(t, "")
	s.waitForStatus("get", http.StatusOK)
	var out bytes.Buffer
	if err := applyPolicy(s.path, map[string]string{"": twoClassPolicy}, &applyFlags{wait: testkit.EventTimeout}, &out); err != nil {
		t.Fatal(err)
	}
	s.waitForStatus("new", http.StatusOK)
	if _, err := callAdmin(s.path, http.MethodPost, "/reload", time.Minute); err != nil {
		t.Error(err)
	}
	if got := s.requestStatus("new"); got != http.StatusOK {
		t.Errorf("after a reload: %d", got)
	}
	if _, err := callAdmin(s.path, http.MethodPost, "/handover", time.Minute); err != nil {
		t.Fatal(err)
	}
	s.waitForStatus("new", http.StatusOK)
	s.killAndRestart()
	s.waitForStatus("new", http.StatusOK)
	if now, err := fetchPolicy(s.path); err != nil || now.Active.Number != 1 || now.Applied != 1 {
		t.Errorf("%v, %+v", err, now)
	}
}

func TestPoliciesAreComparedByKey(t *testing.T) {
	var out bytes.Buffer
	if err := printDiff(twoClassPolicy, strings.Replace(twoClassPolicy, "60s", "30s", 1)+"[[ban]]\nserver = \"s1\"\n", &out); err != nil {
		t.Fatal(err)
	}
	if want := "+ ban[s1].server = s1\n~ class[get].deadline = 30s, was 60s\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
	out.Reset()
	if err := printDiff(twoClassPolicy, twoClassPolicy, &out); err != nil || out.String() != "it changes nothing\n" {
		t.Errorf("%v, %q", err, out.String())
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.toml")
	write(t, path, fmt.Sprintf(fleetFile, dir, "127.0.0.1:1"))
	if err := daemonconfig.CheckPolicy(path, map[string]string{"": "[rules]\nspeed = 1\n"}, map[string]string{"": "new.toml"}); err == nil || !strings.Contains(err.Error(), "new.toml:2: rules.speed") {
		t.Errorf("%v", err)
	}
}

func classNamed(name string) string {
	return "[[class]]\nname = \"" + name + "\"\nrepeats = \"safe\"\naim = \"5s\"\ndeadline = \"60s\"\n"
}

// A single service's part and a folder of parts as one change are applied and shown, and a part is reverted. The parts
// stay in force after a kill, and after a reload through which the daemon gets a further part.
func TestPartsOfServicesAreAppliedShownAndReverted(t *testing.T) {
	s := startPolicyVoter(t, "")
	s.waitForStatus("get", http.StatusOK)
	s.waitForStatus("new", http.StatusNotFound)
	var out bytes.Buffer
	flags := &applyFlags{reason: "a class more", wait: testkit.EventTimeout}
	if err := applyPolicy(s.path, map[string]string{"main": classNamed("new")}, flags, &out); err != nil || !strings.Contains(out.String(), "+ class[new].deadline = 60s") || !strings.Contains(out.String(), "policy 1 of main is in force") {
		t.Fatalf("%v\n%s", err, out.String())
	}
	s.waitForStatus("new", http.StatusOK)
	s.waitForStatus("get", http.StatusOK)
	dir := t.TempDir()
	write(t, filepath.Join(dir, globalPartFile), classNamed("look"))
	write(t, filepath.Join(dir, "main.toml"), classNamed("newer"))
	write(t, filepath.Join(dir, "far.toml"), "[[ban]]\nserver = \"s1\"\n")
	texts, names, err := readParts(dir, "")
	if err != nil || len(texts) != 3 || texts["main"] != classNamed("newer") || names[""] != filepath.Join(dir, globalPartFile) {
		t.Fatalf("%v, %v", err, names)
	}
	out.Reset()
	if err := applyPolicy(s.path, texts, flags, &out); err != nil || !strings.Contains(out.String(), "global part:\n+ class[look]") || !strings.Contains(out.String(), "main:\n- class[new]") {
		t.Fatalf("%v\n%s", err, out.String())
	}
	s.waitForStatus("newer", http.StatusOK)
	s.waitForStatus("look", http.StatusOK)
	s.waitForStatus("new", http.StatusNotFound)
	s.waitForStatus("get", http.StatusNotFound)
	out.Reset()
	if err := applyPolicy(s.path, texts, flags, &out); err != nil || out.String() != "it changes nothing\n" {
		t.Errorf("applying the same policy again: %v\n%s", err, out.String())
	}
	p, err := fetchHistory(s.path, "main", 1)
	if err != nil || p.Document == nil || string(p.Document.Body) != classNamed("new") {
		t.Fatalf("%v, %+v", err, p)
	}
	if p, err := fetchHistory(s.path, "far", 0); err != nil || p.Document == nil || p.Document.Number != 1 { // the part of a service that this daemon does not have
		t.Errorf("%v, %+v", err, p)
	}
	now, err := fetchPolicy(s.path)
	if err != nil {
		t.Fatal(err)
	}
	out.Reset()
	showPolicy(now, "main", &out)
	showHistory(p, &out)
	for _, want := range []string{"policy 1, change", "main: policy 2, change", "name = \"newer\"", "1 of main", "1, 1 of far, 2 of main"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not shown:\n%s", want, out.String())
		}
	}
	// The daemon gets an instance of far, whose part is already in force.
	text, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	more := strings.Replace(string(text), "[site]", "[[source]]\nname = \"far\"\nlist = \"127.0.0.1:1\"\n[site]", 1)
	more = strings.Replace(more, "name = \"one\"", "name = \"one\"\nsource = \"main\"", 1) + fmt.Sprintf("[[instance]]\nname = \"two\"\nlisten = \"unix:%s/two.sock\"\nsource = \"far\"\n", s.dir)
	write(t, s.path, more)
	if _, err := callAdmin(s.path, http.MethodPost, "/reload", time.Minute); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testkit.EventTimeout); ; time.Sleep(10 * time.Millisecond) {
		if now, err = fetchPolicy(s.path); err == nil && len(now.Parts) == 2 && len(now.NotYetServed) == 0 && now.Bodies["far"] != "" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%v, %+v", err, now)
		}
	}
	s.waitForStatus("newer", http.StatusOK)
	s.killAndRestart()
	s.waitForStatus("newer", http.StatusOK)
	if err := applyPolicy(s.path, map[string]string{"main": string(p.Document.Body)}, flags, &out); err != nil {
		t.Fatal(err)
	}
	s.waitForStatus("new", http.StatusOK)
}

func TestInvalidPartFoldersAreRejected(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := readParts(dir, ""); err == nil || !strings.Contains(err.Error(), "has no parts") {
		t.Errorf("an empty folder: %v", err)
	}
	write(t, filepath.Join(dir, "main.toml"), "[[ban]]\nserver = 3\n")
	if _, _, err := readParts(dir, "main"); err == nil || !strings.Contains(err.Error(), "--part main goes with a file") {
		t.Errorf("a folder with --part: %v", err)
	}
	texts, names, err := readParts(dir, "")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "fleet.toml")
	write(t, path, fmt.Sprintf(fleetFile, dir, "127.0.0.1:1"))
	if err := daemonconfig.CheckPolicy(path, texts, names); err == nil || !strings.Contains(err.Error(), "main.toml:2: ban") {
		t.Errorf("an invalid part: %v", err)
	}
	write(t, filepath.Join(dir, "notes.txt"), "")
	if _, _, err := readParts(dir, ""); err == nil || !strings.Contains(err.Error(), "notes.txt is not a part of a policy") {
		t.Errorf("a file that is not a part: %v", err)
	}
}
