package conf

import (
	"context"
	"time"

	"bergamotworks/fault"
	"bergamotworks/note"
)

const (
	// submitTimeout bounds Submit if its context has no earlier deadline.
	submitTimeout = 8 * time.Second
	// resolveInterval is the delay before the store is read again after a stale
	// read or a commit whose outcome is unknown. For a commit it doubles with
	// each read, up to maxResolveInterval.
	resolveInterval    = 50 * time.Millisecond
	maxResolveInterval = time.Second
	// maxSubmitAttempts bounds the reads of a stale store.
	maxSubmitAttempts = 5
)

// Submit checks a release note against the configuration in the store and
// accepts it by one compare-and-swap of the head. It returns the active
// configuration. Submit is idempotent: a note whose ID is already in the
// history is not applied again.
//
// A note on a base revision other than the current one fails with
// fault.Conflict and a description of the differences. The error has the
// verdict MayHaveRun only if the outcome of the compare-and-swap is still
// unknown when the context ends or 8 s have passed, or if the history no longer
// reaches back to the base revision. In the former case, submitting the same
// note again determines the outcome.
func (s *Service) Submit(ctx context.Context, n note.Note) (note.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	var behindErr error
	for range maxSubmitAttempts {
		h, i, err := s.readCurrent(ctx)
		if err != nil {
			return note.Config{}, notRunError(err)
		}
		if h.accepted(n.ID) {
			return i.config, nil
		}
		if behindErr = s.checkStoreRevision(ctx, n, h, i); behindErr == nil {
			return s.submit(ctx, n, h, i)
		}
		select {
		case <-s.Clock.After(resolveInterval):
		case <-ctx.Done():
			return note.Config{}, notRunError(ctx.Err())
		}
	}
	return note.Config{}, notRunError(behindErr)
}

// submit applies the note to the current configuration and replaces the head
// that was read.
func (s *Service) submit(ctx context.Context, n note.Note, h storedHead, i *image) (note.Config, error) {
	next, err := s.nextImage(ctx, n, i)
	if err != nil {
		return note.Config{}, err
	}
	if err := s.accept(ctx, n, h, i, next); err != nil {
		return note.Config{}, err
	}
	return next.config, nil
}

// checkStoreRevision returns an error if the store returned an older revision
// than the one active on this node, or than the note's base revision. Either
// the read was stale, or the store lost data; in the latter case the active
// configuration is restored.
func (s *Service) checkStoreRevision(ctx context.Context, n note.Note, h storedHead, i *image) error {
	if i.revision() > h.head.Revision {
		if err := s.restore(ctx, h.unchanged); err != nil {
			return err
		}
		return fault.New(fault.Unavailable, fault.NotRun, "the store is behind the configuration in force")
	}
	if n.BaseRevision > i.revision() {
		return s.conflictError(n, i)
	}
	return nil
}

// CheckNote returns nil if a note could be accepted now, otherwise the reason
// why not. It writes nothing.
func (s *Service) CheckNote(ctx context.Context, n note.Note) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, i, err := s.readCurrent(ctx)
	if err != nil {
		return notRunError(err)
	}
	_, err = s.nextImage(ctx, n, i)
	return err
}

// History returns the accepted notes from the oldest to the newest, at most the
// last 256.
func (s *Service) History(ctx context.Context) ([]HistoryEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	h, err := readHead(ctx, s.Store)
	if err != nil {
		return nil, err
	}
	return h.history, nil
}

// readCurrent reads the store and returns the stored head and the active
// configuration, which is at least as new. The image is never nil.
func (s *Service) readCurrent(ctx context.Context) (storedHead, *image, error) {
	h, err := s.readStore(ctx)
	if err != nil {
		return storedHead{}, nil, err
	}
	i := s.current.Load()
	if i == nil {
		i = &image{}
	}
	return h, i, nil
}

// nextImage returns the image that results from applying a note to i.
func (s *Service) nextImage(ctx context.Context, n note.Note, i *image) (*image, error) {
	if n.BaseRevision != i.revision() {
		return nil, s.conflictError(n, i)
	}
	config, err := note.Apply(i.config, n)
	if err != nil {
		return nil, err
	}
	if s.CheckChange != nil {
		if err := s.CheckChange(ctx, i.config, config); err != nil {
			return nil, err
		}
	}
	return newImage(config, i)
}

// accept replaces the head that was read with the head of the next image, and
// activates that image.
func (s *Service) accept(ctx context.Context, n note.Note, h storedHead, i, next *image) error {
	entry := HistoryEntry{Revision: next.revision(), NoteID: n.ID, Author: n.Author, Text: n.Text}
	w := writer{
		store:         s.Store,
		head:          newHead(next),
		image:         next,
		history:       appendHistory(h.history, entry),
		unchanged:     h.unchanged,
		replacedParts: h.head.Parts,
	}
	if err := w.writeParts(ctx); err != nil {
		return notRunError(err)
	}
	accepted, err := s.commitHead(ctx, w, n)
	if err != nil {
		return err
	}
	if !accepted {
		return s.lostRaceError(ctx, n, i)
	}
	s.activate(next, "offer")
	return nil
}

// commitHead commits the new head and retries until the outcome is known: true
// if this note was accepted, false if another writer replaced the head first.
// Each retry compares with the same modification revision, so at most one of the
// commits takes effect.
func (s *Service) commitHead(ctx context.Context, w writer, n note.Note) (bool, error) {
	mayHaveRun := false
	for delay := resolveInterval; ; delay = min(2*delay, maxResolveInterval) {
		response, err := s.Store.Commit(ctx, w.txn())
		if err == nil && response.Succeeded {
			return true, nil
		}
		if err != nil && fault.VerdictOf(err) == fault.NotRun && !mayHaveRun {
			return false, err
		}
		mayHaveRun = mayHaveRun || err != nil
		accepted, known, err := s.resolveCommit(ctx, w, n)
		if known || err != nil {
			return accepted, err
		}
		select {
		case <-s.Clock.After(delay):
		case <-ctx.Done():
			return false, unresolvedError(ctx.Err(), mayHaveRun)
		}
	}
}

// resolveCommit reads the store to determine the outcome of a commit. It is
// known once the modification revision of the head exceeds the one that the
// commit compared with.
func (s *Service) resolveCommit(ctx context.Context, w writer, n note.Note) (accepted, known bool, err error) {
	h, readErr := readHead(ctx, s.Store)
	if readErr != nil || h.unchanged.ModRevision <= w.unchanged.ModRevision {
		return false, false, nil
	}
	if h.accepted(n.ID) {
		return true, true, nil
	}
	if !h.coversSince(n.BaseRevision) {
		return false, false, fault.New(fault.Conflict, fault.MayHaveRun, "the history no longer reaches back to revision %d", n.BaseRevision)
	}
	return false, true, nil
}

func unresolvedError(err error, mayHaveRun bool) error {
	if !mayHaveRun {
		return notRunError(err)
	}
	return fault.New(fault.DeadlineExceeded, fault.MayHaveRun, "it is not known whether the note was accepted; offer it again")
}

// notRunError returns err with the verdict NotRun. It is for errors that occur
// before the head is written.
func notRunError(err error) error { return fault.From(err).WithVerdict(fault.NotRun) }
