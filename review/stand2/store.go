package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storePageItems = 500
	storeDelay     = 4 * time.Millisecond
	firstRevision  = 10
)

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"rev"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	address string

	mutex    sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	changed  chan struct{}
}

// newStore starts a store at an address.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), items: make(map[string]item), revision: firstRevision,
		leases: make(map[int64]time.Time), ttls: make(map[int64]time.Duration), changed: make(chan struct{}),
	}
	go s.run(listener)
	return s, nil
}

// run serves until the process ends.
func (s *store) run(listener net.Listener) {
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	_ = server.Serve(listener)
}

// put writes an entry as an operator or a target does, and returns the time of the
// confirmation.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The cases write what can be encoded.
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.set(key, data, 0)
	return time.Now()
}

// remove removes an entry.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unset(key)
}

func (s *store) set(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries of leases that have ended. The mutex is held.
func (s *store) expire() {
	for id, end := range s.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.unset(key)
			}
		}
	}
}

// ServeHTTP implements [http.Handler].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch path := r.URL.Path; {
	case path == "/api/kv-range":
		s.list(w, r)
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-txn":
		s.commit(w, r)
	case path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	s.expire()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > storePageItems
	respond(w, map[string]any{"items": found[:min(len(found), storePageItems)], "morePages": more, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
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

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []item   `json:"ifRev"`
		Writes     []item   `json:"writes"`
		Remove     []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, i := range t.Writes {
		s.set(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	respond(w, map[string]any{"rev": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := int64(len(s.ttls) + 1)
	s.ttls[id] = time.Duration(call.TTLMS) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttls[id])
	respond(w, map[string]any{"lease": id, "ttlMs": call.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	respond(w, map[string]any{"ttlMs": s.ttls[id].Milliseconds()})
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The node sees an answer that is cut.
}
