package decide_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// The files listed under policy in deploy/balancer.toml must be easy to read during an incident: they have at most 400
// lines per file, 60 per function and 110 characters per line. The list must contain every file that makes decisions.
func TestPolicyFilesStayReadable(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if row == nil {
		t.Fatal("deploy/balancer.toml: no policy line")
	}
	listed := map[string]bool{}
	for _, quoted := range strings.Split(string(row[1]), ",") {
		path := strings.Trim(strings.TrimSpace(quoted), `"`)
		name, inside := strings.CutPrefix(path, "decide/")
		if !inside {
			t.Fatalf("%s is not in decide/", path)
		}
		listed[name] = true
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines, function := strings.Split(string(text), "\n"), 0
		if len(lines) > 400 {
			t.Errorf("%s has %d lines, want at most 400", path, len(lines))
		}
		for i, line := range lines {
			switch {
			case strings.HasPrefix(line, "func "):
				function = i
			case line == "}" && function > 0 && i-function >= 60:
				t.Errorf("%s:%d: a function has %d lines, want at most 60", path, function+1, i-function+1)
			}
			if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > 110 {
				t.Errorf("%s:%d has %d characters, want at most 110", path, i+1, n)
			}
		}
	}
	noDecisions := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true, "result.go": true, "state.go": true, "message.go": true}
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if n := f.Name(); strings.HasSuffix(n, ".go") && !strings.HasSuffix(n, "_test.go") && !noDecisions[n] && !listed[n] {
			t.Errorf("decide/%s makes decisions and is not listed under policy in deploy/balancer.toml", n)
		}
	}
}
