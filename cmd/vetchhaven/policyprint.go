package main

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/peer/policy"
)

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
