package site

// Position is a point in the history of the store.
type Position struct {
	// Epoch is the number of the history. It rises when the store comes back from a
	// copy that lacks changes which it had acknowledged. Zero means that the store does
	// not state it.
	Epoch int64 `json:"epoch,omitempty"`
	// Revision is the number of the change within the epoch. A new epoch gives out
	// revisions again that the one before had given out.
	Revision int64 `json:"revision"`
}

// After reports whether p is later than q: a later epoch goes before any revision.
func (p Position) After(q Position) bool {
	if p.Epoch != q.Epoch {
		return p.Epoch > q.Epoch
	}
	return p.Revision > q.Revision
}

// Latest returns the later one of p and q.
func (p Position) Latest(q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
