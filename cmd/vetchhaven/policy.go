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

// policyCommand is what operators ask about the policy that a fleet agrees on.
func policyCommand() *cobra.Command {
	root := &cobra.Command{Use: "policy", Short: "Show and change what all daemons of a fleet decide by", Args: cobra.NoArgs}
	var config string
	add := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&config, "config", defaultFleet, "the fleet's file")
		root.AddCommand(c)
		return c
	}
	var asJSON bool
	var part string
	show := add(&cobra.Command{Use: "show", Short: "Show the policy in force, and how a daemon stands towards it", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		body, err := ask(config, http.MethodGet, "/policy", 10*time.Second)
		if err != nil || asJSON {
			_, _ = os.Stdout.Write(body)
			return err
		}
		var s daemon.PolicyStatus
		if err := json.Unmarshal(body, &s); err != nil {
			return exit{1, err}
		}
		showPolicy(&s, part, os.Stdout)
		return nil
	}})
	show.Flags().StringVar(&part, "part", "", "print this service's part, in place of the part for all")
	show.Flags().BoolVar(&asJSON, "json", false, "all of it, as JSON")
	check := add(&cobra.Command{Use: "check PATH", Short: "Check a policy, a service's part or a folder of parts against this daemon's file, and print what it would change", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		texts, names, err := readParts(args[0], part)
		if err != nil {
			return exit{2, err}
		}
		if err := daemonconfig.CheckPolicy(config, texts, names); err != nil {
			return exit{2, err}
		}
		if now, err := inForce(config); err == nil {
			_, _, err := changed(config, now, texts, os.Stdout)
			return err
		}
		fmt.Println("it makes sense for this file; no daemon answers that could say what it would change")
		return nil
	}})
	var f applyFlags
	apply := add(&cobra.Command{Use: "apply PATH", Short: "Bring a policy, a service's part or a folder of parts into force at all daemons that they concern, or at none", Args: cobra.ExactArgs(1),
		Long: "apply asks the fleet to decide by another policy, and waits until that is decided. It ends with status 0 where the policy\nis in force, 1 where it was dropped, by whom and why, and 2 where that is not known yet.\nPATH is a file: the part for all, or with --part that of a service; or a folder with a file NAME.toml for each service\nand " + allFile + " for all: those that differ from what is in force are one change, in force all together or none.",
		RunE: func(_ *cobra.Command, args []string) error {
			texts, names, err := readParts(args[0], part)
			if err != nil {
				return exit{2, err}
			}
			if err := daemonconfig.CheckPolicy(config, texts, names); err != nil {
				return exit{2, err}
			}
			return applyPolicy(config, texts, &f, os.Stdout)
		}})
	back := add(&cobra.Command{Use: "back N", Short: "Bring the text of an earlier policy into force, as a new one", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		n, err := strconv.ParseUint(args[0], 10, 64)
		if err != nil || n == 0 {
			return exit{2, fmt.Errorf("%q is no number of a policy", args[0])}
		}
		p, err := past(config, part, n)
		if err != nil {
			return err
		}
		if p.Document == nil {
			return exit{2, fmt.Errorf("the text of policy %d%s is not kept any more", n, ofPart(part))}
		}
		f.reason = cmp.Or(f.reason, fmt.Sprintf("back to policy %d%s", n, ofPart(part)))
		return applyPolicy(config, map[string]string{part: string(p.Document.Body)}, &f, os.Stdout)
	}})
	for _, c := range []*cobra.Command{check, apply, back} {
		c.Flags().StringVar(&part, "part", "", "the service whose part it is; without it the part for all")
	}
	for _, c := range []*cobra.Command{apply, back} {
		c.Flags().StringVar(&f.reason, "reason", "", "why, for those who look later")
		c.Flags().DurationVar(&f.wait, "wait", time.Minute, "for the decision, at the most; 0: not at all")
		c.Flags().StringSliceVar(&f.without, "without", nil, "members that are down, by your word: the change goes on without them")
	}
	add(&cobra.Command{Use: "status ID", Short: "Say what became of a change", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		return await(config, args[0], 5*time.Second, os.Stdout)
	}})
	add(&cobra.Command{Use: "drop ID", Short: "Have a change dropped that is under way, or of which nobody has heard", Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		if _, err := ask(config, http.MethodPost, "/policy/drop?id="+url.QueryEscape(args[0])+"&by="+url.QueryEscape(who()), 10*time.Second); err != nil {
			return err
		}
		return await(config, args[0], 10*time.Second, os.Stdout)
	}})
	add(&cobra.Command{Use: "history", Short: "Show the last changes, and what became of them", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		p, err := past(config, "", 0)
		if err != nil {
			return err
		}
		showPast(p, os.Stdout)
		return nil
	}})
	var r policy.ReplaceVoter
	voters := add(&cobra.Command{Use: "voters", Short: "Have another member vote in the place of one", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		body, err := ask(config, http.MethodPost, "/policy/voters?add="+url.QueryEscape(r.Add)+"&remove="+url.QueryEscape(r.Remove), 10*time.Second)
		_, _ = os.Stdout.Write(body)
		return err
	}})
	voters.Flags().StringVar(&r.Add, "add", "", "a member that votes from now on")
	voters.Flags().StringVar(&r.Remove, "remove", "", "one that does not any more")
	var sure bool
	word := func(use, short, long, path string) {
		c := add(&cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			if !sure {
				return exit{2, fmt.Errorf("%s", long+"\nIf that is so, say --i-know")}
			}
			body, err := ask(config, http.MethodPost, path, 10*time.Second)
			_, _ = os.Stdout.Write(body)
			return err
		}})
		c.Flags().BoolVar(&sure, "i-know", false, "what it says above is so")
	}
	word("rescue", "Go on with one voter alone, after the majority of them is lost for good",
		"rescue makes this daemon the only voter. What only the lost voters knew is given up: a policy may have come into force that\nthis one has not heard of. Do it at the voter with the highest policy in force, at one alone, and only if the others never\ncome back with their disks. Add voters afterwards.", "/policy/rescue")
	word("trust", "Have a voter take part though it can't prove that its disk is as it was",
		"trust has this voter take part with the disk as it is. If that is an earlier copy, or lost, a policy that was in force may be\nforgotten. Do it only if its disk is as its last process left it, and a voter that it asks is gone for good.", "/policy/trust")
	return root
}

