package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotworks/fault"
)

// Snapshot is the state of one or more recorders. It marshals to JSON.
type Snapshot struct {
	At     time.Time    `json:"at"`
	Since  time.Time    `json:"since"` // First outcome of the oldest recorder; At if there is none.
	Nodes  int          `json:"nodes"`
	Series []Series     `json:"series"`
	Costs  []CostRecord `json:"costs"`
}

// Series is the state of the series of one key. Its histograms are in
// milliseconds, in HdrHistogram's V2 encoding.
type Series struct {
	Key
	Short      Counts   `json:"short"` // Last 5 minutes.
	Long       Counts   `json:"long"`  // Last hour.
	All        Counts   `json:"all"`   // Since the start.
	Latency    []byte   `json:"latency,omitempty"`
	FirstToken []byte   `json:"first_token,omitempty"` // Time to the first token.
	Buckets    []Bucket `json:"buckets,omitempty"`     // Last hour; only for totals.
}

// Bucket counts the outcomes of 10 seconds.
type Bucket struct {
	At int64 `json:"at"` // Start in Unix seconds.
	Counts
}

// CostRecord is the cost of one key.
type CostRecord struct {
	CostKey
	Cost
}

// Snapshot returns the state at the given time. It returns an error if a
// histogram cannot be encoded.
func (r *Recorder) Snapshot(now time.Time) (Snapshot, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s := Snapshot{At: now, Since: r.since, Nodes: 1}
	if r.since.IsZero() {
		s.Since = now
	}
	for key, state := range r.series {
		record, err := state.snapshot(key, now)
		if err != nil {
			return Snapshot{}, err
		}
		s.Series = append(s.Series, record)
	}
	for key, c := range r.costs {
		s.Costs = append(s.Costs, CostRecord{CostKey: key, Cost: *c})
	}
	s.sort()
	return s, nil
}

func (s *series) snapshot(key Key, now time.Time) (Series, error) {
	record := Series{
		Key:   key,
		Short: s.window(now, shortBuckets),
		Long:  s.window(now, bucketCount),
		All:   s.all,
	}
	var err error
	if record.Latency, err = encode(s.latency); err != nil {
		return Series{}, err
	}
	if record.FirstToken, err = encode(s.firstToken); err != nil {
		return Series{}, err
	}
	if key.Dimension == Total {
		record.Buckets = s.buckets(now)
	}
	return record, nil
}

func (s *series) buckets(now time.Time) []Bucket {
	var buckets []Bucket
	newest := bucketNumber(now)
	for _, b := range s.ring {
		if b.total > 0 && b.number <= newest && newest-b.number < uint32(bucketCount) {
			at := int64(b.number) * int64(bucketTime/time.Second)
			buckets = append(buckets, Bucket{At: at, Counts: b.counts()})
		}
	}
	slices.SortFunc(buckets, compareBuckets)
	return buckets
}

func compareBuckets(a, b Bucket) int { return cmp.Compare(a.At, b.At) }

func encode(h *hdrhistogram.Histogram) ([]byte, error) {
	if h == nil || h.TotalCount() == 0 {
		return nil, nil
	}
	encoded, err := h.EncodeV2()
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "encode histogram: %s", err)
	}
	return encoded, nil
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(s.Costs, func(a, b CostRecord) int { return compareCostKeys(a.CostKey, b.CostKey) })
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Objective, b.Objective),
		cmp.Compare(a.Dimension, b.Dimension),
		cmp.Compare(a.Name, b.Name),
	)
}

func compareCostKeys(a, b CostKey) int {
	return cmp.Or(
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Pipeline, b.Pipeline),
		cmp.Compare(a.Stage, b.Stage),
		cmp.Compare(a.Service, b.Service),
	)
}
