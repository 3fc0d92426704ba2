package daemon

import (
	"encoding/binary"
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

// policyStore is the disk under a daemon's part in the fleet's policy: one bbolt file in the state directory, written in
// a goroutine of its own, each batch whole or not at all. A witness, a small file in a directory that does not outlast
// the machine's start and is in no backup, says how often the file was written: with it a process that starts proves that
// the file is the one that the last process left, and not an earlier copy.
type policyStore struct {
	path    string
	witness string // a file; empty: none
	log     *slog.Logger

	mu     sync.Mutex
	db     *bbolt.DB // nil: it is not open
	jobs   chan job
	failed bool
	life   int // of who writes: what an earlier one left is not written any more
}

// job is a batch to be written, and who is told.
type job struct {
	policy.Persist
	life int
	done func(seq uint64, err error)
}

const (
	policyFile   = "policy.db"
	openWithin   = 5 * time.Second // the process before may have it still
	storeWaiting = 256
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	keyHard    = []byte("hard")
	keySnap    = []byte("snapshot")
	keyMember  = []byte("member")
	keyEpoch   = []byte("epoch")
	keyWrites  = []byte("writes")
	keyID      = []byte("id")

	errStoreShut = errors.New("the policy's file is not open")
)

func newPolicyStore(dir, witness, name string, log *slog.Logger) *policyStore {
	s := &policyStore{path: filepath.Join(dir, policyFile), log: log, jobs: make(chan job, storeWaiting)}
	if witness != "" {
		s.witness = filepath.Join(witness, name+".witness")
	}
	return s
}

// open opens it, and reads what is there. A file that makes no sense is set aside, with a word: its member begins anew.
func (s *policyStore) open() (d policy.StoredState, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		return d, errors.New("the policy's file is open already")
	}
	if err := os.MkdirAll(filepath.Dir(s.path), 0o700); err != nil {
		return d, err
	}
	db, err := openBolt(s.path)
	if err != nil && wrongContent(err) {
		aside := s.path + ".bad"
		s.log.Error("the policy's file makes no sense: it is set aside, and what it held is learnt anew from others", "file", s.path, "as", aside, "error", err)
		if err = os.Rename(s.path, aside); err == nil {
			db, err = openBolt(s.path)
		}
	}
	if err != nil {
		return d, fmt.Errorf("open %s: %w", s.path, err)
	}
	var id string
	var writes uint64
	if d, id, writes, err = load(db); err != nil {
		_ = db.Close()
		return d, err
	}
	d.ProvenCurrent = s.proves(id, writes)
	s.db = db
	return d, nil
}

// wrongContent reports whether a file could be read and is none of the store's. A failure of the system, of a moment or for
// good (no descriptor, no space, a bad sector, another process that has the file), says nothing of what is in it.
func wrongContent(err error) bool {
	var system syscall.Errno
	return !errors.As(err, &system) && !errors.Is(err, bberrors.ErrTimeout)
}

// openBolt opens the file, and writes to it only where something that every store has is missing.
func openBolt(path string) (db *bbolt.DB, err error) {
	defer func() { // a file that was cut short can make bbolt panic
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openWithin, FreelistType: bbolt.FreelistMapType})
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

func load(db *bbolt.DB) (d policy.StoredState, id string, writes uint64, err error) {
	err = db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		get := func(key []byte) []byte {
			if v := meta.Get(key); v != nil {
				return append([]byte{}, v...)
			}
			return nil
		}
		d.HardState, d.Snapshot, d.Member, d.Epoch = get(keyHard), get(keySnap), get(keyMember), number(get(keyEpoch))
		id, writes = string(get(keyID)), number(get(keyWrites))
		return tx.Bucket(bucketLog).ForEach(func(_, v []byte) error {
			d.Entries = append(d.Entries, append([]byte{}, v...))
			return nil
		})
	})
	return d, id, writes, err
}

func number(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// proves reports whether the witness has seen all that is in the file. One write may have come before its word.
func (s *policyStore) proves(id string, writes uint64) bool {
	if s.witness == "" || writes == 0 {
		return false
	}
	data, err := os.ReadFile(s.witness)
	if err != nil {
		return false
	}
	var was string
	var n uint64
	if _, err := fmt.Sscanf(string(data), "%s %d", &was, &n); err != nil {
		return false
	}
	return was == id && (writes == n || writes == n+1)
}

// close gives the file up, once what waits is written.
func (s *policyStore) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
}

