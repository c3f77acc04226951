package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	cannotRun = 2 // Exit status of a case that could not run.
	caseTime  = 118 * time.Second
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE DIR")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// caseRun is a case that runs.
type caseRun struct {
	world  *world
	name   string
	status chan int
}

// run runs a case, until it ends, takes too long or is interrupted. It returns its exit
// status: 1 if the rule was broken, 0 if it held.
func run(name, dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	c := caseRun{world: w, name: name, status: make(chan int, 1)}
	go c.run()
	select {
	case status := <-c.status:
		return status
	case <-interrupted:
	case <-time.After(caseTime):
		fmt.Fprintln(os.Stderr, "the case takes too long")
	}
	return cannotRun
}

func (c caseRun) run() {
	status, err := cannotRun, fmt.Errorf("no case %q", c.name)
	switch c.name {
	case "cold":
		status, err = runCold(c.world)
	case "config":
		status, err = runConfig(c.world)
	case "poison":
		status, err = runPoison(c.world)
	case "drain":
		status, err = runDrain(c.world)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = cannotRun
	}
	c.status <- status
}
