package conf

import (
	"context"

	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// readTask reads the head once.
type readTask struct {
	service *Service
	ctx     context.Context
}

func (t readTask) run() {
	s := t.service
	ctx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
	defer cancel()
	h, err := s.readStore(ctx)
	if err != nil {
		s.count("conf_store_read_errors_total")
		s.Log.WithError(err).Debug("failed to read the configuration from the store")
	}
	s.post(storeRead{revision: h.head.Revision, unchanged: h.unchanged, err: err})
}

// maxReadAttempts bounds the reads of a head whose parts are deleted before
// they are read.
const maxReadAttempts = 3

// readStore reads the head and activates its configuration if it is newer. A
// missing part means that the head has been replaced and the part deleted, so
// both are read again.
func (s *Service) readStore(ctx context.Context) (storedHead, error) {
	var h storedHead
	var err error
	for range maxReadAttempts {
		h, err = s.readOnce(ctx)
		if err == nil || fault.From(err).Kind != fault.NotFound {
			break
		}
	}
	return h, err
}

func (s *Service) readOnce(ctx context.Context) (storedHead, error) {
	h, err := readHead(ctx, s.Store)
	if err != nil {
		return storedHead{}, err
	}
	s.lastStoreRead.Store(s.Clock.Now().UnixNano())
	s.updateHistory(h)
	i := s.current.Load()
	if h.head.Revision == i.revision() && i != nil && h.head.Checksum != i.checksum {
		s.count("conf_diverged_total")
		s.Log.WithField("revision", i.revision()).Error("store holds a different configuration under the active revision")
	}
	if h.head.Revision <= i.revision() {
		return h, nil
	}
	newer, err := loadImage(ctx, s.Store, h.head, i)
	if err != nil {
		return storedHead{}, err
	}
	s.activate(newer, "store")
	return h, nil
}

// updateHistory records the history that was read, unless the recorded one
// reaches a newer revision. The recorded one is written back by restore.
func (s *Service) updateHistory(h storedHead) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lastRevision(h.history) > lastRevision(s.history) {
		s.history = h.history
	}
}

func lastRevision(history []HistoryEntry) int64 {
	if len(history) == 0 {
		return 0
	}
	return history[len(history)-1].Revision
}

// watchTask watches the head until the watch fails or is closed.
type watchTask struct {
	service *Service
	ctx     context.Context
}

func (t watchTask) loop() {
	s := t.service
	watcher, err := s.Store.Watch(t.ctx, ports.WatchRequest{Prefix: headKey})
	if err != nil {
		t.ended(err)
		return
	}
	// The head may have changed before the watch began, so read it once.
	s.post(headChanged{})
	for err == nil {
		if _, err = watcher.Next(t.ctx); err == nil {
			s.post(headChanged{})
		}
	}
	if closeErr := watcher.Close(); closeErr != nil {
		s.Log.WithError(closeErr).Debug("failed to close the watch")
	}
	t.ended(err)
}

// ended reports a watch that failed. It ignores one that was closed by this
// node.
func (t watchTask) ended(err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.service.count("conf_watches_lost_total")
	t.service.Log.WithError(err).Debug("watch of the configuration failed")
	t.service.post(watchEnded{})
}

// announceTask announces the active revision to one peer.
type announceTask struct {
	service *Service
	ctx     context.Context
	vm      string
}

func (t announceTask) run() {
	s := t.service
	ctx, cancel := context.WithTimeout(t.ctx, peerCallTimeout)
	defer cancel()
	params := RevisionAnnouncement{VM: s.Self, Revision: s.current.Load().revision()}
	if err := s.Peers.Call(ctx, t.vm, MethodAnnounce, params, &struct{}{}); err != nil {
		s.Log.WithError(err).WithField("vm", t.vm).Debug("failed to announce the revision to a peer")
	}
}

// restoreTask replaces an older head with the active configuration. The head is
// older if the store lost its data or was restored from a backup.
type restoreTask struct {
	service   *Service
	ctx       context.Context
	unchanged ports.Compare // That the store still holds the older head.
}

func (t restoreTask) run() {
	ctx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
	defer cancel()
	if err := t.service.restore(ctx, t.unchanged); err != nil {
		t.service.Log.WithError(err).Warn("failed to restore the configuration in the store")
	}
}

// restore writes the active configuration unless the head has changed since it
// was found to be older.
func (s *Service) restore(ctx context.Context, unchanged ports.Compare) error {
	i := s.current.Load()
	s.count("conf_store_behind_total")
	s.mutex.Lock()
	history := s.history
	s.mutex.Unlock()
	if lastRevision(history) < i.revision() {
		history = appendHistory(history, HistoryEntry{Revision: i.revision(), NoteID: i.config.NoteID})
	}
	w := writer{store: s.Store, head: newHead(i), image: i, history: history, unchanged: unchanged}
	if err := w.writeParts(ctx); err != nil {
		return err
	}
	response, err := s.Store.Commit(ctx, w.txn())
	if err != nil {
		return err
	}
	s.Log.WithFields(logrus.Fields{
		"revision": i.revision(),
		"restored": response.Succeeded,
	}).Warn("store held an older configuration than the active one")
	return nil
}
