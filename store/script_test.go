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

// step is one call of a script and what it must print.
type step struct {
	Do     string        `json:"do"`
	Key    string        `json:"key"`
	Value  string        `json:"value"`
	Bytes  int           `json:"bytes"`
	If     *int64        `json:"if"`
	Lease  ports.LeaseID `json:"lease"`
	WaitMS int64         `json:"wait_ms"`
	Faults []Fault       `json:"faults"`
	Want   string        `json:"want"`
}

type calls struct {
	Steps  []step         `json:"steps"`
	Counts map[Call]int64 `json:"counts"`
}

// bench is a store under test with what a script has opened on it.
type bench struct {
	memory   *Memory
	faults   *FaultInjector
	store    ports.Store
	watch    ports.Watcher
	snapshot Snapshot
	limit    time.Duration // Of one step; no script runs into it.
	stop     func()
}

// httpLimit is long enough for any machine.
const httpLimit = time.Minute

// TestClientAndServer runs the scripts through HTTP, in real time.
func TestClientAndServer(t *testing.T) {
	script.Run(t, "testdata/calls_http/*.json", func(t *testing.T, data calls) {
		m := &Memory{}
		f := &FaultInjector{Store: m, Random: ports.NewSeededRandom(1)}
		client, stop := serve(t, f)
		t.Cleanup(stop)
		b := &bench{memory: m, faults: f, store: client, limit: httpLimit, stop: stop}
		for i, s := range data.Steps {
			if diff := cmp.Diff(s.Want, b.run(t.Context(), s)); diff != "" {
				t.Errorf("step %d, %s: %s", i, s.Do, diff)
			}
		}
		if diff := cmp.Diff(data.Counts, m.Counts()); data.Counts != nil && diff != "" {
			t.Error(diff)
		}
	})
}

// serve starts a server for a store and returns a client of it.
func serve(t testing.TB, store ports.Store) (*Client, func()) {
	t.Helper()
	s := &Server{Store: store, Network: ports.SystemNetwork{}, Address: "127.0.0.1:0"}
	address, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return s.Run(context.Background()) })
	c := &Client{Network: ports.SystemNetwork{}, Addresses: []string{address}, CallTimeout: httpLimit}
	return c, sync.OnceFunc(func() {
		if err := errors.Join(c.Close(), s.Close(), group.Wait()); err != nil {
			t.Error(err)
		}
	})
}

func TestServerClosedBeforeRun(t *testing.T) {
	s := &Server{Store: &Memory{}, Network: ports.SystemNetwork{}, Address: "127.0.0.1:0"}
	if _, err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(s.Close(), s.Run(t.Context())); err != nil {
		t.Error(err)
	}
}

func TestMemoryAndFaults(t *testing.T) {
	script.Run(t, "testdata/calls/*.json", func(t *testing.T, data calls) {
		synctest.Test(t, func(t *testing.T) {
			m := &Memory{}
			f := &FaultInjector{Store: m, Random: ports.NewSeededRandom(1)}
			b := &bench{memory: m, faults: f, store: f, limit: time.Second}
			for i, s := range data.Steps {
				if diff := cmp.Diff(s.Want, b.run(t.Context(), s)); diff != "" {
					t.Errorf("step %d, %s: %s", i, s.Do, diff)
				}
			}
			if diff := cmp.Diff(data.Counts, m.Counts()); data.Counts != nil && diff != "" {
				t.Error(diff)
			}
		})
	})
}

func (b *bench) run(ctx context.Context, s step) string {
	ctx, cancel := context.WithTimeout(ctx, b.limit)
	defer cancel()
	switch s.Do {
	case "put", "delete":
		return b.commit(ctx, s)
	case "range", "prefix":
		return printed(b.store.Range(ctx, ports.RangeRequest{Key: s.Key, Prefix: s.Do == "prefix"}))
	case "watch":
		w, err := b.store.Watch(ctx, ports.WatchRequest{Prefix: s.Key, FromRevision: int64(s.Bytes)})
		b.watch = w
		return verdict("watching", err)
	case "next":
		events, err := b.watch.Next(ctx)
		return verdict(describe(events), err)
	case "close":
		return verdict("closed", b.watch.Close())
	case "grant":
		lease, err := b.store.Grant(ctx, time.Duration(s.WaitMS)*time.Millisecond)
		return verdict(fmt.Sprintf("lease %d", lease), err)
	case "keep_alive":
		return verdict("kept", b.store.KeepAlive(ctx, s.Lease))
	case "revoke":
		return verdict("revoked", b.store.Revoke(ctx, s.Lease))
	default:
		return b.control(ctx, s)
	}
}

func (b *bench) control(ctx context.Context, s step) string {
	switch s.Do {
	case "faults":
		b.faults.Add(s.Faults...)
	case "clear":
		b.faults.Clear()
	case "release":
		return fmt.Sprintf("released %d", b.faults.ApplyLateCommits(ctx))
	case "snapshot":
		b.snapshot = b.memory.Snapshot()
	case "restore":
		b.memory.Restore(b.snapshot)
	case "stop":
		b.stop()
	case "wait":
		time.Sleep(time.Duration(s.WaitMS) * time.Millisecond)
	default:
		return "unknown step"
	}
	return ""
}

func (b *bench) commit(ctx context.Context, s step) string {
	txn := ports.Txn{Then: []ports.Op{ports.Put{Key: s.Key, Value: value(s), Lease: s.Lease}}}
	if s.Do == "delete" {
		txn.Then = []ports.Op{ports.Delete{Key: s.Key, Prefix: strings.HasSuffix(s.Key, "/")}}
	}
	if s.If != nil {
		txn.Compares = []ports.Compare{{Key: s.Key, ModRevision: *s.If}}
	}
	response, err := b.store.Commit(ctx, txn)
	return verdict(fmt.Sprintf("%t at %d", response.Succeeded, response.Revision), err)
}

func value(s step) []byte {
	if s.Bytes > 0 {
		return make([]byte, s.Bytes)
	}
	return []byte(s.Value)
}

func printed(response ports.RangeResponse, err error) string {
	var entries []string
	for _, e := range response.Entries {
		entries = append(entries, fmt.Sprintf("%s=%s %d/%d/%d", e.Key, e.Value, e.CreateRevision, e.ModRevision, e.Version))
	}
	return verdict(fmt.Sprintf("%s at %d", strings.Join(entries, " "), response.Revision), err)
}

func describe(events []ports.WatchEvent) string {
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

func verdict(text string, err error) string {
	if err == nil {
		return text
	}
	fe := fault.From(err)
	return fmt.Sprintf("%s, %s", fe.Kind, fe.Verdict)
}
