package batch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
)

// serviceCase submits work while the directory and the configuration change.
type serviceCase struct {
	Steps []serviceStep `json:"steps"`
}

type serviceStep struct {
	Revision int64    `json:"revision"` // Of the directory.
	Targets  []string `json:"targets"`
	Drained  []string `json:"out"`    // Targets whose failure domains are drained; each target has its own.
	Pieces   int      `json:"pieces"` // Zero means one.
	Size     int      `json:"size"`   // Maximum number of pieces in a call; zero means 8.
	Want     string   `json:"want"`   // The target that is called.
	Calls    int      `json:"calls"`  // Number of calls; zero means one.
}

func TestService(t *testing.T) {
	script.Run(t, "testdata/service/*.json", func(t *testing.T, data map[string]serviceCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testService(t, c) })
		}
	})
}

func testService(t *testing.T, c serviceCase) {
	e := &serviceEnv{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Service{
		Self: "vm", Config: e.currentConfig, Directory: e.currentDirectory, View: func() member.View { return member.View{} },
		Runner: e, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	defer func() { _ = s.Close() }() // Close always returns nil.
	for i, step := range c.Steps {
		e.set(step)
		now := time.Now()
		work := Work{Service: "svc", Request: fmt.Sprint("r", i), Pieces: max(1, step.Pieces), Target: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
		list, err := s.Do(t.Context(), work)
		if err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		var want []string
		for range max(1, step.Calls) {
			want = append(want, step.Want)
		}
		if diff := cmp.Diff(want, e.calledTargets()); diff != "" {
			t.Errorf("step %d: targets called (-want +got):\n%s", i, diff)
		}
		s.Release("svc", list)
	}
}

// serviceEnv fakes the configuration, the directory and the targets.
type serviceEnv struct {
	mutex      sync.Mutex
	config     site.Config
	directory  site.Directory
	called     []string
	nextHandle int
	released   chan string
}

func (e *serviceEnv) set(step serviceStep) {
	d := site.Directory{Position: site.Position{Revision: step.Revision}}
	for _, id := range step.Targets {
		d.Targets = append(d.Targets, site.Target{ID: id, Service: "svc", Address: "address-" + id, Domain: "domain-" + id})
	}
	drained := make([]string, 0, len(step.Drained))
	for _, o := range step.Drained {
		drained = append(drained, "domain-"+o)
	}
	size := step.Size
	if size == 0 {
		size = 8
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.directory = site.NewDirectory(d).WithDrainedDomains(drained, site.Position{Revision: step.Revision})
	e.config = site.NewConfig(site.Config{Services: []site.Service{{
		Name: "svc", Batch: &site.BatchLimits{Slots: 1, Size: size, CallTime: time.Millisecond, ResultCapacityBytes: 1 << 20, Retention: time.Minute},
	}}})
}

func (e *serviceEnv) currentConfig() site.Config {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.config
}

func (e *serviceEnv) currentDirectory() site.Directory {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.directory
}

// calledTargets returns the IDs of the targets called since its last use.
func (e *serviceEnv) calledTargets() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	calls := e.called
	e.called = nil
	return calls
}

// Run returns a new handle for each piece.
func (e *serviceEnv) Run(_ context.Context, target site.Target, pieces []Piece) ([]Result, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.called = append(e.called, target.ID)
	results := make([]Result, len(pieces))
	for i := range results {
		e.nextHandle++
		results[i] = Result{Handle: fmt.Sprintf("%s/%d", target.Address, e.nextHandle)}
	}
	return results, nil
}

// Release sends the target and the handles to e.released, if it is not nil.
func (e *serviceEnv) Release(_ context.Context, target site.Target, handles []string) error {
	if e.released != nil {
		e.released <- fmt.Sprint(target.ID, " ", strings.Join(handles, " "))
	}
	return nil
}

// FreeCapacity returns 1 MiB.
func (e *serviceEnv) FreeCapacity(context.Context, site.Target) (int64, error) { return 1 << 20, nil }

// TestViewsDiffer submits work to a VM that is not the owner any more and
// redirects to the owner in its own view. It also checks that two VMs that
// name each other as the owner yield an error that is retried.
func TestViewsDiffer(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &serviceEnv{}
	e.set(serviceStep{Targets: []string{"a"}})
	peers := make(fakePeers)
	// Owner of the service in the view of each VM.
	for vm, owner := range map[string]string{"vm-1": "vm-2", "vm-2": "vm-3", "vm-3": "vm-3", "vm-4": "vm-5", "vm-5": "vm-4"} {
		view := member.NewView(member.VM{ID: owner, Attributes: member.Attributes{Ready: true}})
		s := &Service{
			Self: vm, Config: e.currentConfig, Directory: e.currentDirectory, View: func() member.View { return view },
			Runner: e, Peers: peers, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		s.once.Do(s.init)
		peers[vm] = s
		defer func() { _ = s.Close() }() // Close always returns nil.
	}
	now := time.Now()
	work := Work{Service: "svc", Request: "r", Pieces: 1, Target: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	if _, err := peers["vm-1"].submitOnce(t.Context(), work, offer{shard: shard{owner: "vm-2"}}, false); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, len(peers["vm-3"].batchers)); diff != "" {
		t.Errorf("services batched by vm-3 (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, len(peers["vm-2"].batchers)); diff != "" {
		t.Errorf("services batched by vm-2 (-want +got):\n%s", diff)
	}
	_, err := peers["vm-4"].submitOnce(t.Context(), work, offer{shard: shard{owner: "vm-5"}}, false)
	if !isRoutingError(err) {
		t.Errorf("two VMs that name each other as owner: got error %v, want one that is retried", err)
	}
}

// releaseCase releases results while the owner of their service is
// unreachable.
type releaseCase struct {
	Targets []string `json:"targets"`
	Handles []string `json:"handles"`
	Want    []string `json:"want"` // Handles released at each target, sorted.
}

func TestReleaseWithoutOwner(t *testing.T) {
	script.Run(t, "testdata/release/*.json", func(t *testing.T, data map[string]releaseCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testRelease(t, c) })
		}
	})
}

func testRelease(t *testing.T, c releaseCase) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &serviceEnv{released: make(chan string, len(c.Handles))}
	e.set(serviceStep{Targets: c.Targets})
	view := member.NewView(member.VM{ID: "gone", Attributes: member.Attributes{Ready: true}})
	s := &Service{
		Self: "vm", Config: e.currentConfig, Directory: e.currentDirectory, View: func() member.View { return view },
		Runner: e, Peers: unreachablePeers{}, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	s.Release("svc", c.Handles)
	var got []string
	for range c.Want {
		got = append(got, <-e.released)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for len(e.released) > 0 {
		got = append(got, <-e.released)
	}
	slices.Sort(got)
	if diff := cmp.Diff(c.Want, got); diff != "" {
		t.Errorf("released (-want +got):\n%s", diff)
	}
}

// unreachablePeers fails every call to another node.
type unreachablePeers struct{}

// Call returns an Unavailable error.
func (unreachablePeers) Call(_ context.Context, vm, _ string, _, _ any) error {
	return fault.New(fault.Unavailable, fault.NotRun, "%s does not respond", vm)
}

// fakePeers delivers calls to the services of other VMs in this process.
type fakePeers map[string]*Service

// Call invokes HandleSubmit of the other service.
func (f fakePeers) Call(ctx context.Context, vm, _ string, params, result any) error {
	response, err := f[vm].HandleSubmit(ctx, params.(submission))
	*result.(*submitResponse) = response
	return err
}

// serviceRun sends the error of Service.Run to a channel.
type serviceRun struct {
	service *Service
	done    chan<- error
}

func (r serviceRun) run(ctx context.Context) { r.done <- r.service.Run(ctx) }

// runService runs a service until the returned function is called.
func runService(t *testing.T, s *Service) (context.Context, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	r := serviceRun{service: s, done: done}
	go r.run(ctx)
	return ctx, func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

// silentPeers is a Caller whose calls never get a response.
type silentPeers struct{}

// Call blocks until its context ends.
func (silentPeers) Call(ctx context.Context, vm, _ string, _, _ any) error {
	<-ctx.Done()
	return fault.New(fault.Canceled, fault.MayHaveRun, "%s does not respond", vm)
}

// TestOwnerGone guards against work that stays blocked after the owner of its
// service lost power: the connection stays open but silent, and the
// submission must be retried as soon as the membership declares the owner
// dead.
func TestOwnerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &serviceEnv{}
		e.set(serviceStep{Targets: []string{"a"}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		const detected = 900 * time.Millisecond
		began := time.Now()
		view := func() member.View {
			other := member.VM{ID: "other", Attributes: member.Attributes{Ready: true}}
			if time.Since(began) >= detected {
				other.State = member.Dead
			}
			return member.NewView(other)
		}
		s := &Service{
			Self: "vm", Config: e.currentConfig, Directory: e.currentDirectory, View: view,
			Runner: e, Peers: silentPeers{}, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		ctx, stop := runService(t, s)
		work := Work{Service: "svc", Request: "r", Pieces: 1, Target: began.Add(time.Minute), Deadline: began.Add(time.Minute)}
		if _, err := s.Do(ctx, work); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > detected+tickInterval+2*retryDelay {
			t.Errorf("work waited for %s", took)
		}
		stop()
	})
}

// TestUnconfirmedIsBounded guards against work that waits too long in a VM
// that has just started and has no other VM in its view: unconfirmedTimeout
// must also bound the wait after the start.
func TestUnconfirmedIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &serviceEnv{}
		e.set(serviceStep{Targets: []string{"a"}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		var version atomic.Uint64
		view := func() member.View { return member.View{Version: version.Load(), Unconfirmed: true} }
		s := &Service{
			Self: "vm", Config: e.currentConfig, Directory: e.currentDirectory, View: view,
			Runner: e, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		ctx, stop := runService(t, s)
		version.Store(2)
		time.Sleep(tickInterval + time.Millisecond) // Virtual time; the tick has just seen the change.
		began := time.Now()
		work := Work{Service: "svc", Request: "r", Pieces: 1, Target: began.Add(time.Minute), Deadline: began.Add(time.Minute)}
		if _, err := s.Do(ctx, work); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > unconfirmedTimeout+2*retryDelay {
			t.Errorf("work waited for %s", took)
		}
		stop()
	})
}
