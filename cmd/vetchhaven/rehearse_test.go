package main

import (
	"bufio"
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runProgram runs the program with the given arguments, and returns its exit status and output.
func runProgram(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1")
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), o.String(), e.String()
}

func TestRehearse(t *testing.T) {
	dir := t.TempDir()
	page, data := filepath.Join(dir, "r.html"), filepath.Join(dir, "r.json")
	status, out, errs := runProgram(t, "rehearse", "../../scenarios/fast-errors.toml", "--against", "p2c,random", "--html", page, "--json", data)
	if status != 0 || errs != "" || !strings.Contains(out, "vetchhaven kept all four") || !strings.Contains(out, "p2c") {
		t.Errorf("status %d, %s\n%s", status, errs, out)
	}
	for _, p := range []string{page, data} {
		if info, err := os.Stat(p); err != nil || info.Size() < 1000 {
			t.Errorf("%v %v", info, err)
		}
	}
	_, again, _ := runProgram(t, "rehearse", "../../scenarios/fast-errors.toml", "--against", "p2c,random")
	if again != out {
		t.Error("the same seed gave another report")
	}
}

func TestRehearseExitStatus(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	write(t, bad, "title = \"x\"\nlenght = \"1s\"\n")
	for _, tt := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"rehearse", bad}, 2, "bad.toml:2: lenght: there is no such key"},
		{[]string{"rehearse", filepath.Join(dir, "none.toml")}, 2, "none.toml"},
		{[]string{"rehearse"}, 2, "arg"},
		{[]string{"rehearse", "../../scenarios/calm.toml", "--policy", "magic"}, 2, `"magic" is no policy`},
		{[]string{"rehearse", "../../scenarios/calm.toml", "--sockets", "--against", "p2c"}, 2, "virtual time"},
		{[]string{"rehearse", "../../scenarios/calm.toml", "--nope"}, 2, "--nope"},
		{[]string{"rehears"}, 2, "rehears"},
	} {
		status, out, errs := runProgram(t, tt.args...)
		if status != tt.status || !strings.Contains(errs, tt.want) || strings.Count(errs, "\n") != 1 || out != "" {
			t.Errorf("%v: status %d, %q, %q", tt.args, status, errs, out)
		}
	}
	// If a policy breaks a rule, the report names the request or server and the time.
	status, out, _ := runProgram(t, "rehearse", "../../scenarios/cold-start.toml", "--policy", "random")
	if status != 1 || !strings.Contains(out, "rule 4 at ") || !strings.Contains(out, "server fresh-") {
		t.Errorf("status %d\n%s", status, out)
	}
}

// Ctrl-C ends the command with the report so far, marked as cut short.
func TestRehearseIsCutShort(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	cmd := exec.Command(os.Args[0], "rehearse", "--sockets", "../../scenarios/season.toml")
	cmd.Env = append(os.Environ(), "VETCHHAVEN_TEST_MAIN=1")
	var out bytes.Buffer
	cmd.Stdout = &out
	errs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	first, err := bufio.NewReader(errs).ReadString('\n')
	if err != nil || !strings.Contains(first, "10m0s") {
		t.Errorf("%q %v", first, err)
	}
	if err := cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil || !strings.Contains(out.String(), "CUT SHORT") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

func TestHelp(t *testing.T) {
	status, out, _ := runProgram(t, "--help")
	if status != 0 || !strings.Contains(out, "rehearse") || !strings.Contains(out, "PROXY_CONFIG") {
		t.Errorf("status %d\n%s", status, out)
	}
	if status, out, _ := runProgram(t, "rehearse", "--help"); status != 0 || !strings.Contains(out, "--against") {
		t.Errorf("status %d\n%s", status, out)
	}
}
