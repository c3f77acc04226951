package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"bergamotworks/fault"
	"bergamotworks/member"
	"bergamotworks/poison"
)

const (
	// condemnedAfter is the number of lost connections, with no answer between
	// them, after which a request is taken to crash its targets.
	condemnedAfter = 3
	// standingTime is how long a request is suspected or refused. Requests with
	// the same content may well be harmless later.
	standingTime = 20 * time.Second
)

// Crash is the loss of a target that ran a request, as nodes tell each other.
type Crash struct {
	ID          uint64 // Of the loss and the request together.
	Fingerprint uint64 // Of the request's content.
	Until       time.Time
}

// rumorKind is the kind of rumour that tells of a target lost with a request.
const rumorKind = "target_lost"

// Announcement returns the crash as it is spread.
func (c Crash) Announcement() member.Announcement {
	return member.Announcement{Kind: rumorKind, Key: c.ID, Value: int64(c.Fingerprint), Until: c.Until}
}

// CrashFromAnnouncement returns the crash that a rumour tells of.
func CrashFromAnnouncement(r member.Announcement) (Crash, bool) {
	return Crash{ID: r.Key, Fingerprint: uint64(r.Value), Until: r.Until}, r.Kind == rumorKind
}

// fingerprint tells requests with the same content apart from others, whatever
// identifier they carry. It is worked out when it is first needed.
func (j *job) fingerprint() uint64 {
	if j.print != 0 {
		return j.print
	}
	d := xxhash.New()
	for _, part := range []string{j.service, j.account.Name, j.request.Method, j.request.URI} {
		_, _ = d.WriteString(part + "\n") // A digest never fails.
	}
	_, _ = d.Write(j.request.Body)
	j.print = d.Sum64()
	return j.print
}

// condemned refuses a request whose content has crashed targets.
func (j *job) condemned() error {
	s := j.server
	if !s.lostAny() {
		return nil
	}
	content := j.fingerprint()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.crashes.Check(s.Clock.Now(), content) != poison.Quarantined {
		return nil
	}
	return fault.New(fault.Quarantined, fault.NotRun, "requests with this content have crashed their targets")
}

// lostTarget takes in that a target's connection was lost while it ran the
// request.
func (j *job) lostTarget(target string) {
	s := j.server
	now, content := s.Clock.Now(), j.fingerprint()
	s.mutex.Lock()
	told := s.crashes.RecordCrash(now, target, []uint64{content})
	standing := s.crashes.Check(now, content)
	s.mutex.Unlock()
	s.Log.WithFields(logrus.Fields{"request": j.id, "target": target, "fingerprint": content, "standing": standing.String()}).Info("target lost with a request")
	if s.OnCrash == nil {
		return
	}
	for _, r := range told {
		for _, c := range r.Crashes {
			s.OnCrash(Crash{ID: c ^ r.Fingerprint, Fingerprint: r.Fingerprint, Until: r.Until})
		}
	}
}

// answered takes in that a target has answered the request.
func (j *job) answered() {
	s := j.server
	if !s.lostAny() {
		return
	}
	content := j.fingerprint()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashes.RecordCompletion(s.Clock.Now(), content)
}

// lostAny reports whether any target has been lost with a request. Until then no
// body has to be hashed.
func (s *Server) lostAny() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.crashes.Empty()
}

// ObserveCrash takes in what another node tells.
func (s *Server) ObserveCrash(c Crash) {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashes.Observe(s.Clock.Now(), poison.Announcement{Fingerprint: c.Fingerprint, Crashes: []uint64{c.ID ^ c.Fingerprint}, Until: c.Until})
}

// lostWith returns the number of targets lost with requests that still count.
func (s *Server) lostWith() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return float64(s.crashes.CrashCount(s.Clock.Now()))
}
