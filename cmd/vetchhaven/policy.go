package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/host/daemonconfig"
	"vetchhaven/internal/peer/policy"
)

// policyCommand returns the commands with which operators show and change the policy that a fleet agrees on.
func policyCommand() *cobra.Command {
	root := &cobra.Command{Use: "policy", Short: "Show and change the policy that all daemons of a fleet follow", Args: cobra.NoArgs}
	var config string
	add := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's configuration file")
		root.AddCommand(c)
		return c
	}
	var asJSON bool
	var part string
	show := add(&cobra.Command{Use: "show", Short: "Show the policy in force, and a daemon's state with regard to it", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		body, err := callAdmin(config, http.MethodGet, "/policy", 10*time.Second)
		if err != nil || asJSON {
			_, _ = os.Stdout.Write(body)
			return err
		}
		var s daemon.PolicyStatus
		if err := json.Unmarshal(body, &s); err != nil {
			return exitError{1, err}
		}
		showPolicy(&s, part, os.Stdout)
		return nil
	}})
	show.Flags().StringVar(&part, "part", "", "print this service's part instead of the global part")
	show.Flags().BoolVar(&asJSON, "json", false, "print the complete response as JSON")
	check := add(&cobra.Command{Use: "check PATH", Short: "Check a policy, a service's part or a folder of parts against this daemon's configuration file, and print what it would change", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		texts, names, err := readParts(args[0], part)
		if err != nil {
			return exitError{2, err}
		}
		if err := daemonconfig.CheckPolicy(config, texts, names); err != nil {
			return exitError{2, err}
		}
		if now, err := fetchPolicy(config); err == nil {
			_, _, err := printChanges(config, now, texts, os.Stdout)
			return err
		}
		fmt.Println("valid for this configuration file; no daemon answers, so what it would change is unknown")
		return nil
	}})
	var f applyFlags
	apply := add(&cobra.Command{Use: "apply PATH", Short: "Bring a policy, a service's part or a folder of parts into force at all daemons concerned, or at none", Args: cobra.ExactArgs(1),
		Long: "apply proposes another policy to the fleet, and waits for the decision. Its exit status is 0 if the policy is in force,\n1 if it was dropped (it prints by whom and why), and 2 if the result is not known yet.\nPATH is a file: the global part, or with --part that of a service; or a folder with a file NAME.toml for each service\nand " + globalPartFile + " for the global part: the parts that differ from those in force are one change, which comes into force completely or not at all.",
		RunE: func(_ *cobra.Command, args []string) error {
			texts, names, err := readParts(args[0], part)
			if err != nil {
				return exitError{2, err}
			}
			if err := daemonconfig.CheckPolicy(config, texts, names); err != nil {
				return exitError{2, err}
			}
			return applyPolicy(config, texts, &f, os.Stdout)
		}})
	back := add(&cobra.Command{Use: "back N", Short: "Bring the text of an earlier policy into force, as a new one", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		n, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil || n == 0 {
			return exitError{2, fmt.Errorf("%q is not a policy number", args[0])}
		}
		p, err := fetchHistory(config, part, n)
		if err != nil {
			return err
		}
		if p.Document == nil {
			return exitError{2, fmt.Errorf("the text of policy %d%s is no longer kept", n, partSuffix(part))}
		}
		f.reason = cmp.Or(f.reason, fmt.Sprintf("back to policy %d%s", n, partSuffix(part)))
		return applyPolicy(config, map[string]string{part: string(p.Document.Body)}, &f, os.Stdout)
	}})
	for _, c := range []*cobra.Command{check, apply, back} {
		c.Flags().StringVar(&part, "part", "", "the service whose part it is (default: the global part)")
	}
	for _, c := range []*cobra.Command{apply, back} {
		c.Flags().StringVar(&f.reason, "reason", "", "the reason for the change, shown in the history")
		c.Flags().DurationVar(&f.wait, "wait", time.Minute, "how long to wait for the decision; 0: do not wait")
		c.Flags().StringSliceVar(&f.without, "without", nil, "members that you declare to be down: the change proceeds without them")
	}
	add(&cobra.Command{Use: "status ID", Short: "Print the result of a change", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		return await(config, args[0], 5*time.Second, os.Stdout)
	}})
	add(&cobra.Command{Use: "drop ID", Short: "Drop a change that is under way, or that no member has received yet", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		if _, err := callAdmin(config, http.MethodPost, "/policy/drop?id="+url.QueryEscape(args[0])+"&by="+url.QueryEscape(author()), 10*time.Second); err != nil {
			return err
		}
		return await(config, args[0], 10*time.Second, os.Stdout)
	}})
	add(&cobra.Command{Use: "history", Short: "Show the last changes and their results", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		p, err := fetchHistory(config, "", 0)
		if err != nil {
			return err
		}
		showHistory(p, os.Stdout)
		return nil
	}})
	var r policy.ReplaceVoter
	voters := add(&cobra.Command{Use: "voters", Short: "Replace a voter by another member", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		body, err := callAdmin(config, http.MethodPost, "/policy/voters?add="+url.QueryEscape(r.Add)+"&remove="+url.QueryEscape(r.Remove), 10*time.Second)
		_, _ = os.Stdout.Write(body)
		return err
	}})
	voters.Flags().StringVar(&r.Add, "add", "", "the member that becomes a voter")
	voters.Flags().StringVar(&r.Remove, "remove", "", "the member that is no longer a voter")
	var confirmed bool
	addConfirmed := func(use, short, long, path string) {
		c := add(&cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			if !confirmed {
				return exitError{2, fmt.Errorf("%s", long+"\nTo confirm this, add --i-know")}
			}
			body, err := callAdmin(config, http.MethodPost, path, 10*time.Second)
			_, _ = os.Stdout.Write(body)
			return err
		}})
		c.Flags().BoolVar(&confirmed, "i-know", false, "confirm the statements above")
	}
	addConfirmed("rescue", "Continue with a single voter after the majority of the voters is permanently lost",
		"rescue makes this daemon the only voter. What only the lost voters knew is lost: a policy may have come into force that\nthis daemon has not received. Do it at the voter with the highest policy in force, at only one voter, and only if the others\nnever come back with their disks. Add voters afterwards.", "/policy/rescue")
	addConfirmed("trust", "Let a voter take part although it can't prove that its disk is current",
		"trust lets this voter take part with its disk as it is. If the disk is an earlier copy or was lost, a policy that was in force\nmay be forgotten. Do it only if the disk is as the last process left it, and a voter that this one asks is permanently gone.", "/policy/trust")
	return root
}

