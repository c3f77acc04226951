package conf

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"bergamotworks/ports"
)

const (
	// Limits of one transaction of the store.
	maxTxnOps   = 64
	maxTxnBytes = 512 << 10
)

// writer replaces a head that was read with a new one.
type writer struct {
	store         ports.Store
	head          head
	image         *image
	history       []HistoryEntry
	unchanged     ports.Compare     // That the store still holds the head to replace.
	replacedParts map[string]string // Content hashes in the head to replace.
}

// changedParts returns the operations that write the parts that the head to
// replace does not name.
func (w writer) changedParts() []ports.Put {
	var puts []ports.Put
	for _, name := range slices.Sorted(maps.Keys(w.head.Parts)) {
		if w.replacedParts[name] != w.head.Parts[name] {
			key := partKey(name, w.head.Parts[name])
			puts = append(puts, ports.Put{Key: key, Value: w.image.parts[name].content})
		}
	}
	return puts
}

// fitsInTxn reports whether the parts can be written in the transaction that
// replaces the head. It leaves room for deletions.
func fitsInTxn(puts []ports.Put) bool {
	size := 0
	for _, p := range puts {
		size += len(p.Value)
	}
	return len(puts) <= maxTxnOps/4 && size <= maxTxnBytes
}

// writeParts writes the changed parts in transactions of their own if they do
// not fit in the one that replaces the head. No head refers to them until then.
func (w writer) writeParts(ctx context.Context) error {
	puts := w.changedParts()
	if fitsInTxn(puts) {
		return nil
	}
	var txn ports.Txn
	size := 0
	for _, p := range puts {
		if len(txn.Then) == maxTxnOps || size+len(p.Value) > maxTxnBytes && size > 0 {
			if _, err := w.store.Commit(ctx, txn); err != nil {
				return err
			}
			txn, size = ports.Txn{}, 0
		}
		txn.Then = append(txn.Then, p)
		size += len(p.Value)
	}
	_, err := w.store.Commit(ctx, txn)
	return err
}

// txn returns the transaction that compares and replaces the head. It also
// deletes the parts that only the replaced head refers to, as many as fit.
func (w writer) txn() ports.Txn {
	txn := ports.Txn{Compares: []ports.Compare{w.unchanged}}
	if puts := w.changedParts(); fitsInTxn(puts) {
		for _, p := range puts {
			txn.Then = append(txn.Then, p)
		}
	}
	txn.Then = append(txn.Then,
		ports.Put{Key: headKey, Value: encode(w.head)},
		ports.Put{Key: historyKey, Value: encode(w.history)},
	)
	for _, name := range slices.Sorted(maps.Keys(w.replacedParts)) {
		if w.head.Parts[name] != w.replacedParts[name] && len(txn.Then) < maxTxnOps {
			txn.Then = append(txn.Then, ports.Delete{Key: partKey(name, w.replacedParts[name])})
		}
	}
	return txn
}

// appendHistory returns a copy of the history with one more entry, limited to
// the last maxHistory entries.
func appendHistory(history []HistoryEntry, entry HistoryEntry) []HistoryEntry {
	history = append(slices.Clone(history), entry)
	return history[max(0, len(history)-maxHistory):]
}

// encode returns the JSON encoding of a value of one of this package's types,
// which always encode without error.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
