package wire

import (
	"reflect"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The settings object is read by its fields' names, whatever their case.
func TestSettingsKeepTheirKeys(t *testing.T) {
	golden.CheckKeys(t, "settings.keys", reflect.TypeFor[settingsObject]())
}