type applyFlags struct {
	reason  string
	wait    time.Duration
	without []string
}

func author() string {
	host, _ := os.Hostname()
	if u, err := user.Current(); err == nil {
		return u.Username + "@" + host
	}
	return host
}

func fetchPolicy(config string) (*daemon.PolicyStatus, error) {
	body, err := callAdmin(config, http.MethodGet, "/policy", 10*time.Second)
	if err != nil {
		return nil, err
	}
	s := &daemon.PolicyStatus{}
	return s, json.Unmarshal(body, s)
}

// fetchHistory returns the last changes, and the document of a part with the given number. For a service's part,
// number 0 selects the document in force.
func fetchHistory(config, part string, number uint64) (*policy.History, error) {
	body, err := callAdmin(config, http.MethodGet, "/policy/past?number="+strconv.FormatUint(number, 10)+"&part="+url.QueryEscape(part), 10*time.Second)
	if err != nil {
		return nil, err
	}
	p := &policy.History{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, exitError{1, err}
	}
	return p, nil
}

// globalPartFile is the name of the global part's file in a folder of parts.
const globalPartFile = "_all.toml"

// readParts reads the text of a part from a file, or the texts of several parts from a folder. It returns the texts
// and the file names by part.
func readParts(path, part string) (texts, names map[string]string, err error) {
	texts, names = map[string]string{}, map[string]string{}
	read := func(part, file string) error {
		data, err := os.ReadFile(file)
		texts[part], names[part] = string(data), file
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if !info.IsDir() {
		return texts, names, read(part, path)
	}
	if part != "" {
		return nil, nil, fmt.Errorf("%s is a folder, in which the file names are the names of the parts: --part %s goes with a file", path, part)
	}
	files, err := os.ReadDir(path)
	if err != nil {
		return nil, nil, err
	}
	for _, f := range files {
		name, ok := strings.CutSuffix(f.Name(), ".toml")
		if !ok || name == "" || f.IsDir() || len(name) > policy.MaxPartNameBytes {
			return nil, nil, fmt.Errorf("%s is not a part of a policy: a folder of parts has files NAME.toml, one for each service, and %s", filepath.Join(path, f.Name()), globalPartFile)
		}
		if f.Name() == globalPartFile {
			name = ""
		}
		if err := read(name, filepath.Join(path, f.Name())); err != nil {
			return nil, nil, err
		}
	}
	if len(texts) == 0 {
		return nil, nil, fmt.Errorf("%s has no parts: a folder of parts has files NAME.toml, one for each service, and %s", path, globalPartFile)
	}
	return texts, names, nil
}

// printChanges prints the differences between texts and the policies in force. It returns the texts, and the numbers in
// force on which they are based. If there are several texts, it omits those that are in force already.
func printChanges(config string, now *daemon.PolicyStatus, texts map[string]string, out io.Writer) (differing map[string]string, bases map[string]uint64, err error) {
	differing, bases = map[string]string{}, map[string]uint64{}
	for _, part := range slices.Sorted(maps.Keys(texts)) {
		was, number := now.Body, now.Active.Number
		if part != "" && slices.Contains(now.ConfiguredParts, part) {
			was, number = now.Bodies[part], 0
			if i := slices.IndexFunc(now.Parts, func(d policy.Document) bool { return d.Part == part }); i >= 0 {
				number = now.Parts[i].Number
			}
		} else if part != "" {
			p, err := fetchHistory(config, part, 0)
			if err != nil {
				return nil, nil, err
			}
			if was, number = "", 0; p.Document != nil {
				was, number = string(p.Document.Body), p.Document.Number
			}
		}
		if len(texts) > 1 {
			if was == texts[part] && number > 0 {
				continue
			}
			fmt.Fprintf(out, "%s:\n", cmp.Or(part, "global part"))
		}
		if err := printDiff(was, texts[part], out); err != nil {
			return nil, nil, err
		}
		differing[part], bases[part] = texts[part], number
	}
	if len(differing) == 0 {
		fmt.Fprintln(out, "it changes nothing")
	}
	return differing, bases, nil
}

// partSuffix returns the suffix that names a part in printed lines.
func partSuffix(part string) string {
	if part == "" {
		return ""
	}
	return " of " + part
}

func applyPolicy(config string, texts map[string]string, f *applyFlags, out io.Writer) error {
	now, err := fetchPolicy(config)
	if err != nil {
		return err
	}
	texts, bases, err := printChanges(config, now, texts, out)
	if err != nil || len(texts) == 0 {
		return err
	}
	if len(now.OutsideRoster) > 0 {
		fmt.Fprintf(out, "alive, but not in the roster: %s: the change does not apply to them\n", strings.Join(now.OutsideRoster, ", "))
	}
	data, err := json.Marshal(daemon.PolicyChange{Parts: texts, Bases: bases, Reason: f.reason, Author: author() + " at " + now.Name, Excluded: f.without})
	if err != nil {
		return exitError{2, err}
	}
	answer, err := callAdminWithBody(config, http.MethodPost, "/policy/apply", data, 10*time.Second)
	if err != nil {
		return err
	}
	var said struct{ ID string }
	if err := json.Unmarshal(answer, &said); err != nil {
		return exitError{2, err}
	}
	fmt.Fprintln(out, "change", said.ID)
	return await(config, said.ID, f.wait, out)
}

// await polls a change until it is decided or wait is over.
func await(config, id string, wait time.Duration, out io.Writer) error {
	said := ""
	for end := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		body, err := callAdmin(config, http.MethodGet, "/policy/fate?id="+url.QueryEscape(id), 10*time.Second)
		if err != nil {
			return exitError{2, fmt.Errorf("the result of change %s is not known: %w; query it again with: vetchhaven policy status %s", id, err, id)}
		}
		var f daemon.PolicyChangeStatus
		if err := json.Unmarshal(body, &f); err != nil {
			return exitError{2, err}
		}
		switch f.State {
		case "in force":
			numbers := fmt.Sprint(f.Number)
			for i, r := range f.Parts {
				if i == 0 {
					numbers = ""
				} else {
					numbers += ", "
				}
				numbers += fmt.Sprint(r.Number, partSuffix(r.Part))
			}
			fmt.Fprintf(out, "policy %s is in force at all members that it concerns (change %s)%s\n", numbers, id, reasonSuffix(f.Reason))
			return nil
		case "dropped":
			return exitError{1, fmt.Errorf("change %s was dropped by %s%s", id, cmp.Or(f.AbortedBy, "the voters"), reasonSuffix(f.Reason))}
		case "under way":
			if line := fmt.Sprintf("%d of %d members have it; missing: %s", f.PreparedMembers, f.RequiredMembers, strings.Join(f.Missing, ", ")); line != said {
				said = line
				fmt.Fprintln(out, line)
			}
		}
		if time.Now().After(end) {
			return exitError{2, fmt.Errorf("change %s is %s; query it again with: vetchhaven policy status %s, or drop it with: vetchhaven policy drop %s", id, f.State, id, id)}
		}
	}
}

