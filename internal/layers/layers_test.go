// Package layers checks that packages import only from their own layer or a lower one. docs/design/architecture.md
// shows the layers.
package layers

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// layers lists the layers from the lowest to the highest. A package belongs to the layer with the longest matching
// prefix, and may import only from its own layer or a lower one.
var layers = [][]string{
	{"decide"},
	{"internal/wire", "internal/tomlfile", "internal/atomicfile", "internal/eventqueue", "internal/protocol/ldapmsg", "internal/source/discovery", "internal/source/endpoints", "internal/testkit", "internal/standin"},
	{"internal/source"},
	{"internal/core"},
	{"internal/protocol"},
	{"internal/peer"},
	{"internal/host"},
	{"internal/simulate"},
	{"internal/faulttest"},
	{"cmd", "tools"},
}

// isolated maps each package that makes decisions or checks results, without I/O, to the only packages of this module
// that it may import.
var isolated = map[string][]string{
	"decide":                        {"decide/quota"},
	"internal/source/endpoints":     nil,
	"internal/host/supervise":       nil,
	"internal/peer/membership":      nil,
	"decide/quota":                  nil,
	"internal/peer/lease":           {"decide/quota"},
	"internal/peer/ejection":        nil,
	"internal/peer/policy":          nil,
	"internal/eventqueue":           nil,
	"internal/faulttest/checker":    nil,
	"internal/faulttest/soak/check": nil,
	"internal/faulttest/topology":   nil,
	"internal/protocol/ldapmsg":     nil,
	"internal/simulate/checker":     {"decide"},
}

func layerOf(path string) (layer int, ok bool) {
	longest := -1
	for n, all := range layers {
		for _, p := range all {
			if (path == p || strings.HasPrefix(path, p+"/")) && len(p) > longest {
				layer, ok, longest = n, true, len(p)
			}
		}
	}
	return layer, ok
}

// The diagram in the architecture page has one line for each layer, from the highest to the lowest, with its name and
// packages.
func TestDiagramShowsTheLayers(t *testing.T) {
	page, err := os.ReadFile("../../docs/design/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "\n## Layers\n")
	if !found {
		t.Fatal("the page has no section Layers")
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var inDiagram [][]string
	for _, m := range regexp.MustCompile(`(?m)^    \w[\w ]*?  +(\S.*)$`).FindAllStringSubmatch(section, -1) {
		inDiagram = append(inDiagram, strings.Fields(m[1]))
	}
	slices.Reverse(inDiagram)
	if !reflect.DeepEqual(inDiagram, layers) {
		t.Errorf("layers in the diagram, lowest first:\n%v\nlayers in this test:\n%v", inDiagram, layers)
	}
}

func TestNoPackageImportsUpwards(t *testing.T) {
	cmd := exec.Command("go", "list", "-json=ImportPath,Imports", "vetchhaven/...")
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	const module = "vetchhaven/"
	checked := 0
	for d := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p struct {
			ImportPath string
			Imports    []string
		}
		if err := d.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		path := strings.TrimPrefix(p.ImportPath, module)
		if path == "internal/layers" {
			continue
		}
		own, ok := layerOf(path)
		if !ok {
			t.Errorf("%s is in no layer", path)
		}
		allowed, isIsolated := isolated[path]
		for _, i := range p.Imports {
			if isIsolated && (i == "net" || i == "os" || i == "net/http" || i == "sync") {
				t.Errorf("%s must do no I/O, but imports %s", path, i)
			}
			i, ours := strings.CutPrefix(i, module)
			if !ours {
				continue
			}
			checked++
			if below, _ := layerOf(i); below > own {
				t.Errorf("%s imports %s, which is in a higher layer", path, i)
			}
			if isIsolated && !strings.Contains(" "+strings.Join(allowed, " ")+" ", " "+i+" ") {
				t.Errorf("%s imports %s, which is not in its list of allowed imports", path, i)
			}
		}
	}
	if checked < 50 {
		t.Errorf("only %d imports were checked: the output of go list was not read completely", checked)
	}
}
