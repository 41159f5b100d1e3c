// Command simadapter connects the decisions of package routing to a simulator, with which it communicates over
// standard input and output. Package internal/simadapter describes the protocol.
package main

import (
	"fmt"
	"os"

	"threadrun/internal/simadapter"
)

func main() {
	if err := simadapter.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
