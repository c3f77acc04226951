package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	clientsPerNode = 3
	// idleConnsPerNode limits the idle connections of a client to each node.
	idleConnsPerNode = 4
	pollInterval     = 50 * time.Millisecond
	// requiredSuccesses is the number of consecutive rounds, each with one request to
	// every route, that a node must serve after the faults.
	requiredSuccesses = 5
	readyTimeout      = 2 * time.Second
	storeStartTimeout = 10 * time.Second
	// noticeStream is the stream of random numbers for the notices of targets, apart
	// from that for all else, so that the faults of a seed do not depend on them.
	noticeStream = 1
	// restoreStream is the same for the restores of the store.
	restoreStream = 2
)

// Run is one run of the soak test. Exported fields must be set before [Run.Do].
type Run struct {
	Binary   string // Path of the program under test.
	Seed     uint64
	Duration time.Duration // Of the load and the faults.
	Nodes    int
	// FaultsPerSecond is the rate at which faults start.
	FaultsPerSecond float64
	// RecoveryTimeout bounds the time from the end of the load and the faults until
	// every node serves requests again.
	RecoveryTimeout time.Duration
	// CheckDeadlines reports responses far after their deadline as violations. It is
	// off where the speed of the machine must not decide the result.
	CheckDeadlines bool
	Dir            string // Existing directory for the log files of the processes.
	Output         io.Writer
}

// Report is the result of a run.
type Report struct {
	Requests   int
	Served     int
	Changes    int      // Accepted changes of the configuration.
	Violations []string // Descriptions of the violated guarantees.
}

// Do performs the run. It returns an error if the run could not be performed.
func (r *Run) Do(ctx context.Context) (Report, error) {
	random := rand.New(rand.NewPCG(r.Seed, 0))
	e := &env{
		binary: r.Binary, dir: r.Dir, runs: &runCounter{runs: make(map[string]int)},
		network: nextNetwork(),
	}
	defer e.close()
	defer e.kill()
	if err := e.start(r.Nodes); err != nil {
		return Report{}, err
	}
	faults := planFaults(random, r.Duration, r.FaultsPerSecond)
	faults = append(faults, planNotices(rand.New(rand.NewPCG(r.Seed, noticeStream)), r.Duration, r.FaultsPerSecond)...)
	if r.FaultsPerSecond > 0 {
		faults = append(faults, planRestores(rand.New(rand.NewPCG(r.Seed, restoreStream)), r.Duration)...)
	}
	clients, o, crashing := r.runLoad(ctx, e, random, faults)
	report := Report{Changes: len(o.changes)}
	if err := r.awaitRecovery(e, clients[0], o); err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	report.Violations = append(report.Violations, e.shutDown()...)
	noticeViolations, checked := e.checkNotices(r.CheckDeadlines)
	report.Violations = append(report.Violations, noticeViolations...)
	fmt.Fprintf(r.Output, "%d notices of targets checked\n", checked)
	crashing.check(e.runs)
	report.Violations = append(report.Violations, crashing.client.violations...)
	fmt.Fprintln(r.Output, e.runs)
	for _, c := range append(clients, o.client) {
		c.check(e.runs)
		report.Violations = append(report.Violations, c.violations...)
		report.Requests += len(c.outcomes)
		for _, o := range c.outcomes {
			if o.sealed && o.status == http.StatusOK {
				report.Served++
			}
		}
	}
	return report, nil
}

// runCount counts the runs of this process.
var runCount atomic.Int64

// nextNetwork returns the first three numbers of loopback addresses, with the final
// dot. It derives them from the process identifier, so that concurrent runs rarely
// share addresses.
func nextNetwork() string {
	const numbers = 250
	at := os.Getpid() + int(runCount.Add(1))*numbers
	return fmt.Sprintf("127.%d.%d.", 1+at%numbers, 1+at/numbers%numbers)
}

