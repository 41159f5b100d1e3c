// Command simadapter runs the decision module on the simulator's wire, on standard input and output.
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
