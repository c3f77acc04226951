package batch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/ports"
	"bergamotworks/script"
	"bergamotworks/site"
)

// silentCase submits work from all VMs of a fleet while the owner of most
// targets stops responding without the membership agreeing on its death.
type silentCase struct {
	Load      string   `json:"load"` // The load that the choice of a shard answers.
	VMs       []string `json:"vms"`
	Targets   []string `json:"targets"`
	PerSecond int      `json:"per_second"` // Work submitted by the whole fleet.
	TargetMS  int64    `json:"target_ms"`  // Latency target of the work.
	SilentMS  int64    `json:"silent_ms"`  // When the owner stops responding.
	BackMS    int64    `json:"back_ms"`    // When it responds again; zero means never.
	EndMS     int64    `json:"end_ms"`     // When the last work is submitted.
	// After AfterMS from the failure on, at least MinShare of the work of each half
	// second must end within its latency target.
	AfterMS  int64   `json:"after_ms"`
	MinShare float64 `json:"min_share"`
	// BackWorks means that the owner must get work again after BackMS.
	BackWorks bool `json:"back_works"`
}

func TestSilentOwner(t *testing.T) {
	script.Run(t, "testdata/silent/*.json", func(t *testing.T, data map[string]silentCase) {
		for name, c := range data {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testSilentOwner(t, c) })
			})
		}
	})
}

func testSilentOwner(t *testing.T, c silentCase) {
	f := newSilentFleet(c)
	defer f.close(t)
	f.run(t)
	windows := make(map[time.Duration][2]int) // Work submitted and in time, by the start of the half second.
	for _, o := range f.outcomes {
		at := o.submitted.Truncate(500 * time.Millisecond)
		w := windows[at]
		w[0]++
		if o.inTime {
			w[1]++
		}
		windows[at] = w
	}
	from := ms(c.SilentMS + c.AfterMS)
	for at, w := range windows {
		if share := float64(w[1]) / float64(w[0]); at >= from && share < c.MinShare {
			t.Errorf("of the work submitted from %s on, %.2f ended in time, want %.2f", at, share, c.MinShare)
		}
	}
	if got := f.ranAfterReturn.Load() > 0; got != c.BackWorks {
		t.Errorf("the owner started calls after its return: %t, want %t", got, c.BackWorks)
	}
}

// workOutcome is the outcome of one submission.
type workOutcome struct {
	submitted time.Duration // Since the start of the fleet.
	inTime    bool
}

// silentFleet is a fleet in one process, of which one VM stops responding.
type silentFleet struct {
	setup          silentCase
	began          time.Time
	config         site.Config
	directory      site.Directory
	view           member.View
	silentVM       string
	services       map[string]*Service
	stops          []func()
	handles        atomic.Int64
	ranAfterReturn atomic.Int64
	mutex          sync.Mutex
	outcomes       []workOutcome
	submissions    sync.WaitGroup
}

func newSilentFleet(c silentCase) *silentFleet {
	limits := &site.BatchLimits{Slots: 1, Size: 8, CallTime: 150 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultCapacityBytes: 1 << 30, Retention: 4 * time.Second}
	f := &silentFleet{
		setup: c, began: time.Now(), view: viewOf(c.VMs), services: make(map[string]*Service),
		config:    site.NewConfig(site.Config{Services: []site.Service{{Name: "svc", Batch: limits}}}),
		directory: site.NewDirectory(site.Directory{Position: site.Position{Revision: 1}, Targets: targetsAt(c.Targets)}).WithDrainedDomains(nil, site.Position{Revision: 1}),
	}
	l := newLayout(f.view, "svc", f.directory.Usable("svc"))
	most := 0
	for _, s := range l.shards {
		if s.targets > most {
			most, f.silentVM = s.targets, s.owner
		}
	}
	return f
}

