package conf

import (
	"context"
	"encoding/json"
	"slices"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// Keys in the store. The head and the history share a prefix, so that one range
// read returns both at the same revision of the store.
const (
	headKey    = "bergamot/config/head"
	historyKey = "bergamot/config/head_history"
	partPrefix = "bergamot/config/section/"
)

// maxHistory is the number of accepted notes that the history lists.
const maxHistory = 256

// head is the stored value that names the parts of the current configuration.
type head struct {
	Revision int64             `json:"revision"`
	NoteID   string            `json:"note_id"`
	Checksum string            `json:"checksum"`
	Parts    map[string]string `json:"sections"` // Content hashes by part name.
}

// HistoryEntry describes an accepted release note.
type HistoryEntry struct {
	Revision int64  `json:"revision"`
	NoteID   string `json:"note_id"`
	Author   string `json:"author,omitempty"`
	Text     string `json:"text,omitempty"`
}

// storedHead is the head and the history as returned by one range read.
type storedHead struct {
	head      head
	unchanged ports.Compare // That the store still holds this head, or still none.
	history   []HistoryEntry
}

// accepted reports whether the history lists a note. A negative result is
// reliable only if the history covers all revisions since the one that the note
// is based on.
func (h storedHead) accepted(noteID string) bool {
	return slices.ContainsFunc(h.history, func(e HistoryEntry) bool { return e.NoteID == noteID })
}

// coversSince reports whether the history lists every revision after base.
func (h storedHead) coversSince(base int64) bool {
	listed := map[int64]bool{}
	for _, e := range h.history {
		listed[e.Revision] = true
	}
	for r := base + 1; r <= h.head.Revision; r++ {
		if !listed[r] {
			return false
		}
	}
	return true
}

func newHead(i *image) head {
	h := head{
		Revision: i.config.Revision,
		NoteID:   i.config.NoteID,
		Checksum: i.checksum,
		Parts:    map[string]string{},
	}
	for name, p := range i.parts {
		h.Parts[name] = p.hash
	}
	return h
}

// readHead reads the head and the history at one revision of the store. The
// head is zero if there is none.
func readHead(ctx context.Context, store ports.Store) (storedHead, error) {
	response, err := store.Range(ctx, ports.RangeRequest{Key: headKey, Prefix: true})
	if err != nil {
		return storedHead{}, err
	}
	h := storedHead{unchanged: ports.Compare{Key: headKey}}
	for _, e := range response.Entries {
		switch e.Key {
		case headKey:
			h.unchanged = e.Unchanged()
			err = json.Unmarshal(e.Value, &h.head)
		case historyKey:
			err = json.Unmarshal(e.Value, &h.history)
		}
		if err != nil {
			return storedHead{}, fault.New(fault.Internal, fault.NotRun, "decode %s: %s", e.Key, err)
		}
	}
	return h, nil
}

// loadImage returns the image of a head. It reads the parts that the cached
// image, which may be nil, does not have.
func loadImage(ctx context.Context, store ports.Store, h head, cached *image) (*image, error) {
	parts := map[string]part{}
	var missing []string
	for name, hash := range h.Parts {
		if cached != nil && cached.parts[name].hash == hash {
			parts[name] = cached.parts[name]
		} else {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	if err := loadParts(ctx, store, h, missing, parts); err != nil {
		return nil, err
	}
	i := assemble(h.Revision, h.NoteID, parts)
	if i.checksum != h.Checksum {
		return nil, fault.New(fault.Internal, fault.NotRun, "revision %d has checksum %s instead of %s",
			h.Revision, i.checksum, h.Checksum)
	}
	return i, nil
}

// maxSingleReads is the number of missing parts up to which each is read on its
// own; beyond it, one range read returns all parts.
const maxSingleReads = 4

// loadParts reads the missing parts of a head and adds them to parts. It fails
// with fault.NotFound if the head has been replaced and a part deleted.
func loadParts(ctx context.Context, store ports.Store, h head, missing []string, parts map[string]part) error {
	var requests []ports.RangeRequest
	for _, name := range missing {
		requests = append(requests, ports.RangeRequest{Key: partKey(name, h.Parts[name])})
	}
	if len(missing) > maxSingleReads {
		requests = []ports.RangeRequest{{Key: partPrefix, Prefix: true}}
	}
	contents := map[string][]byte{}
	for _, r := range requests {
		response, err := store.Range(ctx, r)
		if err != nil {
			return err
		}
		for _, e := range response.Entries {
			contents[e.Key] = e.Value
		}
	}
	for _, name := range missing {
		content, ok := contents[partKey(name, h.Parts[name])]
		if !ok {
			return fault.New(fault.NotFound, fault.NotRun, "section %s of revision %d is gone", name, h.Revision)
		}
		p, err := newPart(name, content)
		if err != nil {
			return err
		}
		parts[name] = p
	}
	return nil
}

func partKey(name, hash string) string { return partPrefix + name + "/" + hash }
