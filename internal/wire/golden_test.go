package wire

import (
	"reflect"
	"strings"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// The settings object is read by its fields' names, whatever their case.
func TestSettingsKeepTheirKeys(t *testing.T) {
	all := strings.ToLower(strings.Join(golden.Keys(reflect.TypeFor[settingsObject]()), "\n"))
	golden.Check(t, "settings.keys", []byte(all+"\n"))
}