func (f *silentFleet) run(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, m := range f.view.Members() {
		e := silentEnv{fleet: f, vm: m.ID}
		s := &Service{
			Self: m.ID, Config: func() site.Config { return f.config }, Directory: func() site.Directory { return f.directory },
			View: func() member.View { return f.view }, Runner: e, Peers: e, Clock: ports.SystemClock{},
			Random: ports.NewSeededRandom(uint64(i)), Log: logrus.NewEntry(log), Metrics: metrics.NewSet(),
		}
		f.services[m.ID] = s
	}
	for _, m := range f.view.Members() {
		_, stop := runService(t, f.services[m.ID])
		f.stops = append(f.stops, stop)
	}
	members := f.view.Members()
	for n := 0; time.Since(f.began) < ms(f.setup.EndMS); n++ {
		if vm := members[n%len(members)].ID; vm != f.silentVM {
			f.submissions.Add(1)
			go silentSubmission{fleet: f, vm: vm, number: n}.run(t.Context())
		}
		time.Sleep(time.Second / time.Duration(f.setup.PerSecond)) // Virtual time.
	}
	f.submissions.Wait()
}

func (f *silentFleet) close(*testing.T) {
	for _, stop := range f.stops {
		stop()
	}
}

// silent reports whether a VM does not respond now.
func (f *silentFleet) silent(vm string) bool {
	since := time.Since(f.began)
	return vm == f.silentVM && since >= ms(f.setup.SilentMS) && (f.setup.BackMS == 0 || since < ms(f.setup.BackMS))
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// silentSubmission submits one piece of work.
type silentSubmission struct {
	fleet  *silentFleet
	vm     string
	number int
}

func (s silentSubmission) run(ctx context.Context) {
	f := s.fleet
	defer f.submissions.Done()
	now := time.Now()
	target := now.Add(ms(f.setup.TargetMS))
	work := Work{Service: "svc", Request: fmt.Sprint("r", s.number), Pieces: 1, Bytes: 1000, Target: target, Deadline: target.Add(2 * time.Second)}
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()
	handles, err := f.services[s.vm].Do(ctx, work)
	f.mutex.Lock()
	f.outcomes = append(f.outcomes, workOutcome{submitted: now.Sub(f.began), inTime: err == nil && !time.Now().After(target)})
	f.mutex.Unlock()
	f.services[s.vm].Release("svc", handles)
}

// silentEnv is the network and the targets as seen by one VM.
type silentEnv struct {
	fleet *silentFleet
	vm    string
}

// Call delivers a call unless the receiver is silent when it is sent or responds.
func (e silentEnv) Call(ctx context.Context, vm, method string, params, result any) error {
	f := e.fleet
	if f.silent(vm) || f.silent(e.vm) {
		<-ctx.Done()
		return fault.From(ctx.Err())
	}
	s := f.services[vm]
	var err error
	switch method {
	case MethodSubmit:
		*result.(*submitResponse), err = s.HandleSubmit(ctx, params.(submission))
	case MethodRelease:
		_, err = s.HandleRelease(ctx, params.(releaseRequest))
	case MethodProbe:
		_, err = s.HandleProbe(ctx, struct{}{})
	}
	if f.silent(vm) {
		<-ctx.Done()
		return fault.From(ctx.Err())
	}
	return err
}

// Run takes the time of a call and returns a new handle for each piece. A silent
// VM reaches no target.
func (e silentEnv) Run(ctx context.Context, target site.Target, pieces []Piece) ([]Result, error) {
	f := e.fleet
	if f.silent(e.vm) {
		<-ctx.Done()
		return nil, fault.From(ctx.Err())
	}
	if e.vm == f.silentVM && f.setup.BackMS > 0 && time.Since(f.began) >= ms(f.setup.BackMS) {
		f.ranAfterReturn.Add(1)
	}
	time.Sleep(150*time.Millisecond + time.Duration(len(pieces))*10*time.Millisecond) // Virtual time.
	list := make([]Result, len(pieces))
	for i := range pieces {
		list[i].Handle = fmt.Sprintf("%s/%d", target.Address, f.handles.Add(1))
	}
	return list, nil
}

// Release does nothing.
func (silentEnv) Release(context.Context, site.Target, []string) error { return nil }

// FreeCapacity returns 1 GiB.
func (silentEnv) FreeCapacity(context.Context, site.Target) (int64, error) { return 1 << 30, nil }
