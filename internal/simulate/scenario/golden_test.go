package scenario

import (
	"reflect"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// Keys without a tag are their fields' names, whatever their case.
func TestFilesKeepTheirKeys(t *testing.T) {
	golden.CheckKeys(t, "scenario.toml.keys", reflect.TypeFor[file]())
}
