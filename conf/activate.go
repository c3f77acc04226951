package conf

import "github.com/sirupsen/logrus"

// activate makes a configuration active and calls the subscribers, unless the
// active revision is at least as new. Source is a label of the metric and a
// field of the log.
func (s *Service) activate(i *image, source string) {
	s.activationMutex.Lock()
	defer s.activationMutex.Unlock()
	before := s.current.Load()
	if i.revision() <= before.revision() {
		return
	}
	s.addRecent(i)
	s.current.Store(i)
	for _, f := range s.subscribers {
		f(i.config)
	}
	s.count("conf_installs_total{source=\"" + source + "\"}")
	s.Log.WithFields(logrus.Fields{
		"revision": i.revision(),
		"previous": before.revision(),
		"note_id":  i.config.NoteID,
		"source":   source,
	}).Info("configuration became active")
	s.post(activated{revision: i.revision()})
}

// addRecent retains an image, so that peers can be sent only what changed since
// it and conflicts can list the differences from it. It evicts the oldest one
// beyond maxRecentImages.
func (s *Service) addRecent(i *image) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recent = append(s.recent, i)
	if len(s.recent) > maxRecentImages {
		s.recent = s.recent[1:]
	}
}

// recentImage returns the image of a revision, nil if it is not retained.
func (s *Service) recentImage(revision int64) *image {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, i := range s.recent {
		if i.revision() == revision {
			return i
		}
	}
	return nil
}
