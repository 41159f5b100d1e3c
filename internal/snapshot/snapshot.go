// Package snapshot saves the records of a router to a file in a directory chosen by the operator, and loads them. A
// snapshot is saved completely or not at all. internal/control calls Save and Load; package recovery decides whether
// the records of a loaded snapshot may be used.
//
// A snapshot is a bbolt database whose file name contains a digest of its content. bbolt maps the file into memory,
// and a corrupted file may crash the process, so a file whose content does not match the digest is never opened.
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
	unfinishedSuffix  = ".next"  // of a file that is being written
	quarantinedSuffix = ".aside" // appended to the name of a file that could not be read
	digestSize        = 8        // bytes of the SHA-256 digest that a file name contains in hex
)

// Errors returned by Load.
var (
	// ErrNotFound means that the router has no snapshot in the directory.
	ErrNotFound = errors.New("snapshot: not found")
	// ErrDamaged means that a file's content does not match the digest in its name.
	ErrDamaged = errors.New("truncated or corrupted")
	// ErrFormat means that a file is a database without the content of a snapshot of this version.
	ErrFormat = errors.New("not a snapshot of this version")
)

// Save writes a snapshot to a new file and then removes the router's previous snapshots, which are kept until the new
// one is complete and on disk. Errors are those of the file system or of bbolt.
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
	for _, file := range listFiles(dir, state.ID) {
		if file != finished {
			_ = os.Remove(file) // if it cannot be removed, Load still returns the newer snapshot
		}
	}
	return syncDir(dir)
}

// Load returns a router's newest snapshot, by the time of saving. It quarantines unreadable files by renaming them, so
// that they are not read again. If there is no readable file, the error wraps ErrDamaged, ErrFormat, or an error of
// the file system or of bbolt; if there is no file at all, the error is ErrNotFound.
func Load(dir string, id membership.NodeID) (recovery.SavedState, error) {
	var newest recovery.SavedState
	found := false
	loadErr := ErrNotFound
	for _, file := range listFiles(dir, id) {
		state, err := readVerified(file)
		switch {
		case err != nil:
			_ = os.Rename(file, file+quarantinedSuffix)
			if !found {
				loadErr = fmt.Errorf("snapshot: %s: %w", filepath.Base(file), err)
			}
		case !found || state.SavedAt > newest.SavedAt:
			newest = state
			found = true
			loadErr = nil
		}
	}
	return newest, loadErr
}

// readVerified reads a file if its content matches the digest in its name, and returns ErrDamaged otherwise.
func readVerified(file string) (recovery.SavedState, error) {
	digest, err := fileDigest(file)
	if err != nil {
		return recovery.SavedState{}, err
	}
	if !strings.HasSuffix(file, "."+digest+fileSuffix) {
		return recovery.SavedState{}, ErrDamaged
	}
	return readDatabase(file)
}

// listFiles returns the paths of a router's snapshots. There are two if a process ended after writing one and before
// removing the previous one.
func listFiles(dir string, id membership.NodeID) []string {
	files, _ := filepath.Glob(filePrefix(dir, id) + ".*" + fileSuffix) // the only possible error is an invalid pattern
	return files
}

// filePrefix returns the common prefix of the paths of a router's files.
func filePrefix(dir string, id membership.NodeID) string {
	return filepath.Join(dir, fmt.Sprintf("rows-%016x", uint64(id)))
}

// fileDigest returns the digest of a file's content, in the encoding of file names.
func fileDigest(file string) (string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:digestSize]), nil
}

// syncDir makes the renaming and removal of files in a directory durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	_ = d.Close()
	return err
}
