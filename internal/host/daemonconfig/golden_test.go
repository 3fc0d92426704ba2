package daemonconfig

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"vetchhaven/internal/testkit/golden"
)

// A field without a tag matches the key that equals its name, ignoring case. The keys are therefore compared in lower
// case and sorted: a tag that replaces a field's name moves the key in the order of golden.Keys, but settings files
// stay valid.
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
				t.Errorf("the keys are\n%s\nand the golden file has\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
			}
		})
	}
}