type applyFlags struct {
	reason  string
	wait    time.Duration
	without []string
}

func who() string {
	host, _ := os.Hostname()
	if u, err := user.Current(); err == nil {
		return u.Username + "@" + host
	}
	return host
}

func inForce(config string) (*daemon.PolicyStatus, error) {
	body, err := ask(config, http.MethodGet, "/policy", 10*time.Second)
	if err != nil {
		return nil, err
	}
	s := &daemon.PolicyStatus{}
	return s, json.Unmarshal(body, s)
}

// past are the last changes, and a part's text with a number; 0: of a service's part the one in force.
func past(config, part string, number uint64) (*policy.History, error) {
	body, err := ask(config, http.MethodGet, "/policy/past?number="+strconv.FormatUint(number, 10)+"&part="+url.QueryEscape(part), 10*time.Second)
	if err != nil {
		return nil, err
	}
	p := &policy.History{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, exit{1, err}
	}
	return p, nil
}

// allFile is the part for all in a folder of parts.
const allFile = "_all.toml"

// readParts reads a file, which is a part's text, or a folder of them. Names are their files.
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
		return nil, nil, fmt.Errorf("%s is a folder, whose files name their parts: --part %s goes with a file", path, part)
	}
	files, err := os.ReadDir(path)
	if err != nil {
		return nil, nil, err
	}
	for _, f := range files {
		name, ok := strings.CutSuffix(f.Name(), ".toml")
		if !ok || name == "" || f.IsDir() || len(name) > policy.MaxPartNameBytes {
			return nil, nil, fmt.Errorf("%s is no part of a policy: a folder of parts has files NAME.toml, one for each service, and %s", filepath.Join(path, f.Name()), allFile)
		}
		if f.Name() == allFile {
			name = ""
		}
		if err := read(name, filepath.Join(path, f.Name())); err != nil {
			return nil, nil, err
		}
	}
	if len(texts) == 0 {
		return nil, nil, fmt.Errorf("%s has no parts: a folder of parts has files NAME.toml, one for each service, and %s", path, allFile)
	}
	return texts, names, nil
}

