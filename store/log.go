package store

import (
	"maps"

	"bergamotworks/ports"
)

// maxLogBytes limits the size of the change log of a [Memory], in bytes.
const maxLogBytes = 8 << 20

// change is one change of a key with its previous entry, which is zero if the key
// did not exist.
type change struct {
	revision int64
	before   ports.KeyValue
	event    ports.WatchEvent
}

// size returns the approximate size of the change in memory, in bytes. It does not
// include the new value, which the current entries or a later change hold too.
func (c change) size() int {
	return len(c.before.Value) + len(c.event.Entry.Key) + 64
}

// changeLog holds the latest changes. Changes up to the compacted revision have
// been removed.
type changeLog struct {
	compacted int64
	bytes     int
	changes   []change
}

func (l *changeLog) add(changes []change) {
	for _, c := range changes {
		l.changes = append(l.changes, c)
		l.bytes += c.size()
	}
	for l.bytes > maxLogBytes && len(l.changes) > len(changes) {
		l.compacted = l.changes[0].revision
		l.bytes -= l.changes[0].size()
		l.changes = l.changes[1:]
	}
}

// entriesAt returns the entries at a revision, which must not be lower than the
// compacted one, by reverting later changes.
func (l *changeLog) entriesAt(entries map[string]ports.KeyValue, revision int64) map[string]ports.KeyValue {
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

// since returns the changes from a revision on. It reports false if some of them
// have been compacted.
func (l *changeLog) since(revision int64) ([]change, bool) {
	if revision <= l.compacted {
		return nil, false
	}
	for i, c := range l.changes {
		if c.revision >= revision {
			return l.changes[i:], true
		}
	}
	return nil, true
}
