package store

import (
	"maps"

	"bergamotworks/ports"
)

// maxLogBytes bounds the values that a [Memory] keeps of earlier revisions.
const maxLogBytes = 8 << 20

// change is one change of a key, with what stood there before.
type change struct {
	revision int64
	before   ports.KeyValue
	event    ports.WatchEvent
}

func (c change) size() int {
	return len(c.before.Value) + len(c.event.Entry.Key) + 64
}

// changeLog holds the latest changes. Changes up to the floor are forgotten.
type changeLog struct {
	floor   int64
	bytes   int
	changes []change
}

func (l *changeLog) add(changes []change) {
	for _, c := range changes {
		l.changes = append(l.changes, c)
		l.bytes += c.size()
	}
	for l.bytes > maxLogBytes && len(l.changes) > len(changes) {
		l.floor = l.changes[0].revision
		l.bytes -= l.changes[0].size()
		l.changes = l.changes[1:]
	}
}

// undo returns the entries as they were at a revision not below the floor.
func (l *changeLog) undo(entries map[string]ports.KeyValue, revision int64) map[string]ports.KeyValue {
	past := maps.Clone(entries)
	for i := len(l.changes) - 1; i >= 0; i-- {
		c := l.changes[i]
		if c.revision <= revision {
			break
		}
		if c.before.ModRevision == 0 {
			delete(past, c.event.Entry.Key)
		} else {
			past[c.before.Key] = c.before
		}
	}
	return past
}

// since returns the changes from a revision on, and whether all are known.
func (l *changeLog) since(revision int64) ([]change, bool) {
	if revision <= l.floor {
		return nil, false
	}
	for i, c := range l.changes {
		if c.revision >= revision {
			return l.changes[i:], true
		}
	}
	return nil, true
}
