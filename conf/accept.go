package conf

import (
	"context"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
)

const (
	// offerTimeout bounds an offer whose caller sets no deadline.
	offerTimeout    = 8 * time.Second
	settlePeriod    = 50 * time.Millisecond
	maxSettlePeriod = time.Second
	maxOfferTries   = 5
)

// Submit checks a release note against the configuration in the store and
// accepts it by one compare-and-swap of the head. It returns the configuration
// in force afterwards. A note whose identifier was accepted before is not
// applied again.
//
// A note on another base revision than the present one fails with
// fault.Conflict and the difference. The verdict is MayHaveRun only if the
// context ends, or 8 s pass, while the outcome of the swap is open; the same
// note may be offered again to settle it.
func (s *Service) Submit(ctx context.Context, n note.Note) (note.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	var behind error
	for range maxOfferTries {
		p, i, err := s.present(ctx)
		if err != nil {
			return note.Config{}, neverSent(err)
		}
		if p.has(n.ID) {
			return i.config, nil
		}
		if behind = s.behind(ctx, n, p, i); behind == nil {
			return s.offer(ctx, n, p, i)
		}
		select {
		case <-s.Clock.After(settlePeriod):
		case <-ctx.Done():
			return note.Config{}, neverSent(ctx.Err())
		}
	}
	return note.Config{}, neverSent(behind)
}

// offer makes the next configuration and writes it over the head that was read.
func (s *Service) offer(ctx context.Context, n note.Note, p present, i *image) (note.Config, error) {
	next, err := s.next(n, i)
	if err != nil {
		return note.Config{}, err
	}
	if err := s.accept(ctx, n, p, i, next); err != nil {
		return note.Config{}, err
	}
	return next.config, nil
}

// behind returns an error if the store has shown less than what this node has
// in force or than what the operator has seen. The read may have been stale, or
// the store has come back older; then what is in force is restored.
func (s *Service) behind(ctx context.Context, n note.Note, p present, i *image) error {
	if i.revision() > p.head.Revision {
		if err := s.restore(ctx, p.modRevision); err != nil {
			return err
		}
		return fault.New(fault.Unavailable, fault.NotRun, "the store is behind the configuration in force")
	}
	if n.BaseRevision > i.revision() {
		return s.conflict(n, i)
	}
	return nil
}

// CheckNote reports whether a note could be accepted now.
func (s *Service) CheckNote(ctx context.Context, n note.Note) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, i, err := s.present(ctx)
	if err != nil {
		return neverSent(err)
	}
	_, err = s.next(n, i)
	return err
}

// History returns the accepted notes, the oldest first.
func (s *Service) History(ctx context.Context) ([]HistoryEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	p, err := readHead(ctx, s.Store)
	if err != nil {
		return nil, err
	}
	return p.history, nil
}

// present reads the store and returns its head with the configuration in force,
// which is at least as new.
func (s *Service) present(ctx context.Context) (present, *image, error) {
	p, err := s.readStore(ctx)
	if err != nil {
		return present{}, nil, err
	}
	i := s.current.Load()
	if i == nil {
		i = &image{}
	}
	return p, i, nil
}

// next returns the image that a note makes of the present one.
func (s *Service) next(n note.Note, i *image) (*image, error) {
	if n.BaseRevision != i.revision() {
		return nil, s.conflict(n, i)
	}
	config, err := note.Apply(i.config, n)
	if err != nil {
		return nil, err
	}
	return newImage(config, i)
}

// accept writes the next head over the one that was read.
func (s *Service) accept(ctx context.Context, n note.Note, p present, i, next *image) error {
	entry := HistoryEntry{Revision: next.revision(), NoteID: n.ID, Author: n.Author, Text: n.Text}
	w := writer{
		store:       s.Store,
		head:        newHead(next),
		image:       next,
		history:     extend(p.history, entry),
		modRevision: p.modRevision,
		before:      p.head.Sections,
	}
	if err := w.writeParts(ctx); err != nil {
		return neverSent(err)
	}
	won, err := s.swap(ctx, w, n)
	if err != nil {
		return err
	}
	if !won {
		return s.lost(ctx, n, i)
	}
	s.install(next, "offer")
	return nil
}

// swap commits the new head until its outcome is known: true if this note was
// accepted, false if another one came first. A swap that is sent again compares
// with the same head, so that at most one of them takes effect.
func (s *Service) swap(ctx context.Context, w writer, n note.Note) (bool, error) {
	open := false
	for wait := settlePeriod; ; wait = min(2*wait, maxSettlePeriod) {
		response, err := s.Store.Commit(ctx, w.txn())
		if err == nil && response.Succeeded {
			return true, nil
		}
		if err != nil && fault.VerdictOf(err) == fault.NotRun && !open {
			return false, err
		}
		open = open || err != nil
		won, known, err := s.settle(ctx, w, n)
		if known || err != nil {
			return won, err
		}
		select {
		case <-s.Clock.After(wait):
		case <-ctx.Done():
			return false, unsettled(ctx.Err(), open)
		}
	}
}

// settle reads the store to find out how a swap has ended. The outcome is known
// once the head has moved beyond the one that was compared.
func (s *Service) settle(ctx context.Context, w writer, n note.Note) (won, known bool, err error) {
	p, readErr := readHead(ctx, s.Store)
	if readErr != nil || p.modRevision <= w.modRevision {
		return false, false, nil
	}
	if p.has(n.ID) {
		return true, true, nil
	}
	if !p.covers(n.BaseRevision) {
		return false, false, fault.New(fault.Conflict, fault.MayHaveRun, "the history no longer reaches back to revision %d", n.BaseRevision)
	}
	return false, true, nil
}

func unsettled(err error, open bool) error {
	if !open {
		return neverSent(err)
	}
	return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "it is not known whether the note was accepted; offer it again")
}

// neverSent returns an error of a step before the head was written.
func neverSent(err error) error { return fault.From(err).WithVerdict(fault.NotRun) }
