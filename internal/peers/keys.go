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
	minSecretSize   = 16 // in bytes
	maxKeys         = 3
	keyNamePrefix   = "threadrun key name "
	worldPermission = 0o007
)

// Keys contains the secrets shared by the routers. The first key seals datagrams, and any key opens them, so that a
// key can be replaced while routers run.
type Keys struct {
	names [][keyNameSize]byte
	macs  []hash.Hash
}

// ReadKeys reads a file of keys: one per line in hexadecimal, at least 16 bytes each; the first one seals. It skips
// empty lines and lines starting with #. Errors name the line, or report that the file is readable by everyone.
func ReadKeys(path string) (*Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&worldPermission != 0 {
		return nil, fmt.Errorf("%s is readable by everyone", path)
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

// newKeys returns Keys with the given secrets; the first one seals.
func newKeys(secrets [][]byte) (*Keys, error) {
	if len(secrets) == 0 || len(secrets) > maxKeys {
		return nil, fmt.Errorf("%d keys, want 1 to %d", len(secrets), maxKeys)
	}
	k := &Keys{}
	for _, secret := range secrets {
		sum := sha256.Sum256(append([]byte(keyNamePrefix), secret...))
		k.names = append(k.names, [keyNameSize]byte(sum[:keyNameSize]))
		k.macs = append(k.macs, hmac.New(sha256.New, secret))
	}
	return k, nil
}

// find returns the index of the key with a name, or -1 if it is unknown.
func (k *Keys) find(name []byte) int {
	for i := range k.names {
		if string(k.names[i][:]) == string(name) {
			return i
		}
	}
	return -1
}

// tag appends the tag of b by a key to scratch.
func (k *Keys) tag(index int, b, scratch []byte) []byte {
	mac := k.macs[index]
	mac.Reset()
	mac.Write(b)
	return mac.Sum(scratch)[:len(scratch)+tagSize]
}
