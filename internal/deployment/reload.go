package deployment

import "fmt"

// Reloadable contains the values that a running router can take from a changed file without a restart.
type Reloadable struct {
	DiscoveryAddress string
	ConnectionLimits ConnectionLimits
	WatchTimeouts    WatchTimeouts
}

// Validate reads the values of the file, except for those of Peers, and returns the first error, so that a reload
// applies a file completely or not at all.
func (f *File) Validate() (Reloadable, error) {
	limits, err := f.ConnectionLimits()
	if err != nil {
		return Reloadable{}, err
	}
	timeouts, err := f.WatchTimeouts()
	if err != nil {
		return Reloadable{}, err
	}
	if _, err := ReadCacheConnections(f.Settings); err != nil {
		return Reloadable{}, f.Wrap(err)
	}
	if _, _, err := NewRouter(f.Settings, f.Seed, nil); err != nil {
		return Reloadable{}, f.Wrap(err)
	}
	r := &reader{}
	r.number(f.root, "known.no", -1, 0) // mandatory, as in each answer of the discovery server
	if r.err != nil {
		return Reloadable{}, f.Wrap(r.err)
	}
	return Reloadable{DiscoveryAddress: f.DiscoveryAddress, ConnectionLimits: limits, WatchTimeouts: timeouts}, nil
}

// RestartKeys returns the top-level keys whose values differ from those of an earlier file and take effect only
// after a restart.
func (f *File) RestartKeys(earlier *File) []string {
	var keys []string
	if f.Name != earlier.Name {
		keys = append(keys, "name")
	}
	if f.Listen != earlier.Listen {
		keys = append(keys, "listen")
	}
	for _, key := range [...]string{"limits", "settings", "seed", "peers", "peer_listen"} {
		if fmt.Sprint(f.root.Get(key)) != fmt.Sprint(earlier.root.Get(key)) {
			keys = append(keys, key)
		}
	}
	return keys
}
