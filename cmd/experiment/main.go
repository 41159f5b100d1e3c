// Command experiment is the project's tool for experiments: it plays parts of the router on virtual time or on loopback, ends
// with one line of JSON, and tells by its exit status whether the bounds given by flags were kept.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// errMissed is the error of a run that kept to its script and missed a bound.
var errMissed = errors.New("a bound was missed")

var cli struct {
	Duties   dutiesRun   `cmd:"" help:"Play many routers' membership and shared duties on virtual time."`
	Shards   shardsRun   `cmd:"" help:"Check maps of keys to keepers, and play many routers that go by them, on virtual time."`
	Size     sizeRun     `cmd:"" help:"Measure routers at rest that are told of 10, 300 and 1,024 routers and caches."`
	Comeback comebackRun `cmd:"" help:"Kill most routers of a tier at once and time how they come back, on virtual time."`
	Scatter  scatterRun  `cmd:"" help:"Ask sites for rows, on virtual time, while some of them are killed."`
	Renewing renewingRun `cmd:"" help:"Pair a load of visits without and with renewing of ageing copies, on loopback."`
	Fleet    fleetRun    `cmd:"" help:"Run router processes on loopback under a load, kill and stop some, and count at clients, caches and keepers."`
	Live     liveRun     `cmd:"" help:"Run router processes on loopback that share probes, kill one, and count at stand-in caches."`
	Loss     lossRun     `cmd:"" help:"Take apart what a play with a trace of its visits lost, from the routers' logs."`
	Faults   faultsRun   `cmd:"" help:"Play whole deployments on virtual time under scripts of faults drawn from seeds, and watch the rules."`
	Plot     plotRun     `cmd:"" help:"Draw takeover and datagrams over the size of the tier."`
	Back     backRun     `cmd:"" help:"Draw coming back over the size of the tier, with rows and without."`
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("experiment"), kong.UsageOnError(),
		kong.Description("Experiments with the router's parts. Each ends with one line of JSON; exit status 1: a bound was missed."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// report prints a result: as one line of JSON, or by lines for a reader.
func report(asJSON bool, lines string, v any) error {
	if !asJSON {
		fmt.Print(lines)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(b))
	return err
}
