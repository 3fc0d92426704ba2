package main

import (
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
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/host/daemon"
	"vetchhaven/internal/peer/policy"
)

// applyFlags are the flags of the commands that propose a change.
type applyFlags struct {
	reason  string
	wait    time.Duration
	without []string
}

// author names the operator in the history.
func author() string {
	host, _ := os.Hostname()
	if u, err := user.Current(); err == nil {
		return u.Username + "@" + host
	}
	return host
}

func fetchPolicy(config string) (*daemon.PolicyStatus, error) {
	body, err := callAdmin(config, http.MethodGet, "/policy", adminTimeout)
	if err != nil {
		return nil, err
	}
	s := &daemon.PolicyStatus{}
	return s, json.Unmarshal(body, s)
}

// fetchHistory returns the last changes, and the document of a part with the given number. For a service's part,
// number 0 selects the document in force.
func fetchHistory(config, part string, number uint64) (*policy.History, error) {
	body, err := callAdmin(config, http.MethodGet, "/policy/past?number="+strconv.FormatUint(number, 10)+"&part="+url.QueryEscape(part), adminTimeout)
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
	answer, err := callAdminWithBody(config, http.MethodPost, "/policy/apply", data, adminTimeout)
	if err != nil {
		return err
	}
	var accepted struct{ ID string }
	if err := json.Unmarshal(answer, &accepted); err != nil {
		return exitError{2, err}
	}
	fmt.Fprintln(out, "change", accepted.ID)
	return await(config, accepted.ID, f.wait, out)
}

// await polls a change until it is decided or wait is over.
func await(config, id string, wait time.Duration, out io.Writer) error {
	printed := ""
	for end := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		body, err := callAdmin(config, http.MethodGet, "/policy/fate?id="+url.QueryEscape(id), adminTimeout)
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
			if line := fmt.Sprintf("%d of %d members have it; missing: %s", f.PreparedMembers, f.RequiredMembers, strings.Join(f.Missing, ", ")); line != printed {
				printed = line
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
