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

// Saved is the state of a member that is stored for its next run, or passed to the process that replaces it. The file
// is written at the start, seconds after changes, and at the end of Run. While the disk fails, the last file stays,
// and writing is retried every 50 ms to 5 s (atomicfile.Writer; save_fails in the status). Ejection evidence and the
// leases of this daemon's agents are not included: a successor in the same process takes them from Options.Previous,
// and another process starts without them.
type Saved struct {
	Boot    uint64              `cbor:"1,keyasint,omitempty"`
	Records []membership.Record `cbor:"2,keyasint,omitempty"`
	SavedMS int64               `cbor:"3,keyasint,omitempty"` // Unix time in ms, for operators; no code reads it
	// TakesOver is set if another process replaces the running one without interruption. The fields below are set only
	// then.
	TakesOver      bool   `cbor:"4,keyasint,omitempty"`
	RunID          uint64 `cbor:"5,keyasint,omitempty"`
	Incarnation    uint32 `cbor:"6,keyasint,omitempty"`
	DatagramNumber uint64 `cbor:"7,keyasint,omitempty"`
	UptimeMS       int64  `cbor:"8,keyasint,omitempty"`
	// Leases holds the leases that the process has granted as a lease server.
	Leases *lease.ServerState `cbor:"9,keyasint,omitempty"`
	// Policy is the process's state of the policy at the time PolicyNanos of CLOCK_MONOTONIC.
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

// DecodeSaved decodes the file content that EncodeSaved returned. The error states whether the file has another type,
// is of another version, or is damaged.
func DecodeSaved(data []byte) (*Saved, error) {
	head, body, found := bytes.Cut(data, []byte{'\n'})
	var version, length int
	var sum uint64
	_, err := fmt.Sscanf(string(head), savedViewMagic+" %d %x %d", &version, &sum, &length)
	switch {
	case !bytes.HasPrefix(head, []byte(savedViewMagic)):
		return nil, errors.New("not a saved vetchhaven view")
	case err == nil && version != savedViewVersion:
		return nil, fmt.Errorf("unsupported version %d, known is %d", version, savedViewVersion)
	case err != nil || !found || length != len(body) || sum != crc64.Checksum(body, savedViewTable):
		return nil, errors.New("damaged: checksum mismatch")
	}
	s := &Saved{}
	if err := decoding.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("damaged: %w", err)
	}
	return s, nil
}

// viewFile is the file of the last view, which a separate goroutine writes.
type viewFile struct{ *atomicfile.Writer }

func newViewFile(dir string, log *slog.Logger) *viewFile {
	return &viewFile{atomicfile.NewWriter(dir, savedViewFile, "view of the fleet", log)}
}

// read returns the saved state; nil if there is no file. For an invalid file it logs the error and returns nil.
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

// put queues a view to be written, without waiting.
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
