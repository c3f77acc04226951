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

// storeDelay is the time that the store needs for a response.
const storeDelay = 4 * time.Millisecond

// pageItems is the number of items in one page of a range.
const pageItems = 50

// item is an entry of the store, or a change of one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's store. It is never impaired itself:
// cuts are made by proxies in front of it.
type store struct {
	address string
	server  *http.Server

	mutex   sync.Mutex
	items   map[string]item
	history []item
	rev     int64
	changed chan struct{} // Closed and replaced at each change.
	leases  map[int64]*lease
	last    int64
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), items: map[string]item{}, rev: 100, changed: make(chan struct{}), leases: map[int64]*lease{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.handleRange)
	mux.HandleFunc("GET /api/kv-key", s.handleKey)
	mux.HandleFunc("GET /api/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /api/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /api/kv-lease", s.handleLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.handleLeaseEnd)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) expireLeases() {
	for {
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

// endLease removes a lease and its keys. The mutex is held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.commit(nil, keys)
	}
}

// put writes a key and returns the revision, as the operator or a worker does.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.commit([]item{{Key: key, Value: data}}, nil)
	return s.rev
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; ok {
		s.commit(nil, []string{key})
	}
}

// commit applies writes and removals as one change. The mutex is held.
func (s *store) commit(writes []item, removed []string) {
	s.rev++
	for _, w := range writes {
		w.Rev, w.Created = s.rev, s.rev
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	for _, k := range removed {
		if _, ok := s.items[k]; !ok {
			continue
		}
		delete(s.items, k)
		s.history = append(s.history, item{Key: k, Rev: s.rev, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	list := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	rev := s.rev
	s.mutex.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	respond(w, 200, map[string]any{"items": list, "morePages": more, "currentRev": rev})
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mutex.Unlock()
	if !ok {
		respond(w, 404, map[string]any{"currentRev": rev})
		return
	}
	respond(w, 200, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": i.Lease, "currentRev": rev})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			respond(w, 200, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			respond(w, 200, map[string]any{"events": events, "currentRev": rev})
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t struct {
		IfRev []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"ifRev"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		respond(w, 400, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range t.IfRev {
		if s.items[c.Key].Rev != c.Rev {
			respond(w, 412, map[string]any{"items": []item{s.items[c.Key]}})
			return
		}
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			respond(w, 404, map[string]any{})
			return
		}
	}
	s.commit(t.Writes, t.Remove)
	respond(w, 200, map[string]any{"rev": s.rev})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var q struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	ttl := time.Duration(max(q.TTL, 1000)) * time.Millisecond
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last++
	s.leases[s.last] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	respond(w, 200, map[string]any{"lease": s.last, "ttlMs": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := s.leases[id]
	if l == nil {
		respond(w, 404, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	respond(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endLease(id)
	respond(w, 200, map[string]any{})
}
