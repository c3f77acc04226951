// Command review runs the cases of the review that are no days of the bench: it
// starts nodes as separate processes, with stand-ins for the store, workers, clients
// and the platform, and judges what the stand-ins see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// run is one run of a case.
type run struct {
	rec     *record
	dir     string // Temporary folder.
	trouble bool
}

var cases = map[string]func(*run) (int, error){}

func main() {
	os.Exit(start())
}

func start() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: review CASE RECORD; cases: %s\n", strings.Join(names, ", "))
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(filepath.Clean(dir))
	}
	r := &run{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.add("case %s, trouble %t", os.Args[1], r.trouble)
	code, err := cases[os.Args[1]](r)
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return failed
	}
	rec.add("exit code %d", code)
	return code
}