// reload reads again what is there, for a member that begins anew in this process.
func (s *policyStore) reload() (d policy.StoredState, err error) {
	s.mu.Lock()
	shut := s.db == nil
	s.life++
	s.mu.Unlock()
	if shut {
		return s.open()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _, _, err = load(s.db)
	d.ProvenCurrent = err == nil // nobody else has it
	return d, err
}

// run writes until stop is closed.
func (s *policyStore) run(stop <-chan struct{}) {
	for {
		select {
		case j := <-s.jobs:
			err := s.write(&j)
			if err != nil && !s.failed {
				s.log.Error("the fleet's policy is not saved; this is said once until it can be", "file", s.path, "error", err)
			} else if err == nil && s.failed {
				s.log.Info("the fleet's policy is saved again", "file", s.path)
			}
			s.failed = err != nil
			j.done(j.Seq, err)
		case <-stop:
			return
		}
	}
}

// writer has batches written, and done told of each. Where too much waits, it is not: the disk hangs.
func (s *policyStore) writer(done func(seq uint64, err error)) func(policy.Persist) {
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	return func(p policy.Persist) {
		select {
		case s.jobs <- job{p, life, done}:
		default:
			done(p.Seq, errors.New("the disk has not taken anything for too long"))
		}
	}
}

func (s *policyStore) write(j *job) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &j.Batch
	if j.life != s.life {
		return errors.New("another has taken over")
	}
	if s.db == nil {
		return errStoreShut
	}
	var id string
	var writes uint64
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if b.Wipe {
			for _, k := range [][]byte{keyHard, keySnap, keyEpoch} {
				if err := meta.Delete(k); err != nil {
					return err
				}
			}
			if err := tx.DeleteBucket(bucketLog); err != nil {
				return err
			}
			if _, err := tx.CreateBucket(bucketLog); err != nil {
				return err
			}
		}
		if err := putLog(tx.Bucket(bucketLog), b); err != nil {
			return err
		}
		put := map[string][]byte{}
		if b.HardState != nil {
			put[string(keyHard)] = b.HardState
		}
		if b.Snapshot != nil {
			put[string(keySnap)] = b.Snapshot
		}
		if b.Member != nil {
			put[string(keyMember)] = b.Member
		}
		if b.HardState != nil || b.Snapshot != nil || b.FirstIndex > 0 {
			put[string(keyEpoch)] = key(b.Epoch)
		}
		writes = number(meta.Get(keyWrites)) + 1
		put[string(keyWrites)] = key(writes)
		id = string(meta.Get(keyID))
		for k, v := range put {
			if err := meta.Put([]byte(k), v); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil || s.witness == "" {
		return err
	}
	// After the file, and before anything is promised by what is in it.
	if err := os.WriteFile(s.witness, fmt.Appendf(nil, "%s %d\n", id, writes), 0o600); err != nil {
		return fmt.Errorf("witness: %w", err)
	}
	return nil
}

func putLog(log *bbolt.Bucket, b *policy.Batch) error {
	if b.FirstIndex > 0 {
		var gone [][]byte
		c := log.Cursor()
		for k, _ := c.Seek(key(b.FirstIndex)); k != nil; k, _ = c.Next() {
			gone = append(gone, append([]byte{}, k...))
		}
		for _, k := range gone {
			if err := log.Delete(k); err != nil {
				return err
			}
		}
		for i, e := range b.Entries {
			if err := log.Put(key(b.FirstIndex+uint64(i)), e); err != nil {
				return err
			}
		}
	}
	if b.CompactBefore > 0 {
		var gone [][]byte
		c := log.Cursor()
		for k, _ := c.First(); k != nil && number(k) < b.CompactBefore; k, _ = c.Next() {
			gone = append(gone, append([]byte{}, k...))
		}
		for _, k := range gone {
			if err := log.Delete(k); err != nil {
				return err
			}
		}
	}
	return nil
}
