package snapshot

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"vetchhaven/internal/core"
	"vetchhaven/internal/source/discovery"
)

var now = time.UnixMilli(1_800_000_000_000)

func sample() *State {
	return &State{SavedMS: now.UnixMilli(),
		Sources:   map[string]*discovery.Update{"127.0.0.1:8500": {Version: 41, Servers: []discovery.Server{{ID: "s-1", Addr: "127.0.0.1:5000", State: "draining"}}}},
		Instances: map[string]*core.LearnedState{"a": {Classes: map[string]core.ClassMemory{"get": {Latency: 1e6}}}}}
}

func encoded(t testing.TB) []byte {
	t.Helper()
	data, err := Encode(sample())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestRoundTrip(t *testing.T) {
	s, err := Decode(encoded(t), Moment{Wall: now.Add(time.Minute)}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	m := s.Sources["127.0.0.1:8500"]
	if !m.Full || m.Version != 0 || m.Servers[0].State != "draining" || s.Instances["a"].Classes["get"].Latency != 1e6 {
		t.Errorf("%+v %+v", s, m)
	}
}

// A file that was truncated at any byte, or in which any byte was changed, is rejected.
func TestDamageAtAnyByteIsRejected(t *testing.T) {
	whole := encoded(t)
	for n := range whole {
		if s, err := Decode(whole[:n], Moment{Wall: now}, time.Hour); err == nil || s != nil {
			t.Fatalf("truncated at %d of %d: accepted", n, len(whole))
		}
		if s, err := Decode(append(bytes.Clone(whole[:n]), whole[n]^0x20), Moment{Wall: now}, time.Hour); err == nil || s != nil {
			t.Fatalf("truncated after a changed byte at %d: accepted", n)
		}
		bad := bytes.Clone(whole)
		bad[n] ^= 0x01
		if s, err := Decode(bad, Moment{Wall: now}, time.Hour); err == nil || s != nil {
			t.Fatalf("byte %d changed: accepted", n)
		}
	}
	if _, err := Decode(append(bytes.Clone(whole), 'x'), Moment{Wall: now}, time.Hour); !errors.Is(err, ErrCorrupt) {
		t.Errorf("with an extra byte at the end: %v", err)
	}
}

func TestDecodeErrors(t *testing.T) {
	whole := encoded(t)
	for _, tt := range []struct {
		name string
		data []byte
		at   time.Time
		want error
	}{
		{"empty", nil, now, ErrCorrupt},
		{"foreign", []byte("{\"version\":1}\n"), now, ErrNotSnapshot},
		{"another version", bytes.Replace(whole, []byte(" 1 "), []byte(" 2 "), 1), now, ErrVersion},
		{"cut short", whole[:len(whole)/2], now, ErrCorrupt},
		{"old", whole, now.Add(time.Hour + time.Second), ErrTooOld},
		{"from the future", whole, now.Add(-time.Hour - time.Second), ErrTooOld},
		{"just not old", whole, now.Add(time.Hour), nil},
	} {
		if _, err := Decode(tt.data, Moment{Wall: tt.at}, time.Hour); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encoded(f))
	f.Add([]byte("vetchhaven-state 1 0 0\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data, Moment{Wall: now}, time.Hour)
		if (s == nil) != (err != nil) {
			t.Errorf("%v, %v", s, err)
		}
	})
}

// The age of a snapshot of the current boot is measured by a monotonic clock: a step of the wall clock neither makes a
// recent snapshot too old nor an old one recent. The age of a snapshot of another boot comes from the wall clock, and
// is at least the time since the current boot.
func TestSnapshotAgeIsUnaffectedByClockSteps(t *testing.T) {
	s := sample()
	s.BootID, s.SinceBootMS = "boot-1", (10 * time.Hour).Milliseconds()
	data, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	const most = time.Hour
	for name, tt := range map[string]struct {
		at   Moment
		want error
	}{
		"a minute later, clock a day ahead":            {Moment{now.Add(24 * time.Hour), "boot-1", 10*time.Hour + time.Minute}, nil},
		"a minute later, clock a day behind":           {Moment{now.Add(-24 * time.Hour), "boot-1", 10*time.Hour + time.Minute}, nil},
		"two hours later, clock stepped back as much":  {Moment{now, "boot-1", 12 * time.Hour}, ErrTooOld},
		"another boot, a minute ago by the clock":      {Moment{now.Add(time.Minute), "boot-2", time.Minute}, nil},
		"another boot, up for longer than is believed": {Moment{now, "boot-2", 2 * time.Hour}, ErrTooOld},
		"another boot, a day ago by the clock":         {Moment{now.Add(24 * time.Hour), "boot-2", time.Minute}, ErrTooOld},
		"the boot is not known, a minute ago":          {Moment{Wall: now.Add(time.Minute)}, nil},
	} {
		if _, err := Decode(data, tt.at, most); !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", name, err, tt.want)
		}
	}
}
