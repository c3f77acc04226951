package conf

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"bergamotworks/ports"
)

const (
	// A transaction of the store has at most this many operations and bytes.
	maxTxnOps   = 64
	maxTxnBytes = 512 << 10
)

// writer writes a new head over one that was read.
type writer struct {
	store       ports.Store
	head        head
	image       *image
	history     []HistoryEntry
	modRevision int64             // Of the head to be replaced; zero if there was none.
	before      map[string]string // Sections of the head to be replaced.
}

// newParts returns the operations for the sections that the store lacks.
func (w writer) newParts() []ports.Put {
	var puts []ports.Put
	for _, name := range slices.Sorted(maps.Keys(w.head.Sections)) {
		if w.before[name] != w.head.Sections[name] {
			key := sectionKey(name, w.head.Sections[name])
			puts = append(puts, ports.Put{Key: key, Value: w.image.parts[name].content})
		}
	}
	return puts
}

// fits reports whether the new sections can go into the transaction of the head.
func fits(puts []ports.Put) bool {
	size := 0
	for _, p := range puts {
		size += len(p.Value)
	}
	return len(puts) <= maxTxnOps/4 && size <= maxTxnBytes
}

// writeParts writes the new sections ahead if they are too many for the
// transaction of the head. Nothing refers to them yet.
func (w writer) writeParts(ctx context.Context) error {
	puts := w.newParts()
	if fits(puts) {
		return nil
	}
	var batch ports.Txn
	size := 0
	for _, p := range puts {
		if len(batch.Then) == maxTxnOps || size+len(p.Value) > maxTxnBytes && size > 0 {
			if _, err := w.store.Commit(ctx, batch); err != nil {
				return err
			}
			batch, size = ports.Txn{}, 0
		}
		batch.Then = append(batch.Then, p)
		size += len(p.Value)
	}
	_, err := w.store.Commit(ctx, batch)
	return err
}

// txn returns the compare-and-swap of the head. It removes the sections that no
// head refers to any more, as far as they fit.
func (w writer) txn() ports.Txn {
	txn := ports.Txn{Compares: []ports.Compare{{Key: headKey, ModRevision: w.modRevision}}}
	if puts := w.newParts(); fits(puts) {
		for _, p := range puts {
			txn.Then = append(txn.Then, p)
		}
	}
	txn.Then = append(txn.Then,
		ports.Put{Key: headKey, Value: encode(w.head)},
		ports.Put{Key: historyKey, Value: encode(w.history)},
	)
	for _, name := range slices.Sorted(maps.Keys(w.before)) {
		if w.head.Sections[name] != w.before[name] && len(txn.Then) < maxTxnOps {
			txn.Then = append(txn.Then, ports.Delete{Key: sectionKey(name, w.before[name])})
		}
	}
	return txn
}

// extend returns a bounded history with one more entry.
func extend(history []HistoryEntry, entry HistoryEntry) []HistoryEntry {
	history = append(slices.Clone(history), entry)
	return history[max(0, len(history)-maxHistory):]
}

// encode returns the JSON text. The types of this package cannot fail to encode.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
