package conf

import "github.com/sirupsen/logrus"

// install makes a configuration active and calls the subscribers, unless the
// active revision is at least as new. Source is a label of the metric.
func (s *Service) install(i *image, source string) {
	s.installMutex.Lock()
	defer s.installMutex.Unlock()
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
	}).Info("configuration installed")
	s.post(installed{revision: i.revision()})
}

// addRecent keeps an image, for peers that need only what changed since it and
// for the text of conflicts. It evicts the oldest beyond maxRecentImages.
func (s *Service) addRecent(i *image) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recent = append(s.recent, i)
	if len(s.recent) > maxRecentImages {
		s.recent = s.recent[1:]
	}
}

// recentImage returns the image of a revision, nil if it is not kept.
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
