package policystore

import (
	"encoding/binary"

	"go.etcd.io/bbolt"

	"vetchhaven/internal/peer/policy"
)

// The layout of the file. Numbers are big-endian, so that entries of the log are in the order of their indexes.
var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log") // entries by index

	// Keys of the bucket meta.
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyMember    = []byte("member")
	keyEpoch     = []byte("epoch")
	keyWrites    = []byte("writes") // number of writes to the file
	keyID        = []byte("id")     // the file's ID, which the witness also contains
)

const numberBytes = 8

// content is the content of a file.
type content struct {
	state  policy.StoredState
	id     string
	writes uint64
}

func load(db *bbolt.DB) (content, error) {
	var c content
	err := db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		get := func(key []byte) []byte {
			value := meta.Get(key)
			if value == nil {
				return nil
			}
			return append([]byte{}, value...) // a copy, which stays valid after the transaction
		}
		c.state.HardState = get(keyHardState)
		c.state.Snapshot = get(keySnapshot)
		c.state.Member = get(keyMember)
		c.state.Epoch = decodeNumber(get(keyEpoch))
		c.id = string(get(keyID))
		c.writes = decodeNumber(get(keyWrites))
		return tx.Bucket(bucketLog).ForEach(func(_, entry []byte) error {
			c.state.Entries = append(c.state.Entries, append([]byte{}, entry...))
			return nil
		})
	})
	return c, err
}

// decodeNumber returns 0 for a value that is not a number.
func decodeNumber(b []byte) uint64 {
	if len(b) != numberBytes {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// putBatch writes a batch. It returns the file's ID and the number of writes to the file, including this one.
func putBatch(tx *bbolt.Tx, batch *policy.Batch) (id string, writes uint64, err error) {
	meta := tx.Bucket(bucketMeta)
	if batch.Wipe {
		if err := wipeVoter(tx); err != nil {
			return "", 0, err
		}
	}
	if err := putLog(tx.Bucket(bucketLog), batch); err != nil {
		return "", 0, err
	}
	id = string(meta.Get(keyID))
	writes = decodeNumber(meta.Get(keyWrites)) + 1
	values := metaOf(batch)
	values[string(keyWrites)] = encodeNumber(writes)
	for key, value := range values {
		if err := meta.Put([]byte(key), value); err != nil {
			return "", 0, err
		}
	}
	return id, writes, nil
}

// metaOf returns the values that a batch sets in the bucket meta, by key.
func metaOf(batch *policy.Batch) map[string][]byte {
	values := map[string][]byte{}
	if batch.HardState != nil {
		values[string(keyHardState)] = batch.HardState
	}
	if batch.Snapshot != nil {
		values[string(keySnapshot)] = batch.Snapshot
	}
	if batch.Member != nil {
		values[string(keyMember)] = batch.Member
	}
	if batch.HardState != nil || batch.Snapshot != nil || batch.FirstIndex > 0 {
		values[string(keyEpoch)] = encodeNumber(batch.Epoch)
	}
	return values
}

// wipeVoter removes everything that a voter has stored.
func wipeVoter(tx *bbolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	for _, key := range [][]byte{keyHardState, keySnapshot, keyEpoch} {
		if err := meta.Delete(key); err != nil {
			return err
		}
	}
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketLog)
	return err
}

// putLog replaces the entries from the batch's first index on, and removes the entries that the batch compacts.
func putLog(log *bbolt.Bucket, batch *policy.Batch) error {
	if batch.FirstIndex > 0 {
		replaced := keysFrom(log, batch.FirstIndex)
		if err := deleteAll(log, replaced); err != nil {
			return err
		}
		for i, entry := range batch.Entries {
			if err := log.Put(encodeNumber(batch.FirstIndex+uint64(i)), entry); err != nil {
				return err
			}
		}
	}
	if batch.CompactBefore > 0 {
		return deleteAll(log, keysBefore(log, batch.CompactBefore))
	}
	return nil
}

// keysFrom returns the keys of the entries from an index on. The keys are copies, so that the caller can change the
// bucket while it uses them.
func keysFrom(log *bbolt.Bucket, index uint64) [][]byte {
	var keys [][]byte
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeNumber(index)); key != nil; key, _ = cursor.Next() {
		keys = append(keys, append([]byte{}, key...))
	}
	return keys
}

// keysBefore returns the keys of the entries before an index, as copies.
func keysBefore(log *bbolt.Bucket, index uint64) [][]byte {
	var keys [][]byte
	cursor := log.Cursor()
	for key, _ := cursor.First(); key != nil && decodeNumber(key) < index; key, _ = cursor.Next() {
		keys = append(keys, append([]byte{}, key...))
	}
	return keys
}

func deleteAll(bucket *bbolt.Bucket, keys [][]byte) error {
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}
