package ledger

// journal is a shard's content as it was read or written last.
type journal struct {
	loaded    bool
	revision  int64 // ModRevision of the head; zero if there is none.
	head      head
	openBytes int
	records   map[Key]entry
	parts     map[int64]*part
}

// entry is the newest state of a record and the part it is in.
type entry struct {
	record Record
	part   int64
	bare   bool // The result is not at hand but in the part.
}

// part lists what a part holds. The open part has the number head.Next.
type part struct {
	newestMS int64
	keys     []Key
}

func (j *journal) find(key Key) (Record, bool) {
	e, ok := j.records[key]
	return e.record, ok
}

// locate adds the place of a result that is not at hand.
func (j *journal) locate(shard int, a Decision) Decision {
	if e, ok := j.records[a.Record.Key]; ok && e.bare {
		a.PartKey = partKey(shard, e.part)
	}
	return a
}

// newest returns the creation time of the newest record of a part.
func (j *journal) newest(number int64) int64 {
	if p := j.parts[number]; p != nil {
		return p.newestMS
	}
	return 0
}

// droppable counts the parts, from the oldest on, that hold only records
// created at or before the cutoff.
func (j *journal) droppable(cutoffMS int64) int64 {
	var n int64
	for n < maxDropParts && j.head.First+n < j.head.Next {
		if j.newest(j.head.First+n) > cutoffMS {
			break
		}
		n++
	}
	return n
}

// leaving returns the records whose newest state is in the part.
func (j *journal) leaving(number int64) []Record {
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

func (j *journal) drop(number int64) {
	for _, r := range j.leaving(number) {
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

// strip forgets the results of a sealed part, which can be read again.
func (j *journal) strip(number int64) {
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
		e.bare = true
		j.records[k] = e
	}
}

// apply takes over a batch that the store has applied.
func (j *journal) apply(b *batch, revision int64) {
	for n := j.head.First; n < b.next.First; n++ {
		j.drop(n)
	}
	number := j.head.Next
	for _, r := range b.records {
		j.put(number, r)
	}
	if b.sealed {
		j.strip(number)
	}
	j.head = b.next
	j.revision = revision
	j.measure()
}

// replace takes over what a loader has read. It reports whether all of it
// could be decoded.
func (j *journal) replace(l *loader) bool {
	open, err := decodeRecords(l.head.Open)
	if err != nil {
		return false
	}
	if j.records == nil {
		j.records = make(map[Key]entry)
		j.parts = make(map[int64]*part)
	}
	for n := j.head.First; n < l.head.First; n++ {
		j.drop(n)
	}
	delete(j.parts, j.head.Next) // What was open is among the records read.
	for n := l.from; n < l.head.Next; n++ {
		j.putAll(n, l.parts[n])
		j.strip(n)
	}
	j.putAll(l.head.Next, open)
	j.head = *l.head
	j.revision = l.revision
	j.loaded = true
	j.measure()
	return true
}

func (j *journal) putAll(number int64, records []Record) {
	for _, r := range records {
		j.put(number, r)
	}
}

func (j *journal) measure() {
	j.openBytes = 0
	for _, r := range j.head.Open {
		j.openBytes += len(r)
	}
}
