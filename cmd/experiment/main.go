// Command experiment runs the project's experiments: parts of the router on virtual time, or router processes on
// loopback. Each experiment has a file of its own. It prints its result as one line of JSON, preceded by lines for a
// reader unless --json is given, and its exit status is 1 if a bound was missed.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// The names of the experiments are those of the pages that refer to them.
var commandLine struct {
	Leases       leasesRun       `cmd:"" name:"duties" help:"Simulate many routers that share leases, on virtual time."`
	ShardMaps    shardMapsRun    `cmd:"" name:"shards" help:"Validate shard maps, and simulate routers that go by them."`
	Footprint    footprintRun    `cmd:"" name:"size" help:"Measure idle routers in deployments of three sizes."`
	Recovery     recoveryRun     `cmd:"" name:"comeback" help:"Kill most routers at once and time their recovery."`
	Scatter      scatterRun      `cmd:"" help:"Query routers for records while some of them are killed."`
	Refresh      refreshRun      `cmd:"" name:"renewing" help:"Compare loads without and with refresh ahead."`
	Fleet        fleetRun        `cmd:"" help:"Run router processes under a load, and kill and pause some."`
	HealthChecks healthChecksRun `cmd:"" name:"live" help:"Run router processes that share health checks, and kill one."`
	Loss         lossRun         `cmd:"" help:"Report what a run lost, from the routers' logs."`
	Faults       faultsRun       `cmd:"" help:"Check the invariants of whole deployments under fault scripts."`
	PlotLeases   plotLeasesRun   `cmd:"" name:"plot" help:"Plot takeover time and datagrams over the size of the cluster."`
	PlotRecovery plotRecoveryRun `cmd:"" name:"back" help:"Plot recovery over the size of the cluster."`
}

func main() {
	ctx := kong.Parse(&commandLine, kong.Name("experiment"), kong.UsageOnError(),
		kong.Description("Experiments with the router. Each ends with one line of JSON; exit status 1: a bound was missed."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}
