package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"bergamotworks/fault"
	"bergamotworks/ports"
	"bergamotworks/script"
)

// step is one step of a script. Want is the text that it must return. A release
// step applies the commits that a fault has held back.
type step struct {
	Do     string        `json:"do"`
	Key    string        `json:"key"`
	Value  string        `json:"value"`
	Bytes  int           `json:"bytes"` // Length of the value; in a watch step, the revision to start from.
	If     *int64        `json:"if"`    // Expected ModRevision of the key; nil means no condition.
	Lease  ports.LeaseID `json:"lease"`
	WaitMS int64         `json:"wait_ms"` // Duration of a wait step; time to live of a granted lease.
	Faults []Fault       `json:"faults"`
	Want   string        `json:"want"`
}

type scenario struct {
	Steps  []step             `json:"steps"`
	Counts map[CallKind]int64 `json:"counts"`
}

// env is a store under test with the state of a script.
type env struct {
	memory      *Memory
	faults      *FaultInjector
	store       ports.Store
	watch       ports.Watcher
	snapshot    Snapshot
	stepTimeout time.Duration // Timeout of one step. In the scripts over HTTP none reaches it.
	stop        func()
}

// httpTimeout is long enough for a slow machine.
const httpTimeout = time.Minute

// TestClientAndServer runs scripts over HTTP, in real time.
func TestClientAndServer(t *testing.T) {
	script.Run(t, "testdata/calls_http/*.json", func(t *testing.T, data scenario) {
		m := &Memory{}
		f := &FaultInjector{Store: m, Random: ports.NewSeededRandom(1)}
		client, stop := startServer(t, f)
		t.Cleanup(stop)
		e := &env{memory: m, faults: f, store: client, stepTimeout: httpTimeout, stop: stop}
		for i, s := range data.Steps {
			if diff := cmp.Diff(s.Want, e.run(t.Context(), s)); diff != "" {
				t.Errorf("step %d, %s: %s", i, s.Do, diff)
			}
		}
		if diff := cmp.Diff(data.Counts, m.Counts()); data.Counts != nil && diff != "" {
			t.Error(diff)
		}
	})
}

// startServer starts a server for a store. It returns a client and the function
// that closes both.
func startServer(t testing.TB, store ports.Store) (*Client, func()) {
	t.Helper()
	s := &Server{Store: store, Network: ports.SystemNetwork{}, Address: "127.0.0.1:0"}
	address, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return s.Run(context.Background()) })
	c := &Client{Network: ports.SystemNetwork{}, Addresses: []string{address}, CallTimeout: httpTimeout}
	return c, sync.OnceFunc(func() {
		if err := errors.Join(c.Close(), s.Close(), group.Wait()); err != nil {
			t.Error(err)
		}
	})
}

// TestServerClosedBeforeRun checks that Close releases the listener of a server
// that has not been run, and that neither Close nor a later Run fails.
func TestServerClosedBeforeRun(t *testing.T) {
	s := &Server{Store: &Memory{}, Network: ports.SystemNetwork{}, Address: "127.0.0.1:0"}
	if _, err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.Close(), s.Run(t.Context())); err != nil {
		t.Error(err)
	}
}

// TestMemoryAndFaults runs scripts on a Memory with injected faults, in fake time.
func TestMemoryAndFaults(t *testing.T) {
	script.Run(t, "testdata/calls/*.json", func(t *testing.T, data scenario) {
		synctest.Test(t, func(t *testing.T) {
			m := &Memory{}
			f := &FaultInjector{Store: m, Random: ports.NewSeededRandom(1)}
			e := &env{memory: m, faults: f, store: f, stepTimeout: time.Second}
			for i, s := range data.Steps {
				if diff := cmp.Diff(s.Want, e.run(t.Context(), s)); diff != "" {
					t.Errorf("step %d, %s: %s", i, s.Do, diff)
				}
			}
			if diff := cmp.Diff(data.Counts, m.Counts()); data.Counts != nil && diff != "" {
				t.Error(diff)
			}
		})
	})
}

func (e *env) run(ctx context.Context, s step) string {
	ctx, cancel := context.WithTimeout(ctx, e.stepTimeout)
	defer cancel()
	switch s.Do {
	case "put", "delete":
		return e.commit(ctx, s)
	case "range", "prefix":
		return formatRange(e.store.Range(ctx, ports.RangeRequest{Key: s.Key, Prefix: s.Do == "prefix"}))
	case "watch":
		w, err := e.store.Watch(ctx, ports.WatchRequest{Prefix: s.Key, FromRevision: int64(s.Bytes)})
		e.watch = w
		return formatResult("watching", err)
	case "next":
		events, err := e.watch.Next(ctx)
		return formatResult(formatEvents(events), err)
	case "close":
		return formatResult("closed", e.watch.Close())
	case "grant":
		lease, err := e.store.Grant(ctx, time.Duration(s.WaitMS)*time.Millisecond)
		return formatResult(fmt.Sprintf("lease %d", lease), err)
	case "keep_alive":
		return formatResult("kept", e.store.KeepAlive(ctx, s.Lease))
	case "revoke":
		return formatResult("revoked", e.store.Revoke(ctx, s.Lease))
	default:
		return e.control(ctx, s)
	}
}

func (e *env) control(ctx context.Context, s step) string {
	switch s.Do {
	case "faults":
		e.faults.Add(s.Faults...)
	case "clear":
		e.faults.Clear()
	case "release":
		return fmt.Sprintf("released %d", e.faults.ApplyLateCommits(ctx))
	case "snapshot":
		e.snapshot = e.memory.Snapshot()
	case "restore":
		e.memory.Restore(e.snapshot)
	case "stop":
		e.stop()
	case "wait":
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	default:
		return "unknown step"
	}
	return ""
}

func (e *env) commit(ctx context.Context, s step) string {
	txn := ports.Txn{Then: []ports.Op{ports.Put{Key: s.Key, Value: value(s), Lease: s.Lease}}}
	if s.Do == "delete" {
		txn.Then = []ports.Op{ports.Delete{Key: s.Key, Prefix: strings.HasSuffix(s.Key, "/")}}
	}
	if s.If != nil {
		txn.Compares = []ports.Compare{{Key: s.Key, ModRevision: *s.If}}
	}
	response, err := e.store.Commit(ctx, txn)
	return formatResult(fmt.Sprintf("%t at %d", response.Succeeded, response.Revision), err)
}

func value(s step) []byte {
	if s.Bytes > 0 {
		return make([]byte, s.Bytes)
	}
	return []byte(s.Value)
}

func formatRange(response ports.RangeResponse, err error) string {
	var entries []string
	for _, e := range response.Entries {
		entries = append(entries, fmt.Sprintf("%s=%s %d/%d/%d", e.Key, e.Value, e.CreateRevision, e.ModRevision, e.Version))
	}
	return formatResult(fmt.Sprintf("%s at %d", strings.Join(entries, " "), response.Revision), err)
}

func formatEvents(events []ports.WatchEvent) string {
	var parts []string
	for _, e := range events {
		if e.Deleted {
			parts = append(parts, "-"+e.Entry.Key)
		} else {
			parts = append(parts, fmt.Sprintf("%s=%s", e.Entry.Key, e.Entry.Value))
		}
	}
	return strings.Join(parts, " ")
}

func formatResult(text string, err error) string {
	if err == nil {
		return text
	}
	fe := fault.From(err)
	return fmt.Sprintf("%s, %s", fe.Kind, fe.Verdict)
}
