package ledger

// journal is the in-memory copy of a shard as it was last read or written.
type journal struct {
	loaded    bool
	revision  int64 // ModRevision of the head; zero if there is none.
	head      head
	openBytes int
	records   map[Key]entry
	parts     map[int64]*part
}

// entry is the newest state of a record and the number of its part.
type entry struct {
	record        Record
	part          int64
	resultOmitted bool // The result was removed from memory and is in the sealed part.
}

// part lists the keys of the records in a part. The open part has the number
// head.Next.
type part struct {
	newestMS int64
	keys     []Key
}

func (j *journal) find(key Key) (Record, bool) {
	e, ok := j.records[key]
	return e.record, ok
}

// withPartKey sets the store key of the part if the result is not in memory.
func (j *journal) withPartKey(shard int, d Decision) Decision {
	if e, ok := j.records[d.Record.Key]; ok && e.resultOmitted {
		d.PartKey = partKey(shard, e.part)
	}
	return d
}

// newestMS returns the latest creation time of the records in a part, in Unix
// milliseconds.
func (j *journal) newestMS(number int64) int64 {
	if p := j.parts[number]; p != nil {
		return p.newestMS
	}
	return 0
}

// droppableParts returns the number of oldest parts that hold only records
// created at or before the cutoff, at most maxDropParts.
func (j *journal) droppableParts(cutoffMS int64) int64 {
	var n int64
	for n < maxDropParts && j.head.First+n < j.head.Next {
		if j.newestMS(j.head.First+n) > cutoffMS {
			break
		}
		n++
	}
	return n
}

// currentRecords returns the records whose newest state is in the part.
func (j *journal) currentRecords(number int64) []Record {
	p := j.parts[number]
	if p == nil {
		return nil
	}
	var records []Record
	for _, k := range p.keys {
		if e, ok := j.records[k]; ok && e.part == number {
			records = append(records, e.record)
		}
	}
	return records
}

func (j *journal) dropPart(number int64) {
	for _, r := range j.currentRecords(number) {
		delete(j.records, r.Key)
	}
	delete(j.parts, number)
}

func (j *journal) put(number int64, r Record) {
	p := j.parts[number]
	if p == nil {
		p = &part{}
		j.parts[number] = p
	}
	p.newestMS = max(p.newestMS, r.CreatedMS)
	p.keys = append(p.keys, r.Key)
	j.records[r.Key] = entry{record: r, part: number}
}

// omitResults removes the results of a sealed part from memory. They can be read
// from the store.
func (j *journal) omitResults(number int64) {
	p := j.parts[number]
	if p == nil {
		return
	}
	for _, k := range p.keys {
		e := j.records[k]
		if e.part != number || len(e.record.Result) == 0 {
			continue
		}
		e.record.Result = nil
		e.resultOmitted = true
		j.records[k] = e
	}
}

// apply updates the journal by a batch that the store has applied.
func (j *journal) apply(b *batch, revision int64) {
	for n := j.head.First; n < b.newHead.First; n++ {
		j.dropPart(n)
	}
	number := j.head.Next
	for _, r := range b.records {
		j.put(number, r)
	}
	if b.sealed {
		j.omitResults(number)
	}
	j.head = b.newHead
	j.revision = revision
	j.updateOpenBytes()
}

// applyLoad updates the journal by the result of a load. It reports whether the
// open part could be decoded; otherwise the journal is unchanged.
func (j *journal) applyLoad(l *loader) bool {
	open, err := decodeRecords(l.head.Open)
	if err != nil {
		return false
	}
	if j.records == nil {
		j.records = make(map[Key]entry)
		j.parts = make(map[int64]*part)
	}
	for n := j.head.First; n < l.head.First; n++ {
		j.dropPart(n)
	}
	delete(j.parts, j.head.Next) // The open part is among the records read, in the head or sealed.
	for n := l.firstPart; n < l.head.Next; n++ {
		j.putAll(n, l.parts[n])
		j.omitResults(n)
	}
	j.putAll(l.head.Next, open)
	j.head = *l.head
	j.revision = l.revision
	j.loaded = true
	j.updateOpenBytes()
	return true
}

func (j *journal) putAll(number int64, records []Record) {
	for _, r := range records {
		j.put(number, r)
	}
}

func (j *journal) updateOpenBytes() {
	j.openBytes = 0
	for _, r := range j.head.Open {
		j.openBytes += len(r)
	}
}
