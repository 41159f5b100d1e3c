package peers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"os"
	"strings"

	"threadrun/internal/octets"
)

// A datagram on the wire: a version, the kind of what it holds, the name of the key, the start of its sender, a number
// that grows with each datagram of that start, what it holds, and a tag over all of that (HMAC-SHA-256, cut to 16 bytes as
// RFC 2104 allows).
const (
	version   = 1
	bootSize  = 8
	countSize = 6
	keySize   = 2
	headSize  = 1 + 1 + keySize + bootSize + countSize
	tagSize   = 16

	// Overhead is what a datagram takes beyond what it holds.
	Overhead = headSize + tagSize
	// MaxDatagram is the most that a datagram may take on the platform.
	MaxDatagram = 256

	secretLeast = 16
	keysMost    = 3
	startsMost  = 1024 // senders' starts that are kept to tell what repeats
	windowSize  = 64
)

// Errors of what is dropped.
var (
	ErrShape  = errors.New("peers: not a datagram of ours")
	ErrKey    = errors.New("peers: sealed with a key that is not known")
	ErrTag    = errors.New("peers: not sealed by who knows the key")
	ErrRepeat = errors.New("peers: came before")
	ErrCrowd  = errors.New("peers: too many senders")
)

// Keys are the secrets that routers share. The first seals, any of them opens.
type Keys struct {
	names [][keySize]byte
	macs  []hash.Hash
}

// ReadKeys reads a file of keys: one a line in hex, 16 bytes at least, the one that seals first. Empty lines and those that
// begin with # are passed over.
func ReadKeys(path string) (*Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o007 != 0 {
		return nil, fmt.Errorf("%s can be read by everyone", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var secrets [][]byte
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		secret, err := hex.DecodeString(line)
		if err != nil || len(secret) < secretLeast {
			return nil, fmt.Errorf("%s, line %d: no key of %d bytes or more in hex", path, i+1, secretLeast)
		}
		secrets = append(secrets, secret)
	}
	return NewKeys(secrets)
}

// NewKeys makes keys of secrets, the one that seals first.
func NewKeys(secrets [][]byte) (*Keys, error) {
	if len(secrets) == 0 || len(secrets) > keysMost {
		return nil, fmt.Errorf("%d keys, 1 to %d wanted", len(secrets), keysMost)
	}
	k := &Keys{}
	for _, s := range secrets {
		sum := sha256.Sum256(append([]byte("threadrun key name "), s...))
		k.names = append(k.names, [keySize]byte(sum[:keySize]))
		k.macs = append(k.macs, hmac.New(sha256.New, s))
	}
	return k, nil
}

// find gives the place of a key by its name; -1: it is not known.
func (k *Keys) find(name []byte) int {
	for i := range k.names {
		if string(k.names[i][:]) == string(name) {
			return i
		}
	}
	return -1
}

func (k *Keys) tag(at int, b, room []byte) []byte {
	m := k.macs[at]
	m.Reset()
	m.Write(b)
	return m.Sum(room)[:len(room)+tagSize]
}

// window tells which numbers of one start have come: the highest, and which of those before it.
type window struct {
	top  uint64
	seen uint64
	used uint64
}

// take tells whether a number is new, and notes it.
func (w *window) take(n uint64) bool {
	switch {
	case n > w.top:
		if shift := n - w.top; shift < windowSize {
			w.seen = w.seen<<shift | 1
		} else {
			w.seen = 1
		}
		w.top = n
		return true
	case w.top-n >= windowSize:
		return false
	}
	bit := uint64(1) << (w.top - n)
	fresh := w.seen&bit == 0
	w.seen |= bit
	return fresh
}

// Seal seals and opens datagrams.
type Seal struct {
	keys   *Keys
	boot   [bootSize]byte
	count  uint64
	starts map[[bootSize]byte]*window
	opened uint64
	tags   [sha256.Size]byte
}

// NewSeal makes a seal for one start of a router.
func NewSeal(keys *Keys) (*Seal, error) {
	var err error
	s := newSeal(keys, func(b []byte) { _, err = rand.Read(b) })
	return s, err
}

func newSeal(keys *Keys, random func([]byte)) *Seal {
	s := &Seal{keys: keys, starts: map[[bootSize]byte]*window{}}
	random(s.boot[:])
	return s
}

// Use takes other keys.
func (s *Seal) Use(keys *Keys) { s.keys = keys }

// Close seals what a datagram holds.
func (s *Seal) Close(b []byte, kind byte, held []byte) []byte {
	s.count++
	b = append(b, version, kind)
	b = append(append(b, s.keys.names[0][:]...), s.boot[:]...)
	b = append(octets.AppendWord(b, s.count, countSize), held...)
	return append(b, s.keys.tag(0, b, s.tags[:0])...)
}

// Open gives what a datagram holds, if it was sealed by who knows a key and has not come before. The cheap looks come
// first: a flood of noise costs little.
func (s *Seal) Open(b []byte) (kind byte, held []byte, err error) {
	if len(b) < Overhead || len(b) > MaxDatagram || b[0] != version {
		return 0, nil, ErrShape
	}
	at := s.keys.find(b[2 : 2+keySize])
	if at < 0 {
		return 0, nil, ErrKey
	}
	body := b[:len(b)-tagSize]
	if !hmac.Equal(s.keys.tag(at, body, s.tags[:0]), b[len(body):]) {
		return 0, nil, ErrTag
	}
	boot := [bootSize]byte(b[2+keySize:])
	if boot == s.boot {
		return 0, nil, ErrRepeat
	}
	s.opened++
	w := s.starts[boot]
	if w == nil {
		if len(s.starts) >= startsMost && !s.forget() {
			return 0, nil, ErrCrowd
		}
		w = &window{}
		s.starts[boot] = w
	}
	var wide [8]byte
	copy(wide[8-countSize:], b[2+keySize+bootSize:headSize])
	if !w.take(binary.BigEndian.Uint64(wide[:])) {
		return 0, nil, ErrRepeat
	}
	w.used = s.opened
	return b[1], body[headSize:], nil
}

// forget drops the start that was heard of longest ago.
func (s *Seal) forget() bool {
	var oldest [bootSize]byte
	least := uint64(1 << 63)
	for boot, w := range s.starts { // the order does not matter: no two were used at one count
		if w.used < least {
			oldest, least = boot, w.used
		}
	}
	delete(s.starts, oldest)
	return least < 1<<63
}
