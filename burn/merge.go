package burn

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotworks/fault"
)

// Merge returns the joint snapshot of all recorders of a and b. It returns an
// error if a histogram cannot be decoded.
func Merge(a, b Snapshot) (Snapshot, error) {
	merged := Snapshot{At: a.At, Since: a.Since, Nodes: a.Nodes + b.Nodes}
	if b.At.After(a.At) {
		merged.At = b.At
	}
	if a.Since.IsZero() || !b.Since.IsZero() && b.Since.Before(a.Since) {
		merged.Since = b.Since
	}
	var err error
	if merged.Series, err = mergeSeries(a.Series, b.Series); err != nil {
		return Snapshot{}, err
	}
	merged.Costs = mergeCosts(a.Costs, b.Costs)
	merged.sort()
	return merged, nil
}

func mergeSeries(a, b []Series) ([]Series, error) {
	indexes := make(map[Key]int, len(a))
	merged := slices.Clone(a)
	for i, s := range merged {
		indexes[s.Key] = i
	}
	for _, s := range b {
		at, ok := indexes[s.Key]
		if !ok {
			merged = append(merged, s)
			continue
		}
		sum, err := merged[at].plus(s)
		if err != nil {
			return nil, err
		}
		merged[at] = sum
	}
	return merged, nil
}

func (s Series) plus(o Series) (Series, error) {
	s.Short = s.Short.plus(o.Short)
	s.Long = s.Long.plus(o.Long)
	s.All = s.All.plus(o.All)
	s.Buckets = mergeBuckets(s.Buckets, o.Buckets)
	var err error
	if s.Latency, err = mergeHistograms(s.Latency, o.Latency); err != nil {
		return Series{}, err
	}
	s.FirstToken, err = mergeHistograms(s.FirstToken, o.FirstToken)
	return s, err
}

func mergeBuckets(a, b []Bucket) []Bucket {
	merged := slices.Clone(a)
	for _, o := range b {
		at, ok := slices.BinarySearchFunc(merged, o, compareBuckets)
		if ok {
			merged[at].Counts = merged[at].plus(o.Counts)
			continue
		}
		merged = slices.Insert(merged, at, o)
	}
	return merged
}

func mergeHistograms(a, b []byte) ([]byte, error) {
	if len(a) == 0 || len(b) == 0 {
		return append(slices.Clone(a), b...), nil
	}
	left, err := decode(a)
	if err != nil {
		return nil, err
	}
	right, err := decode(b)
	if err != nil {
		return nil, err
	}
	left.Merge(right)
	return encode(left)
}

func decode(encoded []byte) (*hdrhistogram.Histogram, error) {
	if len(encoded) == 0 {
		return newHistogram(), nil
	}
	h, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "decode histogram: %s", err)
	}
	return h, nil
}

func mergeCosts(a, b []CostRecord) []CostRecord {
	indexes := make(map[CostKey]int, len(a))
	merged := slices.Clone(a)
	for i, c := range merged {
		indexes[c.CostKey] = i
	}
	for _, c := range b {
		if at, ok := indexes[c.CostKey]; ok {
			merged[at].Cost = merged[at].plus(c.Cost)
			continue
		}
		merged = append(merged, c)
	}
	return merged
}
