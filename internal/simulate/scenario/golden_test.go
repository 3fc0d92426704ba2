package scenario

import (
	"reflect"
	"strings"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// Keys without a tag are their fields' names, whatever their case.
func TestFilesKeepTheirKeys(t *testing.T) {
	all := strings.ToLower(strings.Join(golden.Keys(reflect.TypeFor[file]()), "\n"))
	golden.Check(t, "scenario.toml.keys", []byte(all+"\n"))
}
