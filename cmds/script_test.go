package cmds

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"bergamotworks": runMain})
}

func runMain() {
	os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
}

func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
