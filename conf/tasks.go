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
	p, err := s.readStore(ctx)
	if err != nil {
		s.count("conf_store_read_errors_total")
		s.Log.WithError(err).Debug("configuration not read from the store")
	}
	s.post(storeRead{revision: p.head.Revision, modRevision: p.modRevision, err: err})
}

// maxReadTries bounds the reads of a head whose sections go away meanwhile.
const maxReadTries = 3

// readStore reads the head and puts it in force if it is newer. Sections that
// are gone mean that the head has moved on, so it is read again.
func (s *Service) readStore(ctx context.Context) (present, error) {
	var p present
	var err error
	for range maxReadTries {
		p, err = s.readOnce(ctx)
		if err == nil || fault.From(err).Kind != fault.NotFound {
			break
		}
	}
	return p, err
}

func (s *Service) readOnce(ctx context.Context) (present, error) {
	p, err := readHead(ctx, s.Store)
	if err != nil {
		return present{}, err
	}
	s.heard.Store(s.Clock.Now().UnixNano())
	s.remember(p)
	i := s.current.Load()
	if p.head.Revision == i.revision() && i != nil && p.head.Checksum != i.checksum {
		s.count("conf_diverged_total")
		s.Log.WithField("revision", i.revision()).Error("store holds another configuration under the revision in force")
	}
	if p.head.Revision <= i.revision() {
		return p, nil
	}
	newer, err := load(ctx, s.Store, p.head, i)
	if err != nil {
		return present{}, err
	}
	s.install(newer, "store")
	return p, nil
}

// remember keeps the longest history that the store has shown.
func (s *Service) remember(p present) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lastRevision(p.history) > lastRevision(s.history) {
		s.history = p.history
	}
}

func lastRevision(history []HistoryEntry) int64 {
	if len(history) == 0 {
		return 0
	}
	return history[len(history)-1].Revision
}

// watchTask watches the head until the watch is lost or given up.
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
	// The head may have changed before the watch began.
	s.post(headChanged{})
	for err == nil {
		if _, err = watcher.Next(t.ctx); err == nil {
			s.post(headChanged{})
		}
	}
	if closeErr := watcher.Close(); closeErr != nil {
		s.Log.WithError(closeErr).Debug("watch not closed")
	}
	t.ended(err)
}

// ended reports a watch that was lost, but not one that was given up.
func (t watchTask) ended(err error) {
	if t.ctx.Err() != nil {
		return
	}
	t.service.count("conf_watches_lost_total")
	t.service.Log.WithError(err).Debug("watch of the configuration lost")
	t.service.post(watchEnded{})
}

// announceTask tells one peer the revision in force.
type announceTask struct {
	service *Service
	ctx     context.Context
	vm      string
}

func (t announceTask) run() {
	s := t.service
	ctx, cancel := context.WithTimeout(t.ctx, peerCallTimeout)
	defer cancel()
	news := Announcement{VM: s.Self, Revision: s.current.Load().revision()}
	if err := s.Peers.Call(ctx, t.vm, MethodAnnounce, news, &struct{}{}); err != nil {
		s.Log.WithError(err).WithField("vm", t.vm).Debug("peer not told of the configuration")
	}
}

// restoreTask writes the configuration in force over an older head, as a store
// has that was emptied or rebuilt from a backup.
type restoreTask struct {
	service     *Service
	ctx         context.Context
	modRevision int64
}

func (t restoreTask) run() {
	ctx, cancel := context.WithTimeout(t.ctx, storeCallTimeout)
	defer cancel()
	if err := t.service.restore(ctx, t.modRevision); err != nil {
		t.service.Log.WithError(err).Warn("configuration not restored to the store")
	}
}

// restore writes the configuration in force if the head still has the
// modification revision at which it was seen to be older.
func (s *Service) restore(ctx context.Context, modRevision int64) error {
	i := s.current.Load()
	s.count("conf_store_behind_total")
	s.mutex.Lock()
	history := s.history
	s.mutex.Unlock()
	if lastRevision(history) < i.revision() {
		history = extend(history, HistoryEntry{Revision: i.revision(), NoteID: i.config.NoteID})
	}
	w := writer{store: s.Store, head: newHead(i), image: i, history: history, modRevision: modRevision}
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
	}).Warn("store was behind the configuration in force")
	return nil
}
