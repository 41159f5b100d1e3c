package system

import (
	"fmt"
	"net/netip"
	"strings"
)

// settingCanceling is the name of the setting that lets routers cancel attempts at machines.
const settingCanceling = "cancelling" //nolint:misspell // spelled like this in the settings

// operatorFile returns a router's operator's file: that of the plan, with the key file and the addresses filled in.
func (r *router) operatorFile() string {
	plan := &r.sim.plan
	if plan.OperatorFile == "" {
		return `{}`
	}
	var peers []string
	for _, o := range r.sim.routers {
		peers = append(peers, fmt.Sprintf("%q", netip.AddrPortFrom(o.host.Addr, peerPort)))
	}
	return strings.NewReplacer(
		"KEY", plan.KeyFile,
		"LISTEN", netip.AddrPortFrom(r.host.Addr, peerPort).String(),
		"PEERS", "["+strings.Join(peers, ",")+"]",
	).Replace(plan.OperatorFile)
}

// configuration returns a router's deployment file.
func (r *router) configuration() string {
	s := r.sim
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"%x","bulletin":"%s:%d",
 "limits":{"cores":1,"memory_mb":16,"sockets":512},
 "polls":{"wait_ms":1000,"slack_ms":300},"known":%s,"settings":%s}`,
		r.index, r.address, s.world.Random.Uint64(), s.discovery.host.Addr, discoveryPort,
		s.discovery.eventsAfter(0), s.settings())
}

// settings returns the settings of the deployment. It has the zone 'hub' with the parents and the origin, the zone
// 'branch' with the routers and the caches, and one class per effect.
func (s *Simulation) settings() string {
	return fmt.Sprintf(`{"az":"branch","failure_domains":["hub","branch"],"kinds":["cache","parent","origin"],
 "fleet_size":%d,"discovery":"push","tenants":[],
 "lanes":[
  {"name":"page","aim":300,"aim_stretch":2,"deadline":2000,"effect":"read_like","group":"all",
   "value":1,"late_worth":0.2,"window":5000},
  {"name":"order","aim":300,"deadline":2000,"effect":"non_idempotent","group":"all","value":3,"window":5000},
  {"name":"mark","aim":300,"deadline":2000,"effect":"idempotency_key","group":"all","value":2,"window":%d}],
 "limits":{"send_cap":6,"parallel_tries":false,%q:true,"peers":true,"may_probe":true,
  "connect_timeout":300,"conn_idle":4000,"streams_per_conn":32},
 "rules":{"cold_from":%g,"cold":%d,"fall_multiple":%g,"overload_for":%d,"drain_grace":%d},
 "extra":{"class_fresh":[%d,0,0],"usable_after":[5000,0,0],"class_write":[false,true,true],
  "worth_when_old":[0.5,1,1],"mid_kind":1,"root_kind":2,"home_hub":[0,0],"crew_by_zone":[0,%d],
  "pace_kb_per_s":%d,"pipe_kb_per_s":[0,%g],"siblings":"location","can_join":true,"detail":"all","direct":true,
  "parent_starts_at":%g,"parent_ramp":%d,"parent_breaks_at":%g,"obey_after":%d,"purge_takes":%d}}`,
		s.plan.Routers,
		s.plan.KeyWindow/ms,
		settingCanceling,
		coldInitialShare, coldWarmUp/ms, coldOverloadMultiple, coldOverloadWindow/ms, drainGrace/ms,
		freshFor/ms, s.plan.Routers,
		transferRate, transferRate*transfersPerCache*float64(s.plan.Caches),
		coldInitialShare, coldWarmUp/ms, coldOverloadMultiple, purgeGrace/ms, purgeTakes/ms)
}
