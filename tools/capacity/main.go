// Command capacity measures what one more agent, service, region or change costs whom, a sub-command for each slope,
// and prints the tables of docs/CAPACITY.md from docs/capacity/size.toml (the size aimed at) and
// docs/capacity/slopes.toml (what was measured).
//
//	go run ./tools/capacity --help
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "capacity", Short: "What one more agent, service, region or change costs whom",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(commands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// commands are one a slope, a line each.
func commands() []*cobra.Command {
	return []*cobra.Command{
		pageCommand(),
		putCommand(),
		viewCommand(),
		verdictsCommand(),
		limitsCommand(),
		heldCommand(),
		changesCommand(),
		listCommand(),
		operatorCommand(),
		chainCommand(),
		pathCommand(),
	}
}
