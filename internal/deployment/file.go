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
	Name             string          // name of this router; RELAY_NAME overrides the file
	Listen           string          // host and port where clients connect; RELAY_LISTEN overrides the file
	DiscoveryAddress string          // numeric host and port of the discovery server
	Seed             uint32          // seed of the router's random numbers
	InitialEvents    *fastjson.Value // events of the endpoint list that the file contains, as in an answer of the server
	Settings         *fastjson.Value // the settings object
}

// Environment variables that override the file's values.
const (
	envName   = "RELAY_NAME"
	envListen = "RELAY_LISTEN"
)

// Open reads the configuration file at path. env looks up environment variables. The error is ErrNoFile if path is
// empty, wraps an error of the file system, or is one of Read's.
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

// Read parses the text of a configuration file. path is used in errors only, which are of type *FileError.
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

// readAddresses reads the router's name and addresses, and applies the environment variables that override them.
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
		r.fail("bulletin", fmt.Sprintf("is %q, not a numeric address with a port", f.DiscoveryAddress))
	}
}

// checkAddress checks that an address has a port. The host may be empty or a name.
func checkAddress(r *reader, key, address string) {
	_, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		r.fail(key, fmt.Sprintf("is %q, not an address with a port, such as 127.0.0.1:80", address))
	}
}

// readSeed reads a seed of up to 64 bits in hexadecimal, and combines its two halves into 32 bits.
func readSeed(r *reader, root *fastjson.Value) uint32 {
	text := r.string(root, "seed")
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		r.fail("seed", fmt.Sprintf("is %q, not a hexadecimal number of up to 64 bits", text))
		return 0
	}
	return uint32(seed ^ seed>>32)
}

// Wrap returns a FileError with the file's path that wraps err, or nil if err is nil.
func (f *File) Wrap(err error) error {
	if err == nil {
		return nil
	}
	return &FileError{f.path, err}
}
