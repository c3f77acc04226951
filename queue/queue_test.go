package queue_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotworks/note"
	"bergamotworks/queue"
	"bergamotworks/script"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

type orderCase struct {
	About    string                        `json:"about"`
	Classes  map[string]note.Class         `json:"classes"`
	Accounts map[string]note.ClientAccount `json:"accounts"`
	Entries  []entryGroup                  `json:"entries"`
	AtMS     int64                         `json:"at_ms"`
	Pops     int                           `json:"pops"`
	Expired  []string                      `json:"expired"`
	Order    []string                      `json:"order"`
	Counts   map[string]int                `json:"counts"` // Expected number of entries served, by class and by account.
}

type entryGroup struct {
	ID         string `json:"id"`
	Count      int    `json:"count"`
	Class      string `json:"class"`
	Account    string `json:"account"`
	DeadlineMS int64  `json:"due_ms"`
	CostMS     int64  `json:"cost_ms"`
}

func (g entryGroup) push(q *queue.Queue) {
	for i := range max(1, g.Count) {
		q.Push(&queue.Entry{ID: fmt.Sprint(g.ID, i), Class: g.Class, Account: g.Account,
			Deadline: origin.Add(time.Duration(g.DeadlineMS+int64(i)) * time.Millisecond), Cost: time.Duration(g.CostMS) * time.Millisecond})
	}
}

func TestOrder(t *testing.T) {
	script.Run(t, "testdata/*.json", func(t *testing.T, data orderCase) {
		q := &queue.Queue{Capacity: 10000, Classes: data.Classes, Accounts: data.Accounts}
		for _, g := range data.Entries {
			g.push(q)
		}
		var expired, order []string
		for _, e := range q.RemoveExpired(origin.Add(time.Duration(data.AtMS) * time.Millisecond)) {
			expired = append(expired, e.ID)
		}
		if diff := cmp.Diff(data.Expired, expired); diff != "" {
			t.Errorf("expired (-want +got):\n%s", diff)
		}
		counts := make(map[string]int)
		for range data.Pops {
			e := q.Pop()
			order = append(order, e.ID)
			counts[e.Class]++
			counts[e.Account]++
		}
		if diff := cmp.Diff(data.Order, order); data.Order != nil && diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
		for k, v := range data.Counts {
			if counts[k] != v {
				t.Errorf("%s was served %d times, want %d", k, counts[k], v)
			}
		}
	})
}

// TestShares checks that a class with waiting entries gets its guaranteed share,
// whatever the priorities, shares and deadlines of the other classes.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue.Queue{Capacity: 100000, Classes: map[string]note.Class{}}
		left := 0.9
		for _, n := range []string{"x", "y", "z"} {
			share := rapid.Float64Range(0.02, left/2).Draw(t, "share")
			left -= share
			q.Classes[n] = note.Class{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Share: share}
			entryGroup{ID: n, Count: 600, Class: n, Account: n, DeadlineMS: rapid.Int64Range(0, 9999).Draw(t, "due"), CostMS: 10}.push(q)
		}
		counts := make(map[string]float64)
		for range 500 {
			counts[q.Pop().Class]++
		}
		for n, c := range q.Classes {
			if counts[n] < 500*c.Share-10 {
				t.Fatalf("class %s got %v of 500, its share is %.3f", n, counts[n], c.Share)
			}
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, size := range []int{16, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			q := &queue.Queue{Capacity: 10000}
			entryGroup{ID: "e", Count: size, Class: "x", Account: "a", CostMS: 10}.push(q)
			b.ReportAllocs()
			for b.Loop() {
				e := q.Pop()
				e.Deadline = e.Deadline.Add(time.Second)
				q.Push(e)
			}
		})
	}
}

func TestWaits(t *testing.T) {
	q := &queue.Queue{Classes: map[string]note.Class{"x": {Priority: 2, Share: 0.2}, "y": {Priority: 1, Share: 0.3}}}
	entryGroup{ID: "a", Count: 13, Class: "x", Account: "a"}.push(q)
	entryGroup{ID: "b", Count: 1, Class: "x", Account: "b"}.push(q)
	entryGroup{ID: "c", Count: 2, Class: "y", Account: "a"}.push(q)
	want := []queue.Wait{
		{Class: "x", Account: "a", Wait: 40 * time.Millisecond}, // 14 entries of 10 ms; one of two accounts, so half of the 0.7 of 10 that y leaves.
		{Class: "y", Account: "a", Wait: 10 * time.Millisecond}, // 3 entries of 10 ms, with the 0.3 of 10 that is guaranteed to y.
	}
	if diff := cmp.Diff(want, q.Waits(10*time.Millisecond, 10, 6*time.Millisecond, 5)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
