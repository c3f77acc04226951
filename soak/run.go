package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"bergamotworks/note"
)

const (
	callersPerNode = 3
	pollInterval   = 50 * time.Millisecond
	// servedInARow is the number of requests that each node must serve in the end.
	servedInARow = 5
	readyTimeout = 2 * time.Second
)

// Run is one soak. The exported fields are set before [Run.Do].
type Run struct {
	Binary   string // The program.
	Seed     uint64
	Duration time.Duration // Time with load and faults.
	Nodes    int
	// FaultsPerSecond is the number of faults that begin in a second.
	FaultsPerSecond float64
	// Settle bounds the time after the faults until every node serves again.
	RecoveryTimeout time.Duration
	// Late says that answers far after their deadline are faults. It is left out
	// where the machine's speed must not decide.
	CheckDeadlines bool
	Dir            string // For the logs of the processes.
	Output         io.Writer
}

// Report is what a soak has seen.
type Report struct {
	Requests   int
	Served     int
	Violations []string // Promises that were broken.
}

// Do runs the soak. The error says that it could not be run.
func (r *Run) Do(ctx context.Context) (Report, error) {
	random := rand.New(rand.NewPCG(r.Seed, 0))
	w := &world{
		binary: r.Binary, dir: r.Dir, witness: &witness{runs: make(map[string]int)},
		network: nextNetwork(),
	}
	defer w.close()
	defer w.kill()
	if err := w.start(r.Nodes); err != nil {
		return Report{}, err
	}
	faults := plan(random, r.Duration, r.FaultsPerSecond)
	callers := r.load(ctx, w, random, faults)
	var report Report
	if err := r.settle(w, callers[0]); err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	report.Violations = append(report.Violations, w.stop()...)
	for _, c := range callers {
		c.check(w.witness)
		report.Violations = append(report.Violations, c.faults...)
		report.Requests += len(c.outcomes)
		for _, o := range c.outcomes {
			if o.sealed && o.status == http.StatusOK {
				report.Served++
			}
		}
	}
	return report, nil
}

// networks counts the runs of this process.
var networks atomic.Int64

// nextNetwork returns the first numbers of loopback addresses that no other run
// uses, as far as process identifiers tell.
func nextNetwork() string {
	const numbers = 250
	at := os.Getpid() + int(networks.Add(1))*numbers
	return fmt.Sprintf("127.%d.%d.", 1+at%numbers, 1+at/numbers%numbers)
}

// load plays the faults under the load of callers.
func (r *Run) load(ctx context.Context, w *world, random *rand.Rand, faults []fault) []*caller {
	ctx, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	var done, calling sync.WaitGroup
	var callers []*caller
	for i := range callersPerNode * r.Nodes {
		c := &caller{world: w, name: fmt.Sprintf("c%d", i), late: r.CheckDeadlines, random: rand.New(rand.NewPCG(random.Uint64(), 0))}
		callers = append(callers, c)
		calling.Add(1)
		go c.run(ctx, &calling)
	}
	j := &injector{world: w, held: make(map[any]int)}
	for _, f := range faults {
		fmt.Fprintln(r.Output, f)
		done.Add(1)
		go j.run(ctx, f, &done)
	}
	done.Wait()
	calling.Wait()
	for _, err := range j.errors {
		callers[0].fault("%s", err)
	}
	return callers
}

// settle waits until every failure domain is in service and every node serves.
func (r *Run) settle(w *world, c *caller) error {
	until := time.Now().Add(r.RecoveryTimeout)
	for w.bringBack() != nil && time.Now().Before(until) {
		time.Sleep(pollInterval)
	}
	for _, n := range w.nodes {
		for served := 0; served < servedInARow; {
			if time.Now().After(until) {
				return trace.Errorf("%s does not serve %s after the last fault", n.id, r.RecoveryTimeout)
			}
			served++
			for _, p := range []string{orderPrefix, readPrefix, stagePrefix} {
				if !c.ask(n, p) {
					served = 0
					time.Sleep(pollInterval)
				}
			}
		}
	}
	return nil
}

// bringBack brings every failure domain back that is out. The error says that
// some may still be.
func (w *world) bringBack() error {
	config, err := currentConfig(w.nodes[0].admin)
	if err != nil {
		return err
	}
	for _, d := range domains() {
		if config.Sections.Domains[d].State == note.InService {
			continue
		}
		if err := w.operate("domain", "in", d); err != nil {
			return err
		}
	}
	return nil
}

// currentConfig returns the configuration in force at a node.
func currentConfig(admin string) (note.Config, error) {
	client := http.Client{Timeout: readyTimeout}
	answer, err := client.Get("http://" + admin + "/v1/config")
	if err != nil {
		return note.Config{}, trace.Wrap(err)
	}
	defer func() { _ = answer.Body.Close() }() // It has been read.
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return note.Config{}, trace.Wrap(err)
	}
	return note.DecodeConfig(data)
}

// stop ends all nodes by plan and returns what went wrong.
func (w *world) stop() []string {
	var faults []string
	for _, n := range w.nodes {
		if err := n.signal(syscall.SIGTERM); err != nil {
			faults = append(faults, err.Error())
		}
	}
	for _, n := range w.nodes {
		if err := n.wait(); err != nil {
			faults = append(faults, fmt.Sprintf("%s does not end well after SIGTERM: %s", n.id, err))
		}
	}
	return faults
}

// kill ends the processes that are left.
func (w *world) kill() {
	processes := []*process{w.store}
	for _, n := range w.nodes {
		processes = append(processes, &n.process)
	}
	for _, p := range processes {
		if p == nil || p.command == nil {
			continue
		}
		_ = p.signal(syscall.SIGKILL) // A process that has ended needs none.
		_ = p.wait()                  // It was killed.
	}
}

// awaitReady waits, for a bounded time, until a node is there.
func awaitReady(admin string) {
	client := http.Client{Timeout: pollInterval * 10}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		answer, err := client.Get("http://" + admin + "/healthz")
		if err != nil {
			continue
		}
		_ = answer.Body.Close() // The status is enough.
		return
	}
}
