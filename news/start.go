package news

import (
	"context"
	"time"
)

const (
	// confirmTimeout is how long a VM that starts waits for others to confirm it.
	// Until then it does not know the store readers and would follow the store
	// itself.
	confirmTimeout      = 500 * time.Millisecond
	confirmPollInterval = 25 * time.Millisecond
)

// start loads the first state. A VM may get requests as soon as it runs, so it
// reads the store at once, without waiting for the membership, and asks other VMs
// if that fails. It then waits until it knows the store readers.
func (s *Service) start(ctx context.Context) {
	began := s.Clock.Now()
	err := s.readDirectory(ctx)
	if err == nil {
		_, err = s.readOperatorState(ctx)
	}
	s.awaitConfirmation(ctx, began)
	if err != nil && s.confirmed() {
		s.fetchFromPeers(ctx)
	}
	s.logStart(s.Clock.Now().Sub(began))
}

// awaitConfirmation waits for a short time until other VMs have confirmed this
// one.
func (s *Service) awaitConfirmation(ctx context.Context, began time.Time) {
	for !s.confirmed() && s.Clock.Now().Sub(began) < confirmTimeout {
		if !s.sleep(ctx, confirmPollInterval) {
			return
		}
	}
}

// confirmed reports whether other VMs have confirmed this one, so that its view
// tells which VMs are store readers.
func (s *Service) confirmed() bool {
	view := s.View()
	return !view.Unconfirmed && !view.Isolated
}
