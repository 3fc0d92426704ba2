package plan

import (
	"reflect"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// A field without a tag has its Go name as its key, in any case, so a rename of the field would change the key.
func TestFilesKeepTheirKeys(t *testing.T) {
	golden.CheckKeys(t, "plan.toml.keys", reflect.TypeFor[file]())
}
