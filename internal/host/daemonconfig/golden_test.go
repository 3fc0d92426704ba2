package daemonconfig

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// Keys without a tag are their fields' names, whatever their case. So the keys are compared in the order of their lower
// case: a tag in place of a field's name moves a key in the order of golden.Keys, and changes nothing in a file.
func TestSettingsFilesKeepTheirKeys(t *testing.T) {
	for name, v := range map[string]any{
		"fleet.toml.keys":   fileTables{},
		"policy.toml.keys":  sharedTables{},
		"service.toml.keys": servicePart{},
	} {
		t.Run(name, func(t *testing.T) {
			want := strings.Fields(string(golden.Read(t, name)))
			got := strings.Fields(strings.ToLower(strings.Join(golden.Keys(reflect.TypeOf(v)), "\n")))
			slices.Sort(want)
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Errorf("keys are\n%s\nand were\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
			}
		})
	}
}
