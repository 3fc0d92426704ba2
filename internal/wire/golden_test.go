package wire

import (
	"reflect"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The settings object is read by the names and tags of its fields, in any case.
func TestSettingsKeepTheirKeys(t *testing.T) {
	golden.CheckKeys(t, "settings.keys", reflect.TypeFor[settingsObject]())
}
