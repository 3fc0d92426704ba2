// Package policystore stores the persistent state of a daemon that takes part in the fleet's policy: the log and the
// votes of a voter (the promises that Raft relies on), and the changes that a member has prepared. The state is one
// bbolt file in the state directory. A separate goroutine writes it, each batch atomically.
//
// A witness is a small file that counts the writes to the store's file. It lies in a directory that is emptied at
// reboot, such as /run, and is not part of backups. With the witness a starting process proves that the file is the
// one that the last process left, and not an earlier copy that was restored. Without this proof a voter queries the
// other voters before it votes: see internal/peer/policy.
//
// internal/host/daemon owns the Store: it opens the Store, calls Run in a goroutine, and passes Writer's function to
// the transport, whose goroutine calls it.
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
	// fileName is the name of the store's file in the state directory.
	fileName = "policy.db"
	// damagedSuffix is appended to the name of a file that the operating system can read but bbolt rejects.
	damagedSuffix = ".bad"
	// witnessSuffix is appended to the member's name to form the name of the witness.
	witnessSuffix = ".witness"
	// openTimeout is how long to wait for the lock of the file, which the previous process may still hold.
	openTimeout = 5 * time.Second
	// maxQueuedWrites bounds the batches that wait for the disk. If the disk hangs, further batches fail with
	// errQueueFull.
	maxQueuedWrites = 256
)

// Errors of a batch that is not written. Package policy handles a failed write: a voter retries it
// (raftnode_storage.go), a member rejects the change (member_changes.go).
var (
	errClosed     = errors.New("the policy file is not open")
	errSuperseded = errors.New("a later call of Reload has superseded this writer")
	errQueueFull  = errors.New("too many policy writes are waiting for the disk")
)

// Store is the store's file. Its methods may be called from any goroutine, except that Run must be called from only
// one.
type Store struct {
	path        string
	witnessPath string // empty: no witness is kept
	log         *slog.Logger
	writes      chan write

	mu     sync.Mutex
	db     *bbolt.DB // nil if the file is not open
	closes int       // number of calls of Close
	writer int       // number of the current writer: batches that earlier writers have queued are no longer written

	failing bool // used by Run: the last write failed, and the failure was logged
}

// write is a batch to be written, and the function to call with the result.
type write struct {
	policy.Persist
	writer int
	done   func(seq uint64, err error)
}

// New returns a store in a state directory without opening it. If witnessDir is empty, no witness is kept.
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

// Open opens the file and reads the stored state. A file that the operating system can read but bbolt does not accept
// as a database is logged and renamed, next to any that were renamed earlier; its member starts with an empty state.
// Any other failure, transient or permanent, including a failure to read the entries of a database, is returned and
// leaves the file as it is.
func (s *Store) Open() (policy.StoredState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		return policy.StoredState{}, errors.New("the policy file is already open")
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
	s.log.Error("policy file is damaged; renaming it, and fetching its content from other members",
		"file", s.path, "as", aside, "error", err)
	if err := os.Rename(s.path, aside); err != nil {
		return nil, err
	}
	return openDatabase(s.path)
}

// unusedName returns a name that no file has: the given name, or the name with a number appended.
func unusedName(name string) string {
	candidate := name
	for n := 2; ; n++ {
		if _, err := os.Lstat(candidate); err != nil {
			return candidate
		}
		candidate = fmt.Sprintf("%s.%d", name, n)
	}
}

// isDamaged reports whether an error is bbolt's own, for content that it rejects: any error except those of the
// operating system and a lock that was not released in time. A failure of the system, transient or permanent (no file
// descriptor, no space, a bad sector, another process that has the file open), is no evidence that the content is
// damaged.
func isDamaged(err error) bool {
	var system syscall.Errno
	return !errors.As(err, &system) && !errors.Is(err, bberrors.ErrTimeout)
}

// openDatabase opens the file. It writes to the file only if a bucket or key is missing that every store has.
func openDatabase(path string) (db *bbolt.DB, err error) {
	defer func() { // a truncated file can make bbolt panic
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

// initialize creates the buckets and the ID that every store has.
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

// isProven reports whether the witness counts all writes of the file. The process may have ended between the last
// write and its count, so the file may be one write ahead.
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

// writeWitness records the number of writes in the witness.
func (s *Store) writeWitness(id string, writes uint64) error {
	if err := os.WriteFile(s.witnessPath, fmt.Appendf(nil, "%s %d\n", id, writes), 0o600); err != nil {
		return fmt.Errorf("witness: %w", err)
	}
	return nil
}

// Close waits for a write in progress to end, then closes the file.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closes++
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
}

// Closes returns the number of calls of Close.
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

// Reopen opens the file again. It does nothing if the file is open, or if Close has been called since Closes returned
// closes: the caller of that Close needs the file closed. Reopen does not return the stored state, since the member
// that continues to run has it in memory.
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

// Reload reads the stored state again, for a member that is restarted in this process. Batches that the previous
// member has queued are no longer written.
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
	read.state.ProvenCurrent = err == nil // no other process has the file open
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
		s.log.Error("saving the fleet's policy failed; further failures are not logged until a write succeeds",
			"file", s.path, "error", err)
	} else if err == nil && s.failing {
		s.log.Info("saving the fleet's policy succeeded again", "file", s.path)
	}
	s.failing = err != nil
}

// Writer returns a function that queues batches for Run, and does not block. done is called with the result of each
// batch: by Run's goroutine, or immediately if too many batches are queued.
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

// write writes a batch and counts it in the witness. It returns only then, so that the count precedes every promise
// that relies on the batch.
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
