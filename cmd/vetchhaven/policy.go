package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/policy"
)

// adminTimeout is how long a command waits for a daemon's admin endpoint.
const adminTimeout = 10 * time.Second

// policyCommands holds the flags of the commands with which operators show and change a policy.
type policyCommands struct {
	root      *cobra.Command
	config    string
	part      string
	asJSON    bool
	confirmed bool
	change    applyFlags
	voter     policy.ReplaceVoter
}

// policyCommand returns the commands with which operators show and change the policy that a fleet agrees on.
func policyCommand() *cobra.Command {
	p := &policyCommands{root: &cobra.Command{
		Use:   "policy",
		Short: "Show and change the policy that all daemons of a fleet follow",
		Args:  cobra.NoArgs,
	}}
	p.addShow()
	p.addCheck()
	p.addApply()
	p.addBack()
	p.addResults()
	p.addVoters()
	p.addConfirmed("rescue", "Continue with a single voter after the majority of the voters is permanently lost",
		"rescue makes this daemon the only voter. What only the lost voters knew is lost: a policy may have come into force that\nthis daemon has not received. Do it at the voter with the highest policy in force, at only one voter, and only if the others\nnever come back with their disks. Add voters afterwards.", "/policy/rescue")
	p.addConfirmed("trust", "Let a voter take part although it can't prove that its disk is current",
		"trust lets this voter take part with its disk as it is. If the disk is an earlier copy or was lost, a policy that was in force\nmay be forgotten. Do it only if the disk is as the last process left it, and a voter that this one asks is permanently gone.", "/policy/trust")
	return p.root
}

func (p *policyCommands) add(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&p.config, "config", defaultFleet, "the fleet's configuration file")
	p.root.AddCommand(c)
	return c
}

func (p *policyCommands) addPartFlag(c *cobra.Command) {
	c.Flags().StringVar(&p.part, "part", "", "the service whose part it is (default: the global part)")
}

func (p *policyCommands) addChangeFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.change.reason, "reason", "", "the reason for the change, shown in the history")
	c.Flags().DurationVar(&p.change.wait, "wait", time.Minute, "how long to wait for the decision; 0: do not wait")
	c.Flags().StringSliceVar(&p.change.without, "without", nil, "members that you declare to be down: the change proceeds without them")
}

func (p *policyCommands) addShow() {
	c := p.add(&cobra.Command{
		Use:   "show",
		Short: "Show the policy in force, and a daemon's state with regard to it",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return p.show() },
	})
	c.Flags().StringVar(&p.part, "part", "", "print this service's part instead of the global part")
	c.Flags().BoolVar(&p.asJSON, "json", false, "print the complete response as JSON")
}

func (p *policyCommands) show() error {
	body, err := callAdmin(p.config, http.MethodGet, "/policy", adminTimeout)
	if err != nil || p.asJSON {
		_, _ = os.Stdout.Write(body)
		return err
	}
	var status daemon.PolicyStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return exitError{1, err}
	}
	showPolicy(&status, p.part, os.Stdout)
	return nil
}

func (p *policyCommands) addCheck() {
	c := p.add(&cobra.Command{
		Use:   "check PATH",
		Short: "Check a policy, a service's part or a folder of parts against this daemon's configuration file, and print what it would change",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return p.check(args[0]) },
	})
	p.addPartFlag(c)
}

// readValid reads parts as readParts does, and checks them against the daemon's configuration file.
func (p *policyCommands) readValid(path string) (texts map[string]string, err error) {
	texts, names, err := readParts(path, p.part)
	if err != nil {
		return nil, exitError{2, err}
	}
	if err := daemonconfig.CheckPolicy(p.config, texts, names); err != nil {
		return nil, exitError{2, err}
	}
	return texts, nil
}

func (p *policyCommands) check(path string) error {
	texts, err := p.readValid(path)
	if err != nil {
		return err
	}
	if now, err := fetchPolicy(p.config); err == nil {
		_, _, err := printChanges(p.config, now, texts, os.Stdout)
		return err
	}
	fmt.Println("valid for this configuration file; no daemon answers, so what it would change is unknown")
	return nil
}

