package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Dimension is the property by which the outcomes of an objective are grouped.
type Dimension int

// The dimensions.
const (
	// Total counts all outcomes of the objective.
	Total Dimension = iota
	// Domain groups by failure domain.
	Domain
	// Account groups by client account.
	Account
)

// Key identifies a series.
type Key struct {
	Objective string    `json:"objective"`
	Dimension Dimension `json:"dimension"`
	Name      string    `json:"name,omitempty"` // Failure domain or client account; empty for Total.
}

// Counts are numbers of requests by outcome. Total also includes those that are
// neither Good, Rejected nor MayHaveRun: failures with the verdict Ran, and responses
// within the deadline but beyond the latency target.
type Counts struct {
	Total      uint64 `json:"total"`
	Good       uint64 `json:"good"`         // Complete response within the deadline and the latency target.
	Rejected   uint64 `json:"refused"`      // Failed with the verdict NotRun.
	MayHaveRun uint64 `json:"may_have_run"` // Failed with the verdict MayHaveRun, or succeeded after the deadline.
	Retried    uint64 `json:"retried"`      // Some stage had more than one attempt.
}

func (c Counts) plus(o Counts) Counts {
	c.Total += o.Total
	c.Good += o.Good
	c.Rejected += o.Rejected
	c.MayHaveRun += o.MayHaveRun
	c.Retried += o.Retried
	return c
}

const (
	bucketTime  = 10 * time.Second
	shortWindow = 5 * time.Minute
	longWindow  = time.Hour
	bucketCount = int(longWindow / bucketTime)

	maxLatencyMS       = 10 * 60 * 1000 // Largest value of a histogram.
	significantFigures = 2              // Decimal precision of a histogram.
	histogramUnit      = time.Millisecond
	shortBuckets       = int(shortWindow / bucketTime)
	otherName          = "(other)" // Name under which domains and accounts beyond the limits below are counted.
	noObjective        = "(none)"  // Name for outcomes to which no objective applies.
	maxSeries          = 4096      // Series of a recorder; see seriesFor.
	maxCosts           = 16384     // CostKeys of a recorder.
	maxHistogramSeries = 512       // Series with histograms, which are those of totals and failure domains.
)

// series counts the outcomes of one key, in total and for the last hour in a
// ring of buckets of 10 seconds.
type series struct {
	all        Counts
	ring       [bucketCount]ringBucket
	latency    *hdrhistogram.Histogram // Nil for client accounts.
	firstToken *hdrhistogram.Histogram // Nil except for totals.
}

// ringBucket holds the Counts of one bucket in a compact form.
type ringBucket struct {
	number     uint32 // Unix time divided by the bucket time.
	total      uint32
	good       uint32
	rejected   uint32
	mayHaveRun uint32
	retried    uint32
}

func newSeries(dimension Dimension) *series {
	s := &series{}
	if dimension != Account {
		s.latency = newHistogram()
	}
	if dimension == Total {
		s.firstToken = newHistogram()
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMS, significantFigures)
}

func bucketNumber(at time.Time) uint32 { return uint32(at.Unix() / int64(bucketTime/time.Second)) }

func (s *series) add(o Outcome, counts Counts) {
	s.all = s.all.plus(counts)
	number := bucketNumber(o.At)
	b := &s.ring[number%uint32(bucketCount)]
	if b.number != number {
		*b = ringBucket{number: number}
	}
	b.total += uint32(counts.Total)
	b.good += uint32(counts.Good)
	b.rejected += uint32(counts.Rejected)
	b.mayHaveRun += uint32(counts.MayHaveRun)
	b.retried += uint32(counts.Retried)
	observe(s.latency, o.Latency)
	observe(s.firstToken, o.FirstToken)
}

func observe(h *hdrhistogram.Histogram, d time.Duration) {
	if h == nil || d <= 0 {
		return
	}
	// A value beyond the range of the histogram counts as its maximum.
	_ = h.RecordValue(min(max(1, int64(d/histogramUnit)), maxLatencyMS))
}

// window returns the sum of the newest buckets.
func (s *series) window(now time.Time, buckets int) Counts {
	var sum Counts
	newest := bucketNumber(now)
	for _, b := range s.ring {
		if b.number <= newest && newest-b.number < uint32(buckets) {
			sum = sum.plus(b.counts())
		}
	}
	return sum
}

func (b ringBucket) counts() Counts {
	return Counts{
		Total: uint64(b.total), Good: uint64(b.good), Rejected: uint64(b.rejected),
		MayHaveRun: uint64(b.mayHaveRun), Retried: uint64(b.retried),
	}
}
