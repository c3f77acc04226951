package ledger

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"bergamotworks/note"
	"bergamotworks/ports"
	"bergamotworks/store"
)

// TestCloseDuringRetry checks that Close returns while a withdrawal is retried
// in the background because the store is down.
func TestCloseDuringRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := &store.FaultInjector{Store: &store.Memory{Clock: ports.SystemClock{}}, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1)}
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &Service{
			VM: "a", Store: faults, Clock: ports.SystemClock{}, Random: ports.NewSeededRandom(1),
			Log: log, Metrics: metrics.NewSet(), Limits: func() note.Limits { return note.Config{}.Limits() },
		}
		r := &runner{service: s, done: make(chan struct{})}
		go r.run(t.Context())
		claim, err := s.Create(t.Context(), Request{Key: Key{Account: "x", ID: "k", Stage: "s"}, CreatedAt: time.Now(), Fingerprint: "f"})
		if err != nil {
			t.Fatal(err)
		}
		faults.Add(store.Fault{Kind: store.FaultDown})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := s.Withdraw(ctx, claim); err == nil {
			t.Fatal("a withdrawal succeeded without the store")
		}
		time.Sleep(2 * time.Second) // Fake time; a retry is in flight.
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		<-r.done
	})
}

type runner struct {
	service *Service
	done    chan struct{}
}

func (r *runner) run(ctx context.Context) {
	defer close(r.done)
	_ = r.service.Run(ctx)
}
