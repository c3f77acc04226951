// Command bergamotworks serves multi-stage model pipelines and opaque routes. It
// also runs the tools of operators and of tests; see package cmds.
package main

import (
	"os"

	"bergamotworks/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
