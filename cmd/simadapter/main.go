// Command simadapter connects the router's decision module to a simulator, by the simulator's protocol on standard
// input and output.
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