// changed prints what texts change, and returns the numbers in force of which they are made. What changes nothing is left out,
// unless all of it does.
func changed(config string, now *daemon.PolicyStatus, texts map[string]string, out io.Writer) (differ map[string]string, bases map[string]uint64, err error) {
	differ, bases = map[string]string{}, map[string]uint64{}
	for _, part := range slices.Sorted(maps.Keys(texts)) {
		was, number := now.Body, now.Active.Number
		if part != "" && slices.Contains(now.ConfiguredParts, part) {
			was, number = now.Bodies[part], 0
			if i := slices.IndexFunc(now.Parts, func(d policy.Document) bool { return d.Part == part }); i >= 0 {
				number = now.Parts[i].Number
			}
		} else if part != "" {
			p, err := past(config, part, 0)
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
			fmt.Fprintf(out, "%s:\n", cmp.Or(part, "for all"))
		}
		if err := printDiff(was, texts[part], out); err != nil {
			return nil, nil, err
		}
		differ[part], bases[part] = texts[part], number
	}
	if len(differ) == 0 {
		fmt.Fprintln(out, "it changes nothing")
	}
	return differ, bases, nil
}

// ofPart is a part's name in a line for people.
func ofPart(part string) string {
	if part == "" {
		return ""
	}
	return " of " + part
}

func applyPolicy(config string, texts map[string]string, f *applyFlags, out io.Writer) error {
	now, err := inForce(config)
	if err != nil {
		return err
	}
	texts, bases, err := changed(config, now, texts, out)
	if err != nil || len(texts) == 0 {
		return err
	}
	if len(now.OutsideRoster) > 0 {
		fmt.Fprintf(out, "alive, and not in the roster: %s: the change is not theirs\n", strings.Join(now.OutsideRoster, ", "))
	}
	data, err := json.Marshal(daemon.PolicyChange{Parts: texts, Bases: bases, Reason: f.reason, Author: who() + " at " + now.Name, Excluded: f.without})
	if err != nil {
		return exit{2, err}
	}
	answer, err := askWith(config, http.MethodPost, "/policy/apply", data, 10*time.Second)
	if err != nil {
		return err
	}
	var said struct{ ID string }
	if err := json.Unmarshal(answer, &said); err != nil {
		return exit{2, err}
	}
	fmt.Fprintln(out, "change", said.ID)
	return await(config, said.ID, f.wait, out)
}

// await follows a change until it is decided, or the time is up.
func await(config, id string, wait time.Duration, out io.Writer) error {
	said := ""
	for end := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		body, err := ask(config, http.MethodGet, "/policy/fate?id="+url.QueryEscape(id), 10*time.Second)
		if err != nil {
			return exit{2, fmt.Errorf("what became of change %s is not known: %w; ask again with: vetchhaven policy status %s", id, err, id)}
		}
		var f daemon.PolicyChangeStatus
		if err := json.Unmarshal(body, &f); err != nil {
			return exit{2, err}
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
				numbers += fmt.Sprint(r.Number, ofPart(r.Part))
			}
			fmt.Fprintf(out, "policy %s is in force at all members that it concerns (change %s)%s\n", numbers, id, because(f.Reason))
			return nil
		case "dropped":
			return exit{1, fmt.Errorf("change %s was dropped by %s%s", id, cmp.Or(f.AbortedBy, "the voters"), because(f.Reason))}
		case "under way":
			if line := fmt.Sprintf("%d of %d members have it; missing: %s", f.PreparedMembers, f.RequiredMembers, strings.Join(f.Missing, ", ")); line != said {
				said = line
				fmt.Fprintln(out, line)
			}
		}
		if time.Now().After(end) {
			return exit{2, fmt.Errorf("change %s is %s; ask again with: vetchhaven policy status %s, or have it dropped with: vetchhaven policy drop %s", id, f.State, id, id)}
		}
	}
}

