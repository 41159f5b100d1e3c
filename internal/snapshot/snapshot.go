// Package snapshot saves the records of a router to a file in a directory chosen by the operator, completely or not
// at all. internal/control calls it. Package recovery decides whether a snapshot may be used.
//
// A snapshot is a bbolt database whose name contains the digest of its bytes. bbolt maps a file into memory, and a
// corrupted one may crash the process, so a file with another digest is never opened.
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
	digestSize        = 8 // bytes of the SHA-256 digest in a file name, encoded in hex
)

// Errors returned by Load.
var (
	// ErrNotFound means that there is no snapshot.
	ErrNotFound = errors.New("snapshot: not found")
	// ErrDamaged means that a file's content is not what was written.
	ErrDamaged = errors.New("truncated or corrupted")
	// ErrFormat means that a file is not a snapshot of this version.
	ErrFormat = errors.New("not a snapshot of this version")
)

// Save writes a snapshot and then removes the previous one, which is kept until the new one is complete and on
// disk. Errors are those of the file system or of bbolt.
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
			_ = os.Remove(file) // if it remains, Load uses the newest one
		}
	}
	return syncDir(dir)
}

// Load returns a router's newest snapshot. It renames unreadable files, so that they are not read again. If there
// is no readable file, the error wraps ErrDamaged, ErrFormat, or an error of the file system or of bbolt; if there
// is no file at all, the error is ErrNotFound.
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

// read reads a file if its digest matches its name.
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

// list returns a router's snapshots. There are two if a process ended after writing one and before removing the
// previous one.
func list(dir string, id membership.NodeID) []string {
	files, _ := filepath.Glob(filePrefix(dir, id) + ".*" + fileSuffix) // the only possible error is an invalid pattern
	return files
}

// filePrefix returns the common prefix of the names of a router's files.
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

// syncDir writes renamed file names to disk.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	_ = d.Close()
	return err
}