func (p *policyCommands) addApply() {
	c := p.add(&cobra.Command{
		Use:   "apply PATH",
		Short: "Bring a policy, a service's part or a folder of parts into force at all daemons concerned, or at none",
		Long:  "apply proposes another policy to the fleet, and waits for the decision. Its exit status is 0 if the policy is in force,\n1 if it was dropped (it prints by whom and why), and 2 if the result is not known yet.\nPATH is a file: the global part, or with --part that of a service; or a folder with a file NAME.toml for each service\nand " + globalPartFile + " for the global part: the parts that differ from those in force are one change, which comes into force completely or not at all.",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			texts, err := p.readValid(args[0])
			if err != nil {
				return err
			}
			return applyPolicy(p.config, texts, &p.change, os.Stdout)
		},
	})
	p.addPartFlag(c)
	p.addChangeFlags(c)
}

func (p *policyCommands) addBack() {
	c := p.add(&cobra.Command{
		Use:   "back N",
		Short: "Bring the text of an earlier policy into force, as a new one",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return p.back(args[0]) },
	})
	p.addPartFlag(c)
	p.addChangeFlags(c)
}

func (p *policyCommands) back(number string) error {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil || n == 0 {
		return exitError{2, fmt.Errorf("%q is not a policy number", number)}
	}
	history, err := fetchHistory(p.config, p.part, n)
	if err != nil {
		return err
	}
	if history.Document == nil {
		return exitError{2, fmt.Errorf("the text of policy %d%s is no longer kept", n, partSuffix(p.part))}
	}
	p.change.reason = cmp.Or(p.change.reason, fmt.Sprintf("back to policy %d%s", n, partSuffix(p.part)))
	return applyPolicy(p.config, map[string]string{p.part: string(history.Document.Body)}, &p.change, os.Stdout)
}

// addResults adds the commands that show what has become of changes, or drop one.
func (p *policyCommands) addResults() {
	p.add(&cobra.Command{
		Use:   "status ID",
		Short: "Print the result of a change",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return await(p.config, args[0], 5*time.Second, os.Stdout)
		},
	})
	p.add(&cobra.Command{
		Use:   "drop ID",
		Short: "Drop a change that is under way, or that no member has received yet",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			target := "/policy/drop?id=" + url.QueryEscape(args[0]) + "&by=" + url.QueryEscape(author())
			if _, err := callAdmin(p.config, http.MethodPost, target, adminTimeout); err != nil {
				return err
			}
			return await(p.config, args[0], 10*time.Second, os.Stdout)
		},
	})
	p.add(&cobra.Command{
		Use:   "history",
		Short: "Show the last changes and their results",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			history, err := fetchHistory(p.config, "", 0)
			if err != nil {
				return err
			}
			showHistory(history, os.Stdout)
			return nil
		},
	})
}

func (p *policyCommands) addVoters() {
	c := p.add(&cobra.Command{
		Use:   "voters",
		Short: "Replace a voter by another member",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return p.post("/policy/voters?add=" + url.QueryEscape(p.voter.Add) + "&remove=" + url.QueryEscape(p.voter.Remove))
		},
	})
	c.Flags().StringVar(&p.voter.Add, "add", "", "the member that becomes a voter")
	c.Flags().StringVar(&p.voter.Remove, "remove", "", "the member that is no longer a voter")
}

// addConfirmed adds a command that posts to path, once the operator has confirmed the statements of its description.
func (p *policyCommands) addConfirmed(use, short, long, path string) {
	c := p.add(&cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if !p.confirmed {
				return exitError{2, fmt.Errorf("%s", long+"\nTo confirm this, add --i-know")}
			}
			return p.post(path)
		},
	})
	c.Flags().BoolVar(&p.confirmed, "i-know", false, "confirm the statements above")
}

// post sends an operator's request to the daemon, and prints the response.
func (p *policyCommands) post(target string) error {
	body, err := callAdmin(p.config, http.MethodPost, target, adminTimeout)
	_, _ = os.Stdout.Write(body)
	return err
}
