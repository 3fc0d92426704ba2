package page

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"vetchhaven/tools/capacity/slopes"
)

// Load reads the files of the target size and the slopes, and returns the tables of docs/CAPACITY.md (brief) and of
// docs/capacity/tables.md (full), by name.
func Load(sizePath, slopesPath string) (brief, full map[string]string, err error) {
	size, err := ReadSize(sizePath)
	if err != nil {
		return nil, nil, err
	}
	data, err := os.ReadFile(slopesPath)
	if err != nil {
		return nil, nil, err
	}
	all, err := slopes.Parse(slopesPath, data)
	if err != nil {
		return nil, nil, err
	}
	if err := size.Fits(slopesPath, data, all); err != nil {
		return nil, nil, err
	}
	return Brief(size, all), Tables(size, all), nil
}

var begin = regexp.MustCompile(`^<!-- tables: begin ([a-z]+) -->$`)

const end = "<!-- end -->"

// Insert puts the tables between their markers in text. It returns an error unless each table has exactly one place
// on the page, and each place a table. Errors name the page as path.
func Insert(path, text string, tables map[string]string) (string, error) {
	var out []string
	var missing []string
	for name := range tables {
		missing = append(missing, name)
	}
	open, openAt := "", 0
	for i, line := range strings.Split(text, "\n") {
		m := begin.FindStringSubmatch(line)
		switch {
		case m != nil && open != "":
			return "", fmt.Errorf("%s:%d: the table %s that begins on line %d has no end", path, i+1, open, openAt)
		case m != nil:
			open, openAt = m[1], i+1
			at := slices.Index(missing, open)
			if at < 0 {
				return "", fmt.Errorf("%s:%d: there is no table %q, or it is here twice", path, i+1, open)
			}
			missing = slices.Delete(missing, at, at+1)
			out = append(out, line, strings.TrimSuffix(tables[open], "\n"), end)
		case line == end && open == "":
			return "", fmt.Errorf("%s:%d: this end marker has no begin marker", path, i+1)
		case line == end:
			open = ""
		case open == "":
			out = append(out, line)
		}
	}
	if open != "" {
		return "", fmt.Errorf("%s:%d: the table %s has no end", path, openAt, open)
	}
	if slices.Sort(missing); len(missing) > 0 {
		return "", fmt.Errorf("%s: no place for the tables %s", path, strings.Join(missing, ", "))
	}
	return strings.Join(out, "\n"), nil
}
