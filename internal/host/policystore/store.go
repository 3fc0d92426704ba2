// Package policystore keeps what a daemon's part in the fleet's policy has to remember: the log and votes of a voter (the
// promises that Raft rests on), and what a member has prepared. It is one bbolt file in the state directory, written in a
// goroutine of its own, each batch atomically.
//
// A witness, a small file in a directory that is emptied at reboot, such as /run, and is in no backup, counts the writes
// of the file. With it a process that starts proves that the file is the one that the last process left, and not an
// earlier copy that was restored. Without proof a voter asks the others before it votes: see internal/peer/policy.
//
// internal/host/daemon owns the Store: it opens it, has Run called in a goroutine, and passes Writer's function to the
// transport, whose goroutine calls it.
package policystore

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.etcd.io/bbolt"
	bberrors "go.etcd.io/bbolt/errors"

	"vetchhaven/internal/peer/policy"
)

const (
	// fileName is the file's name in the state directory.
	fileName = "policy.db"
	// damagedSuffix is appended to the name of a file that the system can read and bbolt rejects.
	damagedSuffix = ".bad"
	// witnessSuffix is appended to the member's name.
	witnessSuffix = ".witness"
	// openTimeout is how long to wait for the lock of the file: the process before may still have it.
	openTimeout = 5 * time.Second
	// maxQueuedWrites bounds the batches that wait for the disk. If the disk hangs, further batches fail with errQueueFull.
	maxQueuedWrites = 256
)

// Errors of a batch that is not written. What a failed write leads to is decided in package policy: a voter writes it again
// (raftnode_storage.go), a member rejects the change (member_changes.go).
var (
	errClosed     = errors.New("the policy's file is not open")
	errSuperseded = errors.New("another has taken over")
	errQueueFull  = errors.New("the disk has not taken anything for too long")
)

// Store is the file. Its methods may be called from any goroutine, but Run from one only.
type Store struct {
	path        string
	witnessPath string // empty: none
	log         *slog.Logger
	writes      chan write

	mu     sync.Mutex
	db     *bbolt.DB // nil: it is not open
	closes int       // counts the calls of Close
	writer int       // counts the writers: what an earlier one left is not written any more

	failing bool // of Run: the last write failed, and that was logged
}

// write is a batch to be written, and who is notified.
type write struct {
	policy.Persist
	writer int
	done   func(seq uint64, err error)
}

// New returns a store in a state directory, which is not opened yet. witnessDir may be empty: no witness is kept then.
func New(dir, witnessDir, memberName string, log *slog.Logger) *Store {
	s := &Store{
		path:   filepath.Join(dir, fileName),
		log:    log,
		writes: make(chan write, maxQueuedWrites),
	}
	if witnessDir != "" {
		s.witnessPath = filepath.Join(witnessDir, memberName+witnessSuffix)
	}
	return s
}

// Open opens the file, and reads what is there. A file that the system can read and bbolt does not accept as a database is
// set aside and logged, beside earlier ones that were: its member begins anew. Any other failure, transient or permanent,
// also one to read the entries of a database, leaves the file as it is and is returned.
func (s *Store) Open() (policy.StoredState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		return policy.StoredState{}, errors.New("the policy's file is open already")
	}
	if err := os.MkdirAll(filepath.Dir(s.path), 0o700); err != nil {
		return policy.StoredState{}, err
	}
	db, err := s.openOrSetAside()
	if err != nil {
		return policy.StoredState{}, fmt.Errorf("open %s: %w", s.path, err)
	}
	read, err := load(db)
	if err != nil {
		_ = db.Close()
		return policy.StoredState{}, err
	}
	read.state.ProvenCurrent = s.isProven(read)
	s.db = db
	return read.state, nil
}

func (s *Store) openOrSetAside() (*bbolt.DB, error) {
	db, err := openDatabase(s.path)
	if err == nil || !isDamaged(err) {
		return db, err
	}
	aside := unusedName(s.path + damagedSuffix)
	s.log.Error("the policy's file is damaged: it is set aside, and its content is fetched anew from other members",
		"file", s.path, "as", aside, "error", err)
	if err := os.Rename(s.path, aside); err != nil {
		return nil, err
	}
	return openDatabase(s.path)
}

// unusedName returns a name that no file has: the given one, or that with a number.
func unusedName(name string) string {
	candidate := name
	for n := 2; ; n++ {
		if _, err := os.Lstat(candidate); err != nil {
			return candidate
		}
		candidate = fmt.Sprintf("%s.%d", name, n)
	}
}

