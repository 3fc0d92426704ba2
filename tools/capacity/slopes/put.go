package slopes

import (
	"bytes"
	"strings"
)

// Put returns the text of a file of entries, with the added entries in it. An added entry replaces the entry of the same
// name; an entry with a new name is inserted after the last entry of its mechanism, or at the end. Comments and all
// other entries are kept. Errors refer to the file by path.
func Put(path string, data []byte, added ...Slope) ([]byte, error) {
	was, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	blocks := blocksOf(lines) // one for each entry, in order
	for _, s := range added {
		var b bytes.Buffer
		if err := Write(&b, s); err != nil {
			return nil, err
		}
		text := strings.Split(strings.TrimRight(b.String(), "\n"), "\n")
		from, to, place := len(lines), len(lines), len(was)
		for i := range was {
			if was[i].Name == s.Name {
				from, to, place = blocks[i][0], blocks[i][1], i
				break
			}
			if was[i].Mechanism == s.Mechanism {
				from, to, place = blocks[i][1], blocks[i][1], i+1
			}
		}
		if from == to {
			text = append([]string{""}, text...)
		}
		lines = append(lines[:from:from], append(text, lines[to:]...)...)
		if from == to {
			was = append(was[:place:place], append([]Slope{s}, was[place:]...)...)
		} else {
			was[place] = s
		}
		blocks = blocksOf(lines)
	}
	out := []byte(strings.Join(lines, "\n") + "\n")
	_, err = Parse(path, out)
	return out, err
}

// blocksOf returns the line range of each entry: its first line and the line after its last.
func blocksOf(lines []string) (blocks [][2]int) {
	open := false
	for i, line := range lines {
		switch line = strings.TrimSpace(line); {
		case line == "[[slope]]":
			blocks, open = append(blocks, [2]int{i, i + 1}), true
		case strings.HasPrefix(line, "#"):
			open = false
		case line != "" && open:
			blocks[len(blocks)-1][1] = i + 1
		}
	}
	return blocks
}
