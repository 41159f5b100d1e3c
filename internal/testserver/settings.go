package testserver

import (
	"fmt"
	"os"
	"strings"
)

// Settings is a settings object for one zone of caches below a parent and an origin, with an idempotent and a
// non-idempotent class.
//
//nolint:misspell // the settings have the key "cancelling"
const Settings = `{"az":"branch","failure_domains":["hub","branch"],"kinds":["cache","parent","origin"],"fleet_size":1,
 "discovery":"push","tenants":[],
 "lanes":[{"name":"page","aim":300,"aim_stretch":2,"deadline":2000,"effect":"read_like","group":"all","value":1,
   "late_worth":0.2,"window":5000},
  {"name":"order","aim":300,"deadline":2000,"effect":"non_idempotent","group":"all","value":3,"window":5000}],
 "limits":{"send_cap":6,"parallel_tries":false,"cancelling":true,"peers":true,"may_probe":true,
   "connect_timeout":300,"conn_idle":10000,
   "streams_per_conn":32},
 "rules":{"cold_from":0.5,"cold":1000,"fall_multiple":3,"overload_for":1000,"drain_grace":500},
 "extra":{"class_fresh":[60000,0],"usable_after":[10000,0],"class_write":[false,true],"worth_when_old":[0.5,1],
   "mid_kind":1,"root_kind":2,"home_hub":[0,0],"crew_by_zone":[0,1],"pace_kb_per_s":3000,"pipe_kb_per_s":[0,90000],
   "siblings":"location","can_join":true,"detail":"hit","direct":false,"parent_starts_at":0.5,"parent_ramp":1000,
   "parent_breaks_at":3,"obey_after":500,"purge_takes":3000}}`

// ZoneSettings returns the settings of a zone with the given number of routers.
func ZoneSettings(routers int) string {
	settings := strings.Replace(Settings, `"crew_by_zone":[0,1]`, fmt.Sprintf(`"crew_by_zone":[0,%d]`, routers), 1)
	return strings.Replace(settings, `"fleet_size":1`, fmt.Sprintf(`"fleet_size":%d`, routers), 1)
}

// Configuration returns the configuration of a router that listens at an address, with Settings.
func Configuration(listen string, discovery *Discovery) string {
	return ConfigurationOf(listen, discovery, Settings)
}

// ConfigurationOf returns a router's configuration with other settings.
func ConfigurationOf(listen string, discovery *Discovery, settings string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"5eed","bulletin":%q,"limits":{"cores":1,"memory_mb":192,
 "sockets":512},"polls":{"wait_ms":400,"slack_ms":200},"known":%s,"settings":%s}`,
		listen, discovery.Address(), discovery.InitialEvents(), settings)
}

// WriteConfig writes a configuration to a file in dir and returns its path.
func WriteConfig(dir, configuration string) (string, error) {
	path := dir + "/config.json"
	return path, os.WriteFile(path, []byte(configuration), 0o600)
}
