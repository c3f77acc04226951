package conf

import "github.com/sirupsen/logrus"

// install puts a configuration in force unless the present one is as new.
func (s *Service) install(i *image, source string) {
	s.installing.Lock()
	defer s.installing.Unlock()
	before := s.current.Load()
	if i.revision() <= before.revision() {
		return
	}
	s.keep(i)
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
	}).Info("configuration in force")
	s.post(installed{revision: i.revision()})
}

// keep remembers an image for peers and operators that are behind.
func (s *Service) keep(i *image) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.recent = append(s.recent, i)
	if len(s.recent) > maxRecentImages {
		s.recent = s.recent[1:]
	}
}

// past returns the image of an earlier revision, nil if it is no longer known.
func (s *Service) past(revision int64) *image {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, i := range s.recent {
		if i.revision() == revision {
			return i
		}
	}
	return nil
}
