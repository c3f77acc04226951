package member

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// announcementTable holds the announcements that have not expired.
type announcementTable struct {
	known   map[string]wireAnnouncement // By kind and key.
	order   []string                    // Keys of known, oldest first.
	pending queue[wireAnnouncement]     // Announcements to piggyback on messages.
}

func (a wireAnnouncement) key() string { return a.Kind + "/" + strconv.FormatUint(a.Key, 16) }

// broadcast starts to gossip an announcement of the local VM.
func (t *Table) broadcast(a Announcement) {
	t.receiveAnnouncement(wireAnnouncement{Kind: a.Kind, Key: a.Key, Value: a.Value, Until: a.Until.UnixMilli()})
}

// receiveAnnouncement stores a new announcement, delivers it and gossips it.
func (t *Table) receiveAnnouncement(a wireAnnouncement) {
	if !t.now.Before(a.until()) {
		return
	}
	if old, ok := t.announcements.known[a.key()]; ok && old.Value >= a.Value {
		return
	}
	t.announcements.expire(t.now)
	t.announcements.store(a, t.settings.MaxAnnouncements)
	t.announcements.pending.push(a.key(), a)
	announcement := Announcement{Kind: a.Kind, Key: a.Key, Value: a.Value, Until: a.until()}
	t.actions = append(t.actions, Deliver{Announcement: announcement})
}

// store adds an announcement and removes the oldest ones above the limit.
func (t *announcementTable) store(a wireAnnouncement, limit int) {
	if t.known == nil {
		t.known = map[string]wireAnnouncement{}
	}
	key := a.key()
	if _, ok := t.known[key]; !ok {
		t.order = append(t.order, key)
	}
	t.known[key] = a
	for len(t.order) > limit {
		t.remove(t.order[0])
		t.order = t.order[1:]
	}
}

func (t *announcementTable) remove(key string) {
	delete(t.known, key)
	t.pending.remove(key)
}

// expire removes the announcements that have expired.
func (t *announcementTable) expire(now time.Time) {
	kept := t.order[:0]
	for _, key := range t.order {
		if now.Before(t.known[key].until()) {
			kept = append(kept, key)
			continue
		}
		t.remove(key)
	}
	t.order = kept
}

func (t *announcementTable) digest() uint32 {
	var sum uint32
	for key, a := range t.known {
		sum += uint32(xxhash.Sum64String(key) + uint64(a.Value))
	}
	return sum
}

func (t *announcementTable) all() []wireAnnouncement {
	announcements := make([]wireAnnouncement, 0, len(t.order))
	for _, key := range t.order {
		announcements = append(announcements, t.known[key])
	}
	return announcements
}