func because(why string) string {
	if why == "" {
		return ""
	}
	return ": " + why
}

func showPolicy(s *daemon.PolicyStatus, part string, out io.Writer) {
	f := s.Active
	if f.Number == 0 {
		fmt.Fprintf(out, "no policy was agreed on yet: each daemon serves by its own file\n")
	} else {
		fmt.Fprintf(out, "policy %d, change %s, by %s on %s: %s (digest %s)\n", f.Number, f.ID, f.Author, time.UnixMilli(f.CreatedMS).Format(time.DateTime), f.Reason, f.Digest)
	}
	fmt.Fprintf(out, "%s serves %s", s.Name, s.Serving)
	if s.Until > 0 {
		fmt.Fprintf(out, ", for %v more unless a voter answers", s.Until.Round(time.Millisecond))
	}
	fmt.Fprintf(out, "; instances go by policy %d\n", s.Applied)
	if s.Unservable != "" {
		fmt.Fprintln(out, s.Unservable)
	}
	if s.Pending != "" {
		fmt.Fprintln(out, "has change", s.Pending, "on its disk, which is under way")
	}
	if s.RejectedID != "" {
		fmt.Fprintf(out, "can't serve by change %s: %s\n", s.RejectedID, s.RejectReason)
	}
	cut := "serves on, and vetoes changes"
	if s.StopsWhenIsolated {
		cut = "stops"
	}
	fmt.Fprintf(out, "voters: %s; %s leads, and answered %v ago; cut off, a member %s\n", strings.Join(s.Voters, ", "), cmp.Or(s.Leader, "nobody known"), s.LastResponseAgo.Round(time.Millisecond), cut)
	if s.Votes != "" {
		fmt.Fprintf(out, "votes: %s; roster: %s\n", s.Votes, strings.Join(s.Roster, ", "))
	}
	if len(s.OutsideRoster) > 0 {
		fmt.Fprintf(out, "alive, and not in the roster: %s: without [policy] they go by their own files\n", strings.Join(s.OutsideRoster, ", "))
	}
	if s.Epoch > 0 {
		fmt.Fprintf(out, "rescued %d times\n", s.Epoch)
	}
	for _, d := range s.Parts {
		fmt.Fprintf(out, "%s: policy %d, change %s, by %s on %s: %s (digest %s)\n", d.Part, d.Number, d.ID, d.Author, time.UnixMilli(d.CreatedMS).Format(time.DateTime), d.Reason, d.Digest)
	}
	if len(s.NotYetServed) > 0 {
		fmt.Fprintf(out, "parts that are not known yet, whose requests are turned away: %s\n", strings.Join(s.NotYetServed, ", "))
	}
	body := s.Body
	if part != "" {
		body = s.Bodies[part]
	}
	if body != "" {
		fmt.Fprintf(out, "\n%s\n", strings.TrimSpace(body))
	}
}

func showPast(p *policy.History, out io.Writer) {
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

// numbersOf are a change's numbers, with the parts that they are of.
func numbersOf(d *policy.Document) string {
	var all []string
	for _, x := range d.Documents() {
		all = append(all, fmt.Sprint(x.Number, ofPart(x.Part)))
	}
	return strings.Join(all, ", ")
}

// printDiff prints what a policy changes, by key.
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
	return exit{2, err}
}

// keysOf are a policy's keys and values; tables of a list go by their names.
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
