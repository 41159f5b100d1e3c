package peers

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"os"
	"strings"
)

const (
	minSecretSize  = 16                    // in bytes
	maxKeys        = 3                     // in a key file
	keyIDPrefix    = "threadrun key name " // hashed before the secret; part of the protocol between routers
	otherUsersMask = 0o007                 // permissions of users other than the file's owner and group
)

// Keys contains the secrets shared by the routers. The first key seals datagrams, and any key opens them, so that a
// key can be replaced while routers run. Keys is not safe for concurrent use.
type Keys struct {
	ids  [][keyIDSize]byte // prefix of a hash of each secret, sent with each datagram
	macs []hash.Hash       // HMAC-SHA-256 of each secret, reset before each use
}

// ReadKeys reads a file of one to three keys: one per line in hexadecimal, at least 16 bytes each; the first one seals.
// It skips empty lines and lines starting with #. It rejects a file for which users other than its owner and group have
// any permission. Errors about a key name its line.
func ReadKeys(path string) (*Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&otherUsersMask != 0 {
		return nil, fmt.Errorf("%s has permissions %04o, want none for other users", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var secrets [][]byte
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		secret, err := hex.DecodeString(line)
		if err != nil || len(secret) < minSecretSize {
			return nil, fmt.Errorf("%s, line %d: not a hexadecimal key of at least %d bytes", path, i+1, minSecretSize)
		}
		secrets = append(secrets, secret)
	}
	return newKeys(secrets)
}

// newKeys returns Keys with the given secrets; the first one seals. The number of secrets must be 1 to maxKeys.
func newKeys(secrets [][]byte) (*Keys, error) {
	if len(secrets) == 0 || len(secrets) > maxKeys {
		return nil, fmt.Errorf("found %d keys, want 1 to %d", len(secrets), maxKeys)
	}
	k := &Keys{}
	for _, secret := range secrets {
		sum := sha256.Sum256(append([]byte(keyIDPrefix), secret...))
		k.ids = append(k.ids, [keyIDSize]byte(sum[:keyIDSize]))
		k.macs = append(k.macs, hmac.New(sha256.New, secret))
	}
	return k, nil
}

// find returns the index of the key with an ID, or -1 if it is unknown.
func (k *Keys) find(id []byte) int {
	for i := range k.ids {
		if string(k.ids[i][:]) == string(id) {
			return i
		}
	}
	return -1
}

// appendTag appends the tag of b under a key to dst.
func (k *Keys) appendTag(index int, b, dst []byte) []byte {
	mac := k.macs[index]
	mac.Reset()
	mac.Write(b)
	return mac.Sum(dst)[:len(dst)+tagSize]
}
