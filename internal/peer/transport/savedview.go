package transport

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc64"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"vetchhaven/internal/atomicfile"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/policy"
)

// Saved is what a member leaves for its next run, or for the process that takes its place. The file is written at the start,
// seconds after changes, and at the end of Run; while the disk fails the last file stays, and writing is retried every 50 ms
// to 5 s (atomicfile.Writer; save_fails in the status). Ejection evidence and the leases of this daemon's agents are not in
// it: a successor in the same process has them by Options.Previous, another one begins without.
type Saved struct {
	Boot    uint64              `cbor:"1,keyasint,omitempty"`
	Records []membership.Record `cbor:"2,keyasint,omitempty"`
	SavedMS int64               `cbor:"3,keyasint,omitempty"` // Unix time in ms, for people: nothing reads it
	// TakesOver marks the state of a process that another replaces without a gap. The fields below are of such only.
	TakesOver      bool   `cbor:"4,keyasint,omitempty"`
	RunID          uint64 `cbor:"5,keyasint,omitempty"`
	Incarnation    uint32 `cbor:"6,keyasint,omitempty"`
	DatagramNumber uint64 `cbor:"7,keyasint,omitempty"`
	UptimeMS       int64  `cbor:"8,keyasint,omitempty"`
	// Leases is what it has leased as a lease server.
	Leases *lease.ServerState `cbor:"9,keyasint,omitempty"`
	// Policy is its state of the policy, as of PolicyNanos by CLOCK_MONOTONIC.
	Policy      *policy.HandoffState `cbor:"10,keyasint,omitempty"`
	PolicyNanos int64                `cbor:"11,keyasint,omitempty"`
}

const (
	savedViewFile    = "peers.view"
	savedViewMagic   = "vetchhaven-peers"
	savedViewVersion = 1
)

var savedViewTable = crc64.MakeTable(crc64.ECMA)

// EncodeSaved returns the file's content: a line with magic, version, checksum and length of the body, then CBOR.
func EncodeSaved(s *Saved) ([]byte, error) {
	body, err := encoding.Marshal(s)
	if err != nil {
		return nil, err
	}
	head := fmt.Appendf(nil, "%s %d %016x %d\n", savedViewMagic, savedViewVersion, crc64.Checksum(body, savedViewTable), len(body))
	return append(head, body...), nil
}

// DecodeSaved decodes what EncodeSaved returned. The error says whether the file is foreign, of another version or torn.
func DecodeSaved(data []byte) (*Saved, error) {
	head, body, found := bytes.Cut(data, []byte{'\n'})
	var version, length int
	var sum uint64
	_, err := fmt.Sscanf(string(head), savedViewMagic+" %d %x %d", &version, &sum, &length)
	switch {
	case !bytes.HasPrefix(head, []byte(savedViewMagic)):
		return nil, errors.New("not a view of vetchhaven's")
	case err == nil && version != savedViewVersion:
		return nil, fmt.Errorf("of version %d, known is %d", version, savedViewVersion)
	case err != nil || !found || length != len(body) || sum != crc64.Checksum(body, savedViewTable):
		return nil, errors.New("torn: its checksum does not fit")
	}
	s := &Saved{}
	if err := decoding.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("torn: %w", err)
	}
	return s, nil
}

// viewFile is the file of the last view. A goroutine of its own writes it.
type viewFile struct{ *atomicfile.Writer }

func newViewFile(dir string, log *slog.Logger) *viewFile {
	return &viewFile{atomicfile.NewWriter(dir, savedViewFile, "view of the fleet", log)}
}

// read returns what was saved; nil if there is nothing, or nothing valid, which is logged.
func (f *viewFile) read() *Saved {
	if f.Dir == "" {
		return nil
	}
	path := filepath.Join(f.Dir, savedViewFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var s *Saved
	if err == nil {
		s, err = DecodeSaved(data)
	}
	if err != nil {
		f.Log.Warn("the last view of the fleet is not used", "file", path, "error", err)
		return nil
	}
	return s
}

// put has a view written, without waiting.
func (f *viewFile) put(s *Saved) {
	if f.Dir == "" {
		return
	}
	data, err := EncodeSaved(s)
	if err != nil {
		f.Log.Error("view of the fleet not saved", "error", err)
		return
	}
	f.Put(data)
}
