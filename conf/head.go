package conf

import (
	"context"
	"encoding/json"
	"slices"

	"bergamotworks/fault"
	"bergamotworks/ports"
)

// The keys of the store. The head and its history share a prefix, so that one
// range reads both at one revision of the store.
const (
	headKey       = "bergamot/config/head"
	historyKey    = "bergamot/config/head_history"
	sectionPrefix = "bergamot/config/section/"
)

// maxHistory is the number of accepted notes that are remembered.
const maxHistory = 256

// head is the value of the store that names the configuration in force.
type head struct {
	Revision int64             `json:"revision"`
	NoteID   string            `json:"note_id"`
	Checksum string            `json:"checksum"`
	Sections map[string]string `json:"sections"` // Content hashes by name.
}

// HistoryEntry is an accepted release note.
type HistoryEntry struct {
	Revision int64  `json:"revision"`
	NoteID   string `json:"note_id"`
	Author   string `json:"author,omitempty"`
	Text     string `json:"text,omitempty"`
}

// present is what one range of the store has shown.
type present struct {
	head        head
	modRevision int64 // Of the head; zero if there is none.
	history     []HistoryEntry
}

// has reports whether a note was accepted. It is exact only if the history
// reaches back to the revision on which the note was offered.
func (p present) has(noteID string) bool {
	return slices.ContainsFunc(p.history, func(e HistoryEntry) bool { return e.NoteID == noteID })
}

// covers reports whether the history holds every revision after base.
func (p present) covers(base int64) bool {
	known := map[int64]bool{}
	for _, e := range p.history {
		known[e.Revision] = true
	}
	for r := base + 1; r <= p.head.Revision; r++ {
		if !known[r] {
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
		Sections: map[string]string{},
	}
	for name, p := range i.parts {
		h.Sections[name] = p.hash
	}
	return h
}

// readHead reads the head and the history.
func readHead(ctx context.Context, store ports.Store) (present, error) {
	response, err := store.Range(ctx, ports.RangeRequest{Key: headKey, Prefix: true})
	if err != nil {
		return present{}, err
	}
	var p present
	for _, e := range response.Entries {
		switch e.Key {
		case headKey:
			p.modRevision = e.ModRevision
			err = json.Unmarshal(e.Value, &p.head)
		case historyKey:
			err = json.Unmarshal(e.Value, &p.history)
		}
		if err != nil {
			return present{}, fault.New(fault.Internal, fault.NotRun, "decode %s: %s", e.Key, err)
		}
	}
	return p, nil
}

// load reads the parts that a head names and that the known image lacks.
func load(ctx context.Context, store ports.Store, h head, known *image) (*image, error) {
	parts := map[string]part{}
	var missing []string
	for name, hash := range h.Sections {
		if known != nil && known.parts[name].hash == hash {
			parts[name] = known.parts[name]
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

// maxSingleReads is the number of parts up to which each is read by itself.
const maxSingleReads = 4

func loadParts(ctx context.Context, store ports.Store, h head, missing []string, parts map[string]part) error {
	var requests []ports.RangeRequest
	for _, name := range missing {
		requests = append(requests, ports.RangeRequest{Key: sectionKey(name, h.Sections[name])})
	}
	if len(missing) > maxSingleReads {
		requests = []ports.RangeRequest{{Key: sectionPrefix, Prefix: true}}
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
		content, ok := contents[sectionKey(name, h.Sections[name])]
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

func sectionKey(name, hash string) string { return sectionPrefix + name + "/" + hash }
