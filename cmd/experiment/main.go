// Command experiment runs the project's experiments: simulations of the router on virtual time, and router
// processes on loopback. Each experiment has a file of its own. It prints a summary, unless --json is given, and
// its result as one line of JSON; the plot commands write a picture instead. The exit status is 1 if a bound was
// missed, an invariant was violated, or the experiment could not be run.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commandLine has a command for each experiment. The names of commands and flags are made of the names of the
// fields: ShardMaps is "shard-maps".
var commandLine struct {
	Leases       leasesRun       `cmd:"" help:"Simulate routers that share leases while some are killed."`
	ShardMaps    shardMapsRun    `cmd:"" help:"Validate shard maps, and simulate routers that use them."`
	Recovery     recoveryRun     `cmd:"" help:"Simulate a kill of most routers at once, and time their recovery."`
	Scatter      scatterRun      `cmd:"" help:"Simulate queries for records while some routers are killed."`
	Faults       faultsRun       `cmd:"" help:"Check the invariants of whole deployments under fault scripts."`
	Footprint    footprintRun    `cmd:"" help:"Measure idle router processes in deployments of three sizes."`
	Fleet        fleetRun        `cmd:"" help:"Run router processes under a load, kill some and pause some."`
	Soak         soakRun         `cmd:"" help:"Run router processes under random faults, and check the invariants."`
	HealthChecks healthChecksRun `cmd:"" help:"Run router processes that share health checks, and kill one."`
	Refresh      refreshRun      `cmd:"" help:"Compare the latency without and with refresh ahead."`
	Loss         lossRun         `cmd:"" help:"Report late, rejected and unanswered requests from routers' logs."`
	PlotLeases   plotLeasesRun   `cmd:"" help:"Plot takeover time and datagrams over the cluster size."`
	PlotRecovery plotRecoveryRun `cmd:"" help:"Plot recovery times and peak loads over the cluster size."`
}

func main() {
	ctx := kong.Parse(&commandLine, kong.Name("experiment"), kong.UsageOnError(),
		kong.Description("Experiments with the router. Each prints its result as one line of JSON. "+
			"Exit status 1: a bound was missed, or an invariant was violated."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}