// runLoad injects the faults and changes the configuration while clients send
// requests.
func (r *Run) runLoad(ctx context.Context, e *env, random *rand.Rand, faults []fault) ([]*client, *operator, *crasher) {
	ctx, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	var faultsDone, clientsDone sync.WaitGroup
	var clients []*client
	for i := range clientsPerNode * r.Nodes {
		c := r.newClient(e, fmt.Sprintf("c%d", i), random.Uint64())
		clients = append(clients, c)
		clientsDone.Add(1)
		go c.run(ctx, &clientsDone)
	}
	o := &operator{
		env: e, client: r.newClient(e, "operator", random.Uint64()), random: rand.New(rand.NewPCG(random.Uint64(), 0)), checkDelay: r.CheckDeadlines,
	}
	clientsDone.Add(1)
	go o.run(ctx, &clientsDone)
	crashing := &crasher{env: e, client: r.newClient(e, "crash", random.Uint64())}
	clientsDone.Add(1)
	go crashing.run(ctx, &clientsDone)
	j := &injector{env: e, inUse: make(map[any]int)}
	for _, f := range faults {
		fmt.Fprintln(r.Output, f)
		faultsDone.Add(1)
		go j.run(ctx, f, &faultsDone)
	}
	faultsDone.Wait()
	clientsDone.Wait()
	for _, err := range j.errors {
		clients[0].addViolation("%s", err)
	}
	return clients, o, crashing
}

func (r *Run) newClient(e *env, name string, seed uint64) *client {
	c := &client{env: e, name: name, checkDeadlines: r.CheckDeadlines, random: rand.New(rand.NewPCG(seed, 0))}
	c.http.Transport = &http.Transport{MaxIdleConnsPerHost: idleConnsPerNode}
	return c
}

// awaitRecovery ends the drains of all failure domains and waits until every node
// serves requests, also on the routes that were added.
func (r *Run) awaitRecovery(e *env, c *client, o *operator) error {
	deadline := time.Now().Add(r.RecoveryTimeout)
	for e.restoreDomains() != nil && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	for _, n := range e.nodes {
		for served := 0; served < requiredSuccesses; {
			if time.Now().After(deadline) {
				return trace.Errorf("%s does not serve all requests %s after the end of the load and the faults", n.id, r.RecoveryTimeout)
			}
			served++
			for _, p := range []string{orderPrefix, readPrefix, stagePrefix} {
				if !c.send(n, p) {
					served = 0
					time.Sleep(pollInterval)
				}
			}
		}
		for !o.knows(n) {
			if time.Now().After(deadline) {
				return trace.Errorf("%s does not serve all routes that were added %s after the end of the load and the faults", n.id, r.RecoveryTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// restoreDomains restores all drained failure domains. It returns an error if some
// may still be drained.
func (e *env) restoreDomains() error {
	config, err := currentConfig(e.nodes[0].admin)
	if err != nil {
		return err
	}
	for _, d := range domains() {
		if config.Sections.Domains[d].State == note.InService {
			continue
		}
		if err := e.runCommand("domain", "in", "-wait=false", d); err != nil {
			return err
		}
	}
	return nil
}

// currentConfig returns the active configuration of a node.
func currentConfig(admin string) (note.Config, error) {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + admin + "/v1/config")
	if err != nil {
		return note.Config{}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }() // It has been read.
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return note.Config{}, trace.Wrap(err)
	}
	return note.DecodeConfig(data)
}

// shutDown shuts all nodes down with SIGTERM and returns the errors as violations.
func (e *env) shutDown() []string {
	var violations []string
	for _, n := range e.nodes {
		if err := n.signal(syscall.SIGTERM); err != nil {
			violations = append(violations, err.Error())
		}
	}
	for _, n := range e.nodes {
		if err := n.wait(); err != nil {
			violations = append(violations, fmt.Sprintf("%s exited with an error after SIGTERM: %s", n.id, err))
		}
	}
	return violations
}

// kill kills the processes that still run.
func (e *env) kill() {
	processes := []*process{e.store}
	for _, n := range e.nodes {
		processes = append(processes, &n.process)
	}
	for _, p := range processes {
		if p == nil || p.command == nil {
			continue
		}
		_ = p.signal(syscall.SIGKILL) // The process may have exited.
		_ = p.wait()                  // The error says that it was killed.
	}
}

// awaitListening waits until a process accepts connections at an address. Proxies
// accept them before it does, and close them.
func awaitListening(address string) error {
	var lastError error
	for deadline := time.Now().Add(storeStartTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		lastError = err
	}
	return trace.Wrap(lastError)
}

// awaitReady waits until a node responds to health checks, at most readyTimeout.
func awaitReady(admin string) {
	client := http.Client{Timeout: pollInterval * 10}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		response, err := client.Get("http://" + admin + "/healthz")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // The status is enough.
		return
	}
}
