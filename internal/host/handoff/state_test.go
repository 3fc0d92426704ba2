package handoff

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// After any sequence of changes, the state holds the last change for each endpoint and for draining. A process that
// applies the difference from an earlier state reaches the same state, and so does a process that reads the state from
// a file.
func TestLastChangeWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		change := rapid.Custom(func(t *rapid.T) Change {
			return Change{rapid.SampledFrom([]string{"", "a", "b", "c", "d/e"}).Draw(t, "server"), rapid.Bool().Draw(t, "on")}
		})
		changes := rapid.SliceOf(change).Draw(t, "changes")
		behind := rapid.IntRange(0, len(changes)).Draw(t, "behind")
		var now, late OperatorState
		last := map[string]bool{}
		for i, c := range changes {
			if i == behind {
				late = now
			}
			next, err := now.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			if isNew := last[c.Server] != c.On; isNew != (next.Version == now.Version+1) {
				t.Fatalf("%v after %+v: version %d", c, now, next.Version)
			}
			now, last[c.Server] = next, c.On
		}
		if behind == len(changes) {
			late = now
		}
		for _, id := range []string{"a", "b", "c", "d/e"} {
			if slices.Contains(now.Disabled, id) != last[id] {
				t.Fatalf("%s: %+v after %v", id, now, changes)
			}
		}
		if now.Draining != last[""] {
			t.Fatalf("%+v after %v", now, changes)
		}
		for _, c := range now.ChangesSince(late) {
			var err error
			if late, err = late.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		if late.Draining != now.Draining || !slices.Equal(late.Disabled, now.Disabled) {
			t.Fatalf("%+v after applying the difference, want %+v", late, now)
		}
		text, err := json.Marshal(now)
		if err != nil {
			t.Fatal(err)
		}
		read, err := parse(text)
		if err != nil || read.Version != now.Version || read.Draining != now.Draining || !slices.Equal(read.Disabled, now.Disabled) {
			t.Fatalf("read %+v, %v, wrote %+v", read, err, now)
		}
	})
}

func TestParseRejects(t *testing.T) {
	for _, text := range []string{"", "{", `{"version":-1}`, `{"out":["b","a"]}`, `{"out":["a","a"]}`, `{"out":[""]}`, `[]`, `{"out":3}`} {
		if s, err := parse([]byte(text)); err == nil {
			t.Errorf("%s was parsed as %+v, want an error", text, s)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":3,"out":["a","b"],"drained":true}`))
	f.Add([]byte(`{"out":["b","a"]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := parse(text)
		if err != nil {
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if same, err := parse(again); err != nil || !reflect.DeepEqual(s, same) && len(s.Disabled) > 0 {
			t.Errorf("%+v is read back as %+v, %v", s, same, err)
		}
	})
}