func reasonSuffix(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

func showPolicy(s *daemon.PolicyStatus, part string, out io.Writer) {
	f := s.Active
	if f.Number == 0 {
		fmt.Fprintf(out, "no policy has been agreed on yet: each daemon follows its own configuration file\n")
	} else {
		fmt.Fprintf(out, "policy %d, change %s, by %s on %s: %s (digest %s)\n", f.Number, f.ID, f.Author, time.UnixMilli(f.CreatedMS).Format(time.DateTime), f.Reason, f.Digest)
	}
	fmt.Fprintf(out, "%s serves %s", s.Name, s.Serving)
	if s.Until > 0 {
		fmt.Fprintf(out, ", for %v more unless a voter answers", s.Until.Round(time.Millisecond))
	}
	fmt.Fprintf(out, "; instances follow policy %d\n", s.Applied)
	if s.Unservable != "" {
		fmt.Fprintln(out, s.Unservable)
	}
	if s.Pending != "" {
		fmt.Fprintln(out, "change", s.Pending, "is under way and stored on this daemon's disk")
	}
	if s.RejectedID != "" {
		fmt.Fprintf(out, "can't apply change %s: %s\n", s.RejectedID, s.RejectReason)
	}
	isolated := "continues to serve, and vetoes changes"
	if s.StopsWhenIsolated {
		isolated = "stops"
	}
	fmt.Fprintf(out, "voters: %s; %s leads, and answered %v ago; an isolated member %s\n", strings.Join(s.Voters, ", "), cmp.Or(s.Leader, "no known voter"), s.LastResponseAgo.Round(time.Millisecond), isolated)
	if s.Votes != "" {
		fmt.Fprintf(out, "votes: %s; roster: %s\n", s.Votes, strings.Join(s.Roster, ", "))
	}
	if len(s.OutsideRoster) > 0 {
		fmt.Fprintf(out, "alive, but not in the roster: %s: without [policy] they follow their own configuration files\n", strings.Join(s.OutsideRoster, ", "))
	}
	if s.Epoch > 0 {
		fmt.Fprintf(out, "rescued %d times\n", s.Epoch)
	}
	for _, d := range s.Parts {
		fmt.Fprintf(out, "%s: policy %d, change %s, by %s on %s: %s (digest %s)\n", d.Part, d.Number, d.ID, d.Author, time.UnixMilli(d.CreatedMS).Format(time.DateTime), d.Reason, d.Digest)
	}
	if len(s.NotYetServed) > 0 {
		fmt.Fprintf(out, "parts that are not known yet, whose requests are rejected: %s\n", strings.Join(s.NotYetServed, ", "))
	}
	body := s.Body
	if part != "" {
		body = s.Bodies[part]
	}
	if body != "" {
		fmt.Fprintf(out, "\n%s\n", strings.TrimSpace(body))
	}
}

func showHistory(p *policy.History, out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "change\tpolicy\twhen\tby\treason\tbecame\twhy")
	for _, e := range p.Changes {
		number, became := "", "dropped by "+cmp.Or(e.AbortedBy, "the voters")
		if e.Committed {
			number, became = numbersOf(&e.Document), "in force"
			if len(e.Excluded) > 0 {
				became += " without " + strings.Join(e.Excluded, ", ")
			}
		}
		when := ""
		if e.Document.CreatedMS > 0 {
			when = time.UnixMilli(e.Document.CreatedMS).Format(time.DateTime)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Document.ID, number, when, e.Document.Author, e.Document.Reason, became, e.Reason)
	}
	_ = w.Flush()
}

