// Command bergamotworks serves multi-stage model pipelines.
package main

import (
	"os"

	"bergamotworks/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
