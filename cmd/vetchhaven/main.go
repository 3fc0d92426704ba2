// Command vetchhaven is a client-side load balancer. With no arguments it is one agent of the
// platform; its other jobs are subcommands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exit is an error that carries the status to end with. A nil text was said already.
type exit struct {
	status int
	err    error
}

func (e exit) Error() string {
	if e.err == nil {
		return fmt.Sprintf("status %d", e.status)
	}
	return e.err.Error()
}

// version is told to other daemons of a fleet, and printed by --version.
const version = "0.8.0"

func main() { os.Exit(execute()) }

// rootCommand is the program with all its subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "vetchhaven",
		Short: "a client-side load balancer: agent and tools",
		Long: "vetchhaven with no arguments is the platform's agent, as `vetchhaven run` is: it serves the\n" +
			"clients of one process, with the configuration that PROXY_CONFIG names, until SIGTERM.",
		Version:       version,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return runAgent() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(runCommand(), rehearseCommand(), serveCommand(), membersCommand())
	root.AddCommand(askCommands()...)
	root.AddCommand(fleetCommand(), policyCommand(), drillCommand())
	return root
}

func execute() int { return statusFor(rootCommand().Execute()) }

// statusFor says an error, and is the status that the process ends with.
func statusFor(err error) int {
	var e exit
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		if e.err != nil {
			fmt.Fprintln(os.Stderr, "vetchhaven:", e.err)
		}
		return e.status
	default: // cobra's own: a wrong flag or argument
		fmt.Fprintln(os.Stderr, "vetchhaven:", err)
		return 2
	}
}
