package member

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rumorTable holds the rumours that have not expired, oldest first.
type rumorTable struct {
	known   map[string]wireRumor
	order   []string
	pending queue[wireRumor]
}

func (r wireRumor) key() string { return r.Kind + "/" + strconv.FormatUint(r.Key, 16) }

// broadcast starts to spread a rumour of the own VM.
func (t *Table) broadcast(r Announcement) {
	t.receiveRumor(wireRumor{Kind: r.Kind, Key: r.Key, Value: r.Value, Until: r.Until.UnixMilli()})
}

// receiveRumor keeps a rumour that is new, hands it out and passes it on.
func (t *Table) receiveRumor(w wireRumor) {
	if !t.now.Before(w.until()) {
		return
	}
	if old, ok := t.rumors.known[w.key()]; ok && old.Value >= w.Value {
		return
	}
	t.rumors.expire(t.now)
	t.rumors.keep(w, t.settings.MaxAnnouncements)
	t.rumors.pending.push(w.key(), w)
	rumor := Announcement{Kind: w.Kind, Key: w.Key, Value: w.Value, Until: w.until()}
	t.actions = append(t.actions, Deliver{Announcement: rumor})
}

// keep adds a rumour and drops the oldest one when the table is full.
func (r *rumorTable) keep(w wireRumor, limit int) {
	if r.known == nil {
		r.known = map[string]wireRumor{}
	}
	key := w.key()
	if _, ok := r.known[key]; !ok {
		r.order = append(r.order, key)
	}
	r.known[key] = w
	for len(r.order) > limit {
		r.remove(r.order[0])
		r.order = r.order[1:]
	}
}

func (r *rumorTable) remove(key string) {
	delete(r.known, key)
	r.pending.drop(key)
}

// expire drops the rumours whose time is over.
func (r *rumorTable) expire(now time.Time) {
	kept := r.order[:0]
	for _, key := range r.order {
		if now.Before(r.known[key].until()) {
			kept = append(kept, key)
			continue
		}
		r.remove(key)
	}
	r.order = kept
}

func (r *rumorTable) digest() uint32 {
	var sum uint32
	for key, w := range r.known {
		sum += uint32(xxhash.Sum64String(key) + uint64(w.Value))
	}
	return sum
}

func (r *rumorTable) all() []wireRumor {
	rumors := make([]wireRumor, 0, len(r.order))
	for _, key := range r.order {
		rumors = append(rumors, r.known[key])
	}
	return rumors
}
