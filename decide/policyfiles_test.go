package decide_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// The files under policy must stay readable at night: 400 lines each and 60 to a function, 110 characters to
// a line. Which files those are is what deploy/balancer.toml says, and none that makes choices may be missing
// there.
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
			t.Errorf("%s has %d lines, 400 at most", path, len(lines))
		}
		for i, line := range lines {
			switch {
			case strings.HasPrefix(line, "func "):
				function = i
			case line == "}" && function > 0 && i-function >= 60:
				t.Errorf("%s:%d: a function of %d lines, 60 at most", path, function+1, i-function+1)
			}
			if n := len([]rune(strings.ReplaceAll(line, "\t", "    "))); n > 110 {
				t.Errorf("%s:%d has %d characters, 110 at most", path, i+1, n)
			}
		}
	}
	undecided := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true, "result.go": true, "state.go": true, "message.go": true}
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if n := f.Name(); strings.HasSuffix(n, ".go") && !strings.HasSuffix(n, "_test.go") && !undecided[n] && !listed[n] {
			t.Errorf("decide/%s makes choices and is not under policy in deploy/balancer.toml", n)
		}
	}
}