// isDamaged reports whether an error is bbolt's own, for content that it rejects: any error but the system's and a lock that
// was not free in time. A failure of the system, transient or permanent (no descriptor, no space, a bad sector, another
// process that has the file), says nothing of the content.
func isDamaged(err error) bool {
	var system syscall.Errno
	return !errors.As(err, &system) && !errors.Is(err, bberrors.ErrTimeout)
}

// openDatabase opens the file, and writes to it only if something is missing that every store has.
func openDatabase(path string) (db *bbolt.DB, err error) {
	defer func() { // a file that was cut short can make bbolt panic
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	complete := false
	err = db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		complete = meta != nil && meta.Get(keyID) != nil && tx.Bucket(bucketLog) != nil
		return nil
	})
	if err == nil && !complete {
		err = initialize(db)
	}
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	return db, nil
}

// initialize writes what every store has.
func initialize(db *bbolt.DB) error {
	return db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		if meta.Get(keyID) == nil {
			if err := meta.Put(keyID, []byte(uuid.NewString())); err != nil {
				return err
			}
		}
		_, err = tx.CreateBucketIfNotExists(bucketLog)
		return err
	})
}

// isProven reports whether the witness counts all writes of the file. The last one may have come before its count.
func (s *Store) isProven(read content) bool {
	if s.witnessPath == "" || read.writes == 0 {
		return false
	}
	data, err := os.ReadFile(s.witnessPath)
	if err != nil {
		return false
	}
	var id string
	var counted uint64
	if _, err := fmt.Sscanf(string(data), "%s %d", &id, &counted); err != nil {
		return false
	}
	return id == read.id && (read.writes == counted || read.writes == counted+1)
}

// writeWitness counts a write.
func (s *Store) writeWitness(id string, writes uint64) error {
	if err := os.WriteFile(s.witnessPath, fmt.Appendf(nil, "%s %d\n", id, writes), 0o600); err != nil {
		return fmt.Errorf("witness: %w", err)
	}
	return nil
}

// Close closes the file, once a write in progress has ended.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closes++
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
}

// Closes counts the calls of Close.
func (s *Store) Closes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closes
}

func (s *Store) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db != nil
}

// Reopen opens the file again as it is, unless it is open, or was closed after so many closes: whoever did that needs it
// closed. What is read is known to the member that goes on.
func (s *Store) Reopen(closes int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil || s.closes != closes {
		return nil
	}
	db, err := openDatabase(s.path)
	if err != nil {
		return fmt.Errorf("open %s: %w", s.path, err)
	}
	s.db = db
	return nil
}

// Reload reads again what is there, for a member that begins anew in this process. What its predecessor has queued is not
// written any more.
func (s *Store) Reload() (policy.StoredState, error) {
	s.mu.Lock()
	closed := s.db == nil
	s.writer++
	s.mu.Unlock()
	if closed {
		return s.Open()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	read, err := load(s.db)
	read.state.ProvenCurrent = err == nil // no other process has the file
	return read.state, err
}

// Run writes queued batches until stop is closed.
func (s *Store) Run(stop <-chan struct{}) {
	for {
		select {
		case w := <-s.writes:
			err := s.write(&w)
			s.logOutcome(err)
			w.done(w.Seq, err)
		case <-stop:
			return
		}
	}
}

// logOutcome logs the first failure of a write, and the first success after it.
func (s *Store) logOutcome(err error) {
	if err != nil && !s.failing {
		s.log.Error("the fleet's policy is not saved; this is logged once until it is", "file", s.path, "error", err)
	} else if err == nil && s.failing {
		s.log.Info("the fleet's policy is saved again", "file", s.path)
	}
	s.failing = err != nil
}

// Writer returns a function that queues batches for Run, and does not block. done is called with the outcome of each: by
// Run's goroutine, or at once where too many wait.
func (s *Store) Writer(done func(seq uint64, err error)) func(policy.Persist) {
	s.mu.Lock()
	writer := s.writer
	s.mu.Unlock()
	return func(p policy.Persist) {
		select {
		case s.writes <- write{p, writer, done}:
		default:
			done(p.Seq, errQueueFull)
		}
	}
}

// write writes a batch, and counts it at the witness before anything is promised by it.
func (s *Store) write(w *write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.writer != s.writer {
		return errSuperseded
	}
	if s.db == nil {
		return errClosed
	}
	var id string
	var writes uint64
	err := s.db.Update(func(tx *bbolt.Tx) (err error) {
		id, writes, err = putBatch(tx, &w.Batch)
		return err
	})
	if err != nil || s.witnessPath == "" {
		return err
	}
	return s.writeWitness(id, writes)
}
