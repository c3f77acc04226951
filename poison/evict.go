package poison

// evictIfFull makes space for one record: if there are as many as the limit, it
// removes the expired ones and, if that is not enough, the one that is evicted
// before all others.
func evictIfFull[R any](records map[uint64]R, limit int, expired func(R) bool, before func(a, b R) bool) {
	if len(records) < limit {
		return
	}
	var victim uint64
	found := false
	for f, r := range records {
		if expired(r) {
			delete(records, f)
			continue
		}
		if !found || before(r, records[victim]) {
			victim, found = f, true
		}
	}
	if found && len(records) >= limit {
		delete(records, victim)
	}
}
