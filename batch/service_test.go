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
	Out      []string `json:"out"`    // Failure domains that are taken out; each target has its own.
	Pieces   int      `json:"pieces"` // Zero means one.
	Size     int      `json:"size"`   // Pieces in a call; zero means 8.
	Want     string   `json:"want"`   // The target that is called.
	Calls    int      `json:"calls"`  // Zero means one.
}

func TestService(t *testing.T) {
	script.Run(t, "testdata/service/*.json", func(t *testing.T, data map[string]serviceCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) { testService(t, c) })
		}
	})
}

func testService(t *testing.T, c serviceCase) {
	w := &serviceWorld{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Service{
		Self: "vm", Config: w.currentConfig, Directory: w.currentDirectory, View: func() member.View { return member.View{} },
		Runner: w, Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	defer func() { _ = s.Close() }() // It reports nothing.
	for i, e := range c.Steps {
		w.set(e)
		now := time.Now()
		work := Work{Service: "svc", Request: fmt.Sprint("r", i), Pieces: max(1, e.Pieces), Target: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
		made, err := s.Do(t.Context(), work)
		if err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		var want []string
		for range max(1, e.Calls) {
			want = append(want, e.Want)
		}
		if diff := cmp.Diff(want, w.taken()); diff != "" {
			t.Errorf("step %d: targets called (-want +got):\n%s", i, diff)
		}
		s.Release("svc", made)
	}
}

// serviceWorld is the configuration, the directory and the targets.
type serviceWorld struct {
	mutex     sync.Mutex
	config    site.Config
	directory site.Directory
	calls     []string
	made      int
	freed     chan string
}

func (w *serviceWorld) set(e serviceStep) {
	d := site.Directory{Revision: e.Revision}
	for _, id := range e.Targets {
		d.Targets = append(d.Targets, site.Target{ID: id, Service: "svc", Address: "address-" + id, Domain: "domain-" + id})
	}
	departed := make([]string, 0, len(e.Out))
	for _, o := range e.Out {
		departed = append(departed, "domain-"+o)
	}
	size := e.Size
	if size == 0 {
		size = 8
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.directory = site.NewDirectory(d).WithDrainedDomains(departed, e.Revision)
	w.config = site.NewConfig(site.Config{Services: []site.Service{{
		Name: "svc", Batch: &site.BatchLimits{Slots: 1, Size: size, CallTime: time.Millisecond, ResultCapacityBytes: 1 << 20, Retention: time.Minute},
	}}})
}

func (w *serviceWorld) currentConfig() site.Config {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.config
}

func (w *serviceWorld) currentDirectory() site.Directory {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.directory
}

// taken returns the targets called since the last time.
func (w *serviceWorld) taken() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	calls := w.calls
	w.calls = nil
	return calls
}

// Run makes a result for each piece.
func (w *serviceWorld) Run(_ context.Context, target site.Target, pieces []Piece) ([]Result, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.calls = append(w.calls, target.ID)
	results := make([]Result, len(pieces))
	for i := range results {
		w.made++
		results[i] = Result{Handle: fmt.Sprintf("%s/%d", target.Address, w.made)}
	}
	return results, nil
}

// Release takes results back.
func (w *serviceWorld) Release(_ context.Context, target site.Target, list []string) error {
	if w.freed != nil {
		w.freed <- fmt.Sprint(target.ID, " ", strings.Join(list, " "))
	}
	return nil
}

// FreeCapacity returns memory for many results.
func (w *serviceWorld) FreeCapacity(context.Context, site.Target) (int64, error) { return 1 << 20, nil }

// TestViewsDiffer has a VM ask a former owner, which knows the present one.
func TestViewsDiffer(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &serviceWorld{}
	w.set(serviceStep{Targets: []string{"a"}})
	mesh := make(fakeMesh)
	// Who owns the service in the view of each VM.
	for vm, owner := range map[string]string{"vm-1": "vm-2", "vm-2": "vm-3", "vm-3": "vm-3", "vm-4": "vm-5", "vm-5": "vm-4"} {
		view := member.NewView(member.VM{ID: owner, Attributes: member.Attributes{Ready: true}})
		s := &Service{
			Self: vm, Config: w.currentConfig, Directory: w.currentDirectory, View: func() member.View { return view },
			Runner: w, Peers: mesh, Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		s.once.Do(s.init)
		mesh[vm] = s
		defer func() { _ = s.Close() }() // It reports nothing.
	}
	now := time.Now()
	work := Work{Service: "svc", Request: "r", Pieces: 1, Target: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	if _, err := mesh["vm-1"].submitOnce(t.Context(), work); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, len(mesh["vm-3"].tables)); diff != "" {
		t.Errorf("services that vm-3 gathers for (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, len(mesh["vm-2"].tables)); diff != "" {
		t.Errorf("services that vm-2 gathers for (-want +got):\n%s", diff)
	}
	_, err := mesh["vm-4"].submitOnce(t.Context(), work)
	if !passing(err) {
		t.Errorf("two VMs that name each other: want an error that passes, got %v", err)
	}
}

// releaseCase gives up results while the owner of their service does not answer.
type releaseCase struct {
	Targets []string `json:"targets"`
	Handles []string `json:"handles"`
	Want    []string `json:"want"` // What each target is asked to give up, sorted.
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
	w := &serviceWorld{freed: make(chan string, len(c.Handles))}
	w.set(serviceStep{Targets: c.Targets})
	view := member.NewView(member.VM{ID: "gone", Attributes: member.Attributes{Ready: true}})
	s := &Service{
		Self: "vm", Config: w.currentConfig, Directory: w.currentDirectory, View: func() member.View { return view },
		Runner: w, Peers: deadMesh{}, Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
	}
	s.Release("svc", c.Handles)
	var got []string
	for range c.Want {
		got = append(got, <-w.freed)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for len(w.freed) > 0 {
		got = append(got, <-w.freed)
	}
	slices.Sort(got)
	if diff := cmp.Diff(c.Want, got); diff != "" {
		t.Errorf("given up (-want +got):\n%s", diff)
	}
}

// deadMesh has no node that answers.
type deadMesh struct{}

// Call fails.
func (deadMesh) Call(_ context.Context, vm, _ string, _, _ any) error {
	return fault.New(fault.Unavailable, fault.NotRun, "%s does not answer", vm)
}

// fakeMesh has services call each other.
type fakeMesh map[string]*Service

// Call has another service answer.
func (f fakeMesh) Call(ctx context.Context, vm, _ string, params, result any) error {
	answer, err := f[vm].HandleSubmit(ctx, params.(submission))
	*result.(*handles) = answer
	return err
}

// serviceRun reports the end of a service's run.
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

// silentMesh has nodes that never answer.
type silentMesh struct{}

// Call waits until nobody waits for the answer.
func (silentMesh) Call(ctx context.Context, vm, _ string, _, _ any) error {
	<-ctx.Done()
	return fault.New(fault.Canceled, fault.MayHaveRun, "%s does not answer", vm)
}

// TestOwnerGone has the owner of a service lose power while it gathers work.
func TestOwnerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &serviceWorld{}
		w.set(serviceStep{Targets: []string{"a"}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		const noticed = 900 * time.Millisecond
		began := time.Now()
		view := func() member.View {
			other := member.VM{ID: "other", Attributes: member.Attributes{Ready: true}}
			if time.Since(began) >= noticed {
				other.State = member.Dead
			}
			return member.NewView(other)
		}
		s := &Service{
			Self: "vm", Config: w.currentConfig, Directory: w.currentDirectory, View: view,
			Runner: w, Peers: silentMesh{}, Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		ctx, stop := runService(t, s)
		work := Work{Service: "svc", Request: "r", Pieces: 1, Target: began.Add(time.Minute), Deadline: began.Add(time.Minute)}
		if _, err := s.Do(ctx, work); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > noticed+tickInterval+2*resubmitWait {
			t.Errorf("work waited for %s", took)
		}
		stop()
	})
}

// TestDoubtIsBounded has a VM that has just started and knows no other one wait
// no longer than for a membership in doubt.
func TestDoubtIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &serviceWorld{}
		w.set(serviceStep{Targets: []string{"a"}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		var version atomic.Uint64
		view := func() member.View { return member.View{Version: version.Load(), Unconfirmed: true} }
		s := &Service{
			Self: "vm", Config: w.currentConfig, Directory: w.currentDirectory, View: view,
			Runner: w, Clock: ports.SystemClock{}, Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		ctx, stop := runService(t, s)
		version.Store(2)
		time.Sleep(tickInterval + time.Millisecond) // In virtual time: the change has just been seen.
		began := time.Now()
		work := Work{Service: "svc", Request: "r", Pieces: 1, Target: began.Add(time.Minute), Deadline: began.Add(time.Minute)}
		if _, err := s.Do(ctx, work); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > doubtTime+2*resubmitWait {
			t.Errorf("work waited for %s", took)
		}
		stop()
	})
}
