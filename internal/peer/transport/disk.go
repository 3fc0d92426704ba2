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
	"time"

	"vetchhaven/internal/atomicfile"
	"vetchhaven/internal/peer/lease"
	"vetchhaven/internal/peer/membership"
	"vetchhaven/internal/peer/policy"
)

// Saved is what a member leaves for its next life, or for the process that takes its place.
type Saved struct {
	Boot    uint64              `cbor:"1,keyasint,omitempty"`
	Records []membership.Record `cbor:"2,keyasint,omitempty"`
	SavedMS int64               `cbor:"3,keyasint,omitempty"` // Unix, ms
	// Of a process that another replaces without a gap:
	TakesOver      bool   `cbor:"4,keyasint,omitempty"`
	RunID          uint64 `cbor:"5,keyasint,omitempty"`
	Incarnation    uint32 `cbor:"6,keyasint,omitempty"`
	DatagramNumber uint64 `cbor:"7,keyasint,omitempty"`
	UptimeMS       int64  `cbor:"8,keyasint,omitempty"`
	// What it has lent as a keeper of limits, and when by CLOCK_MONOTONIC.
	Leases *lease.ServerState `cbor:"9,keyasint,omitempty"`
	// How it stands towards the policy, and when that was so by CLOCK_MONOTONIC.
	Policy      *policy.HandoffState `cbor:"10,keyasint,omitempty"`
	PolicyNanos int64                `cbor:"11,keyasint,omitempty"`
}

const (
	savedViewFile = "peers.view"
	fileMagic     = "vetchhaven-peers"
	fileVersion   = 1
)

var fileTable = crc64.MakeTable(crc64.ECMA)

// EncodeSaved is the file's text: a line with name, version, checksum and length, then CBOR.
func EncodeSaved(s *Saved) ([]byte, error) {
	body, err := encoding.Marshal(s)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "%s %d %016x %d\n", fileMagic, fileVersion, crc64.Checksum(body, fileTable), len(body)), body...), nil
}

// DecodeSaved reads what EncodeSaved wrote.
func DecodeSaved(data []byte) (*Saved, error) {
	head, body, found := bytes.Cut(data, []byte{'\n'})
	var v, length int
	var sum uint64
	_, err := fmt.Sscanf(string(head), fileMagic+" %d %x %d", &v, &sum, &length)
	switch {
	case !bytes.HasPrefix(head, []byte(fileMagic)):
		return nil, errors.New("not a view of vetchhaven's")
	case err == nil && v != fileVersion:
		return nil, fmt.Errorf("of version %d, known is %d", v, fileVersion)
	case err != nil || !found || length != len(body) || sum != crc64.Checksum(body, fileTable):
		return nil, errors.New("torn: its checksum does not fit")
	}
	s := &Saved{}
	if err := decoding.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("torn: %w", err)
	}
	return s, nil
}

// disk is where the last view is kept.
type disk struct{ *atomicfile.Writer }

func newDisk(dir string, log *slog.Logger) *disk {
	return &disk{atomicfile.NewWriter(dir, savedViewFile, "view of the fleet", log)}
}

// read is what was saved; nil where there is nothing, or nothing that can be believed, which is said.
func (d *disk) read() *Saved {
	if d.Dir == "" {
		return nil
	}
	data, err := os.ReadFile(filepath.Join(d.Dir, savedViewFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var s *Saved
	if err == nil {
		s, err = DecodeSaved(data)
	}
	if err != nil {
		d.Log.Warn("the last view of the fleet is not used", "file", filepath.Join(d.Dir, savedViewFile), "error", err)
		return nil
	}
	return s
}

func (d *disk) put(s *Saved) {
	if d.Dir == "" {
		return
	}
	data, err := EncodeSaved(s)
	if err != nil {
		d.Log.Error("view of the fleet not saved", "error", err)
		return
	}
	d.Put(data)
}

// bootWithin is how long a start waits for its boot to be on the disk: it is only the surer for it.
const bootWithin = 500 * time.Millisecond
