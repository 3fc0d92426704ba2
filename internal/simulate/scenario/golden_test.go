package scenario

import (
	"reflect"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// Keys without a tag are the names of their fields, in any case.
func TestFilesKeepTheirKeys(t *testing.T) {
	golden.CheckKeys(t, "scenario.toml.keys", reflect.TypeFor[file]())
}
