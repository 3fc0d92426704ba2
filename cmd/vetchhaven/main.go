// Command vetchhaven is a client-side load balancer. Without arguments it runs one agent of the platform; its other
// functions are subcommands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitError is an error with the exit status of the process. If err is nil, the error has been reported already.
type exitError struct {
	status int
	err    error
}

func (e exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("status %d", e.status)
	}
	return e.err.Error()
}

// version is sent to other daemons of a fleet, and printed by --version.
const version = "0.8.0"

func main() { os.Exit(execute()) }

// rootCommand returns the program's command with all subcommands.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "vetchhaven",
		Short: "a client-side load balancer: agent and tools",
		Long: "vetchhaven without arguments is the platform's agent, like `vetchhaven run`: it serves the\n" +
			"clients of one process, with the configuration that PROXY_CONFIG names, until SIGTERM.",
		Version:       version,
		Args:          cobra.NoArgs,
		RunE:          func(*cobra.Command, []string) error { return runAgent() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(runCommand(), rehearseCommand(), serveCommand(), membersCommand())
	root.AddCommand(adminCommands()...)
	root.AddCommand(fleetCommand(), policyCommand(), drillCommand())
	return root
}

func execute() int { return statusFor(rootCommand().Execute()) }

// statusFor prints an error, and returns the exit status of the process.
func statusFor(err error) int {
	var e exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		if e.err != nil {
			fmt.Fprintln(os.Stderr, "vetchhaven:", e.err)
		}
		return e.status
	default: // an error that cobra returned: an invalid flag or argument
		fmt.Fprintln(os.Stderr, "vetchhaven:", err)
		return 2
	}
}
