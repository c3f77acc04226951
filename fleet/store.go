package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxStoreSilence is the time after which a store that answers nothing closes the
// connection.
const maxStoreSilence = 20 * time.Second

// storePageSize is the number of items in one page of a list.
const storePageSize = 50

// Store is a stand-in for the platform's store.
type Store struct {
	mutex    sync.Mutex
	items    map[string]storeItem
	events   []storeItem // All changes, oldest first.
	revision int64
	leases   map[int64]time.Time // Time of the end.
	lastID   int64
	changed  chan struct{} // Closed and replaced at each change.
	mode     StoreMode
}

// StoreMode is how the store answers calls.
type StoreMode string

// Modes of the store.
const (
	StoreUp      StoreMode = ""        // It answers.
	StoreRefuses StoreMode = "refuses" // It refuses all calls.
	StoreSilent  StoreMode = "silent"  // It answers no call.
	StoreLoses   StoreMode = "loses"   // It applies calls, and their answers are lost.
)

type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore() *Store {
	return &Store{items: make(map[string]storeItem), revision: 7, leases: make(map[int64]time.Time), changed: make(chan struct{})}
}

// SetMode changes how the store answers.
func (s *Store) SetMode(m StoreMode) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mode = m
}

func (s *Store) currentMode() StoreMode {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.mode
}

// Put sets a key, under a lease unless that is zero, and returns the time of the change.
func (s *Store) Put(key string, value []byte, lease int64) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put(key, value, lease)
	return time.Now()
}

// Remove removes a key and returns the time of the change.
func (s *Store) Remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(key)
	return time.Now()
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Rev: s.revision, Lease: lease}
	s.items[key] = i
	s.record(i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Rev: s.revision, Deleted: true})
}

func (s *Store) record(i storeItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended; the mutex is held.
func (s *Store) expire() {
	now := time.Now()
	for id, end := range s.leases {
		if end.After(now) {
			continue
		}
		delete(s.leases, id)
		for k, i := range s.items {
			if i.Lease == id {
				s.remove(k)
			}
		}
	}
}

// ServeHTTP implements [http.Handler].
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch s.currentMode() {
	case StoreRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreSilent:
		_, _ = io.Copy(io.Discard, r.Body) // Only then the server sees that the node leaves.
		select {
		case <-r.Context().Done():
		case <-time.After(maxStoreSilence):
		}
		panic(http.ErrAbortHandler)
	case StoreLoses:
		s.handle(discard{}, r)
		panic(http.ErrAbortHandler)
	case StoreUp:
	}
	s.handle(w, r)
}

// discard drops an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/api/kv-range":
		s.list(w, r)
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	case path == "/api/kv-txn":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	s.expire()
	found := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > storePageSize
	respond(w, map[string]any{"items": found[:min(len(found), storePageSize)], "morePages": more, "currentRev": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // Zero if it is malformed.
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, revision, changed := s.eventsAfter(query.Get("prefix"), after)
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after int64) ([]storeItem, int64, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	events := []storeItem{}
	for i := len(s.events) - 1; i >= 0 && s.events[i].Rev > after; i-- {
		if strings.HasPrefix(s.events[i].Key, prefix) {
			events = append(events, s.events[i])
		}
	}
	return events, s.revision, s.changed
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.lastID++
	id := s.lastID
	s.leases[id] = time.Now().Add(time.Duration(call.TTLMS) * time.Millisecond)
	s.mutex.Unlock()
	respond(w, map[string]any{"lease": id, "ttlMs": call.TTLMS})
}

// nodeLeaseMS is the time by which a renewal extends a lease, in milliseconds.
const nodeLeaseMS = 10_000

func (s *Store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64) // Zero names no lease.
	s.mutex.Lock()
	s.expire()
	_, ok := s.leases[id]
	if ok {
		s.leases[id] = time.Now().Add(nodeLeaseMS * time.Millisecond)
	}
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, map[string]any{"ttlMs": nodeLeaseMS})
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []storeItem `json:"ifRev"`
		Writes     []storeItem `json:"writes"`
		Remove     []string    `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	for _, c := range t.Conditions {
		if s.items[c.Key].Rev != c.Rev {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.Writes {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	respond(w, map[string]any{"rev": s.revision})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The node sees an answer that is cut.
}