// numbersOf returns the policy numbers of a change, each with its part.
func numbersOf(d *policy.Document) string {
	var all []string
	for _, x := range d.Documents() {
		all = append(all, fmt.Sprint(x.Number, partSuffix(x.Part)))
	}
	return strings.Join(all, ", ")
}

// printDiff prints the keys in which two policies differ.
func printDiff(was, now string, out io.Writer) error {
	a, err := keysOf(was)
	if err == nil {
		var b map[string]string
		if b, err = keysOf(now); err == nil {
			n := 0
			var keys []string
			for k := range a {
				keys = append(keys, k)
			}
			for k := range b {
				if _, there := a[k]; !there {
					keys = append(keys, k)
				}
			}
			sort.Strings(keys)
			for _, k := range keys {
				x, was := a[k]
				y, is := b[k]
				switch {
				case was && !is:
					fmt.Fprintf(out, "- %s = %s\n", k, x)
				case is && !was:
					fmt.Fprintf(out, "+ %s = %s\n", k, y)
				case x != y:
					fmt.Fprintf(out, "~ %s = %s, was %s\n", k, y, x)
				default:
					continue
				}
				n++
			}
			if n == 0 {
				fmt.Fprintln(out, "it changes nothing")
			}
			return nil
		}
	}
	return exitError{2, err}
}

// keysOf returns a policy's keys and values. Tables in a list are identified by their names.
func keysOf(text string) (map[string]string, error) {
	var doc map[string]any
	if err := toml.NewDecoder(bytes.NewReader([]byte(text))).Decode(&doc); err != nil {
		return nil, err
	}
	all := map[string]string{}
	var walk func(at string, v any)
	walk = func(at string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for k, x := range v {
				walk(strings.TrimPrefix(at+"."+k, "."), x)
			}
		case []any:
			tables := slices.ContainsFunc(v, func(x any) bool { _, is := x.(map[string]any); return is })
			if !tables {
				all[at] = fmt.Sprintf("%v", v)
				return
			}
			for i, x := range v {
				name := strconv.Itoa(i)
				if t, is := x.(map[string]any); is {
					for _, k := range []string{"name", "server"} {
						if s, is := t[k].(string); is {
							name = s
						}
					}
				}
				walk(at+"["+name+"]", x)
			}
		default:
			all[at] = fmt.Sprintf("%v", v)
		}
	}
	walk("", doc)
	return all, nil
}
