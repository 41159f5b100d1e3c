// Command benchlink runs the decision module on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"threadrun/internal/benchwire"
)

func main() {
	if err := benchwire.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
