// Package snapshot keeps a router's rows in a file of a directory that the operator names, whole or not at all. It decides nothing: what a
// snapshot may be used for is cluster/recovery's to say. The file is a library's (bbolt). It bears the digest of all its bytes in its name:
// the library maps a file into memory and may end the process over a damaged one, so nothing else is opened.
package snapshot

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.etcd.io/bbolt"

	"threadrun/cluster/membership"
	"threadrun/cluster/recovery"
)

const (
	version  = 1
	lockWait = 200 * time.Millisecond
	ending   = ".db"
	aside    = ".aside"
	headSize = 25
)

var (
	bucket = []byte("rows")
	head   = []byte("head")
	body   = []byte("body")
)

// ErrNotFound is the error where there is no snapshot.
var ErrNotFound = errors.New("snapshot: none is there")

// stem begins the names of a router's files.
func stem(dir string, mark membership.NodeID) string {
	return filepath.Join(dir, fmt.Sprintf("rows-%016x", uint64(mark)))
}

// digest is that of all bytes of a file, as its name bears it.
func digest(file string) (string, error) {
	b, err := os.ReadFile(file)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8]), err
}

// all lists a router's snapshots: one, or two where a process ended between writing the one and taking the other away.
func all(dir string, mark membership.NodeID) (files []string) {
	files, _ = filepath.Glob(stem(dir, mark) + ".*" + ending)
	return files
}

// Save writes a snapshot in place of the one before. What was there stays until the new one is whole and on the disk.
func Save(dir string, k recovery.SavedState) (err error) {
	next := stem(dir, k.ID) + ".next"
	if err = os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	db, err := bbolt.Open(next, 0o600, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(bucket)
		if err != nil {
			return err
		}
		h := []byte{version}
		h = binary.BigEndian.AppendUint64(h, uint64(k.ID))
		h = binary.BigEndian.AppendUint64(h, uint64(k.Incarnation))
		h = binary.BigEndian.AppendUint64(h, uint64(k.SavedAt))
		if err := b.Put(head, h); err != nil {
			return err
		}
		return b.Put(body, k.Records)
	})
	if shut := db.Close(); err == nil {
		err = shut
	}
	if err != nil {
		return err
	}
	sum, err := digest(next)
	if err != nil {
		return err
	}
	to := stem(dir, k.ID) + "." + sum + ending
	if err := os.Rename(next, to); err != nil {
		return err
	}
	for _, old := range all(dir, k.ID) {
		if old != to {
			_ = os.Remove(old)
		}
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Load reads a router's newest snapshot. One that can't be read is put aside under its name and an ending of its own, never half read; the
// error names the last such.
func Load(dir string, mark membership.NodeID) (k recovery.SavedState, err error) {
	err = ErrNotFound
	for _, file := range all(dir, mark) {
		x, fault := load(file)
		switch {
		case fault != nil:
			_ = os.Rename(file, file+aside)
			if k.ID == 0 {
				err = fmt.Errorf("snapshot: %s: %w", filepath.Base(file), fault)
			}
		case k.ID == 0 || x.SavedAt > k.SavedAt:
			k, err = x, nil
		}
	}
	return k, err
}

func load(file string) (k recovery.SavedState, err error) {
	sum, err := digest(file)
	if err != nil {
		return k, err
	}
	if !strings.HasSuffix(file, "."+sum+ending) {
		return k, errors.New("is torn or damaged")
	}
	db, err := bbolt.Open(file, 0o600, &bbolt.Options{Timeout: lockWait, ReadOnly: true})
	if err != nil {
		return k, err
	}
	defer db.Close()
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil {
			return errors.New("holds no rows")
		}
		h, rows := b.Get(head), b.Get(body)
		if len(h) != headSize || h[0] != version {
			return errors.New("is of another version")
		}
		k = recovery.SavedState{ID: membership.NodeID(binary.BigEndian.Uint64(h[1:])), Incarnation: membership.Incarnation(binary.BigEndian.Uint64(h[9:])),
			SavedAt: recovery.Micros(binary.BigEndian.Uint64(h[17:])), Records: append([]byte(nil), rows...)}
		return nil
	})
	return k, err
}
