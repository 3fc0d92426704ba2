package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"vetchhaven/internal/testkit/golden"
)

// commandLines returns a line for each command below c and each of its flags: path, flag, shorthand, type, default.
func commandLines(c *cobra.Command) (lines []string) {
	lines = append(lines, c.CommandPath())
	c.Flags().VisitAll(func(f *pflag.Flag) {
		lines = append(lines, fmt.Sprintf("%s --%s %q %s %q", c.CommandPath(), f.Name, f.Shorthand, f.Value.Type(), f.DefValue))
	})
	for _, alias := range c.Aliases {
		lines = append(lines, strings.TrimSuffix(c.CommandPath(), c.Name())+alias)
	}
	for _, sub := range c.Commands() {
		lines = append(lines, commandLines(sub)...)
	}
	return lines
}

// Every command and flag of earlier builds still exists. New ones may be added; a renamed command keeps its old name
// as an alias.
func TestCommandsAndFlagsOfEarlierBuildsExist(t *testing.T) {
	lines := commandLines(rootCommand())
	slices.Sort(lines)
	golden.CheckContains(t, "flags.txt", lines)
}

// Exit statuses must not change, since scripts depend on them.
func TestExitStatusesStay(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	odd, none := write("odd.toml", "nonsense = 1\n"), filepath.Join(dir, "none.toml")
	for _, c := range []struct {
		name   string
		args   []string
		status int
	}{
		{"help", []string{"--help"}, 0},
		{"unknown command", []string{"nonsense"}, 2},
		{"unknown flag", []string{"status", "--nonsense"}, 2},
		{"status without a file", []string{"status", "--config", none}, 2},
		{"status with a file that makes no sense", []string{"status", "--config", odd}, 2},
		{"serve without a file", []string{"serve", "--config", none}, 2},
		{"serve --check of a file that makes no sense", []string{"serve", "--config", odd, "--check"}, 2},
		{"rehearse without a file", []string{"rehearse", none}, 2},
		{"rehearse of a file that makes no sense", []string{"rehearse", odd}, 2},
		{"drill without a file", []string{"drill", none}, 2},
		{"drill of a file that makes no sense", []string{"drill", odd}, 2},
		{"policy show without a file", []string{"policy", "show", "--config", none}, 2},
		{"fleet view without a file", []string{"fleet", "view", "--config", none}, 2},
		{"reload without a file", []string{"reload", "--config", none}, 2},
		{"handover without a file", []string{"handover", "--config", none}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			root := rootCommand()
			root.SetArgs(c.args)
			if got := statusFor(root.Execute()); got != c.status {
				t.Errorf("%v ended with status %d, want %d", c.args, got, c.status)
			}
		})
	}
}
