package deployment

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

	"github.com/valyala/fastjson"
)

// File is a router's configuration. It is immutable.
type File struct {
	path             string
	root             *fastjson.Value
	Name             string          // name of this router
	Listen           string          // host and port where clients connect
	DiscoveryAddress string          // numeric host and port of the discovery server
	Seed             uint32          // seed of the router's random numbers
	InitialEvents    *fastjson.Value // the endpoint list's events up to now
	Settings         *fastjson.Value // the settings object
}

// Environment variables that override the file's values.
const (
	envName   = "RELAY_NAME"
	envListen = "RELAY_LISTEN"
)

// Open reads the configuration at a path. env looks up environment variables.
func Open(path string, env func(string) string) (*File, error) {
	if path == "" {
		return nil, ErrNoFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return Read(path, text, env)
}

// Read reads a configuration from its text. path is used in errors only.
func Read(path string, text []byte, env func(string) string) (*File, error) {
	root, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, &FileError{path, err}
	}
	f := &File{path: path, root: root}
	if root.Type() != fastjson.TypeObject {
		return nil, f.Wrap(ErrNoObject)
	}
	r := &reader{}
	f.readAddresses(r, env)
	f.Seed = readSeed(r, root)
	f.InitialEvents = r.object(root, "known")
	f.Settings = r.object(root, "settings")
	return f, f.Wrap(r.err)
}

func (f *File) readAddresses(r *reader, env func(string) string) {
	f.Name = r.string(f.root, "name")
	f.Listen = r.string(f.root, "listen")
	f.DiscoveryAddress = r.string(f.root, "bulletin")
	if name := env(envName); name != "" {
		f.Name = name
	}
	if listen := env(envListen); listen != "" {
		f.Listen = listen
	}
	checkAddress(r, "listen", f.Listen)
	checkAddress(r, "bulletin", f.DiscoveryAddress)
	if _, err := netip.ParseAddrPort(f.DiscoveryAddress); err != nil { // host names are not resolved
		r.fail("bulletin", fmt.Sprintf("is %q, not a numeric address", f.DiscoveryAddress))
	}
}

func checkAddress(r *reader, key, address string) {
	_, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		r.fail(key, fmt.Sprintf("is %q, not an address with a port", address))
	}
}

// readSeed folds a 64-bit hexadecimal seed to 32 bits.
func readSeed(r *reader, root *fastjson.Value) uint32 {
	seed, err := strconv.ParseUint(r.string(root, "seed"), 16, 64)
	if err != nil {
		r.fail("seed", "is not a hexadecimal number")
		return 0
	}
	return uint32(seed ^ seed>>32)
}

// Wrap adds the file's path to an error. It returns nil for nil.
func (f *File) Wrap(err error) error {
	if err == nil {
		return nil
	}
	return &FileError{f.path, err}
}
