// Command capacity measures how the cost of each role grows with each additional agent, service, region or change,
// with a sub-command for each mechanism. It also prints the tables of docs/CAPACITY.md from docs/capacity/size.toml
// (the target size) and docs/capacity/slopes.toml (the measurements).
//
//	go run ./tools/capacity --help
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "capacity", Short: "Measure how costs grow with agents, services, regions and changes",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(commands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// commands returns the sub-commands.
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
