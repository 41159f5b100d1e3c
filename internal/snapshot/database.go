package snapshot

import (
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/bbolt"

	"threadrun/cluster/membership"
	"threadrun/cluster/recovery"
)

// The database has one bucket with two values: a header and the encoded records. The header consists of the version of
// the format (1 byte), and the router's id, its incarnation and the time of saving (8 bytes each, big-endian).
const (
	version           = 1
	idOffset          = 1
	incarnationOffset = idOffset + 8
	savedAtOffset     = incarnationOffset + 8
	headerSize        = savedAtOffset + 8

	fileMode    = 0o600
	lockTimeout = 200 * time.Millisecond // how long opening waits if another process has the file open
)

var (
	bucketName = []byte("rows")
	headerKey  = []byte("head")
	recordsKey = []byte("body")
)

// writeDatabase writes a state to a new file. When it returns without error, the content is on disk.
func writeDatabase(file string, state recovery.SavedState) error {
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucket(bucketName)
		if err != nil {
			return err
		}
		if err := bucket.Put(headerKey, encodeHeader(state)); err != nil {
			return err
		}
		return bucket.Put(recordsKey, state.Records)
	})
	return errors.Join(err, db.Close())
}

// readDatabase reads a state from a file. It returns ErrFormat if the database lacks the bucket or a valid header.
func readDatabase(file string) (state recovery.SavedState, err error) {
	db, err := bbolt.Open(file, fileMode, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if err != nil {
		return state, err
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		if bucket == nil {
			return ErrFormat
		}
		header := bucket.Get(headerKey)
		if len(header) != headerSize || header[0] != version {
			return ErrFormat
		}
		state = decodeHeader(header)
		state.Records = append([]byte(nil), bucket.Get(recordsKey)...)
		return nil
	})
	return state, err
}

func encodeHeader(state recovery.SavedState) []byte {
	b := []byte{version}
	b = binary.BigEndian.AppendUint64(b, uint64(state.ID))
	b = binary.BigEndian.AppendUint64(b, uint64(state.Incarnation))
	return binary.BigEndian.AppendUint64(b, uint64(state.SavedAt))
}

func decodeHeader(b []byte) recovery.SavedState {
	return recovery.SavedState{
		ID:          membership.NodeID(binary.BigEndian.Uint64(b[idOffset:])),
		Incarnation: membership.Incarnation(binary.BigEndian.Uint64(b[incarnationOffset:])),
		SavedAt:     recovery.Micros(binary.BigEndian.Uint64(b[savedAtOffset:])),
	}
}
