package wire

import (
	"reflect"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The keys of the settings object, which are the names or tags of its fields in any case, must not change.
func TestSettingsKeepTheirKeys(t *testing.T) {
	golden.CheckKeys(t, "settings.keys", reflect.TypeFor[settingsObject]())
}
