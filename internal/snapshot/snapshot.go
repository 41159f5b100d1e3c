// Package snapshot keeps the records of a router in a file of a directory that the operator names, completely or not at
// all. Whether a snapshot may be used is decided by package recovery.
//
// A snapshot is a bbolt database with the digest of its bytes in its name: bbolt maps a file into memory and may end
// the process over a damaged one, so a file whose digest differs is never opened.
package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"threadrun/cluster/membership"
	"threadrun/cluster/recovery"
)

const (
	fileSuffix        = ".db"
	unfinishedSuffix  = ".next"
	quarantinedSuffix = ".aside"
	digestSize        = 8 // bytes of the SHA-256 digest that a name bears, in hex
)

// Errors of Load.
var (
	// ErrNotFound says that there is no snapshot.
	ErrNotFound = errors.New("snapshot: not found")
	// ErrDamaged says that a file is not what was written.
	ErrDamaged = errors.New("torn or damaged")
	// ErrFormat says that a file is not a snapshot of this version.
	ErrFormat = errors.New("not a snapshot of this version")
)

// Save writes a snapshot in place of the former one, which stays until the new one is complete and on the disk. An
// error is the file system's or bbolt's.
func Save(dir string, state recovery.SavedState) error {
	unfinished := filePrefix(dir, state.ID) + unfinishedSuffix
	if err := os.Remove(unfinished); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := writeDatabase(unfinished, state); err != nil {
		return err
	}
	digest, err := fileDigest(unfinished)
	if err != nil {
		return err
	}
	finished := filePrefix(dir, state.ID) + "." + digest + fileSuffix
	if err := os.Rename(unfinished, finished); err != nil {
		return err
	}
	for _, file := range list(dir, state.ID) {
		if file != finished {
			_ = os.Remove(file) // Load takes the newest if it stays
		}
	}
	return syncDir(dir)
}

// Load reads a router's newest snapshot. A file that can't be read is renamed, so that it is not read again; if there
// is no other, the error wraps ErrDamaged, ErrFormat, the file system's or bbolt's. Without any file it is ErrNotFound.
func Load(dir string, id membership.NodeID) (recovery.SavedState, error) {
	var newest recovery.SavedState
	found := false
	result := ErrNotFound
	for _, file := range list(dir, id) {
		state, err := read(file)
		switch {
		case err != nil:
			_ = os.Rename(file, file+quarantinedSuffix)
			if !found {
				result = fmt.Errorf("snapshot: %s: %w", filepath.Base(file), err)
			}
		case !found || state.SavedAt > newest.SavedAt:
			newest = state
			found = true
			result = nil
		}
	}
	return newest, result
}

// read reads a file if its digest is the one in its name.
func read(file string) (recovery.SavedState, error) {
	digest, err := fileDigest(file)
	if err != nil {
		return recovery.SavedState{}, err
	}
	if !strings.HasSuffix(file, "."+digest+fileSuffix) {
		return recovery.SavedState{}, ErrDamaged
	}
	return readDatabase(file)
}

// list gives a router's snapshots: two if a process ended between writing one and removing the former.
func list(dir string, id membership.NodeID) []string {
	files, _ := filepath.Glob(filePrefix(dir, id) + ".*" + fileSuffix) // the only error is that of a bad pattern
	return files
}

// filePrefix begins the names of a router's files.
func filePrefix(dir string, id membership.NodeID) string {
	return filepath.Join(dir, fmt.Sprintf("rows-%016x", uint64(id)))
}

func fileDigest(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:digestSize]), nil
}

// syncDir puts renamed names on the disk.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	_ = d.Close()
	return err
}
