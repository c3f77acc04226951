package batch

import (
	"slices"
	"time"

	"bergamotworks/site"
)

// Times that a request needs beyond the calls of its stages.
const (
	finalResponseTime = 250 * time.Millisecond // From the last stage result to the response.
	typicalQueueWait  = 50 * time.Millisecond  // Queue wait of a stage under normal load.
)

// Plan schedules the stages of one request.
type Plan struct {
	Stages []site.RouteStage
	Counts []int // Pieces of each stage; a stage without pieces is skipped.
	Config site.Config
	// EstimateWait returns the time until new work of a service starts.
	EstimateWait func(service string) time.Duration
}

// Ready reports whether all stages that the given stage depends on are done.
func (p Plan) Ready(stage int, done func(int) bool) bool {
	for _, a := range p.Stages[stage].After {
		if p.Counts[a] > 0 && !done(a) {
			return false
		}
	}
	return true
}

// Due reports whether a stage that is ready should start now. Large results
// occupy scarce memory until the request reads them, so a stage that produces
// them is delayed while the other stages need longer than it does.
func (p Plan) Due(stage int, done func(int) bool) bool {
	if int64(p.Counts[stage])*p.Stages[stage].ResultBytes < largeTransfer {
		return true
	}
	own := p.EstimateWait(p.Stages[stage].Service) + preferredDomainTimeout + p.callTime(stage) + p.RemainingTime(stage)
	return p.othersTime(stage, done) <= own
}

// othersTime returns the time until all stages but the given one are done and
// the response of the request is sent, if every stage that can start does so
// now.
func (p Plan) othersTime(except int, done func(int) bool) time.Duration {
	var longest time.Duration
	for i := range p.Stages {
		if i != except && p.Counts[i] > 0 && !done(i) {
			longest = max(longest, p.callTime(i)+p.RemainingTime(i))
		}
	}
	return longest
}

// ResultsConsumed reports whether every stage that reads the results of the given stage
// is done, so that the results can be released.
func (p Plan) ResultsConsumed(stage int, done func(int) bool) bool {
	for i, s := range p.Stages {
		if p.Counts[i] > 0 && !done(i) && slices.Contains(s.After, stage) {
			return false
		}
	}
	return true
}

// ReadByStage reports whether another stage reads the results of a stage. Their
// failure domain is then free to choose, since the work of the reader follows them.
func (p Plan) ReadByStage(stage int) bool {
	for i, s := range p.Stages {
		if p.Counts[i] > 0 && slices.Contains(s.After, stage) {
			return true
		}
	}
	return false
}

// RemainingTime returns the estimated time that the request needs after a
// stage.
func (p Plan) RemainingTime(stage int) time.Duration {
	longest := finalResponseTime
	for i, s := range p.Stages {
		if p.Counts[i] == 0 || !slices.Contains(s.After, stage) {
			continue
		}
		longest = max(longest, max(typicalQueueWait, p.EstimateWait(s.Service))+p.callTime(i)+p.RemainingTime(i))
	}
	return longest
}

// StagesTime returns the estimated time until the results of all stages are there, if
// the first ones start now.
func (p Plan) StagesTime() time.Duration {
	var longest time.Duration
	for i, s := range p.Stages {
		if p.Counts[i] == 0 || slices.ContainsFunc(s.After, func(a int) bool { return p.Counts[a] > 0 }) {
			continue
		}
		longest = max(longest, p.EstimateWait(s.Service)+p.callTime(i)+p.RemainingTime(i)-finalResponseTime)
	}
	return longest
}

// callTime returns the duration of a call with the pieces of a stage.
func (p Plan) callTime(stage int) time.Duration {
	service, ok := p.Config.Service(p.Stages[stage].Service)
	if !ok || service.Batch == nil {
		return 0
	}
	return service.Batch.CallTime + time.Duration(min(p.Counts[stage], service.Batch.Size))*service.Batch.PieceTime
}

// InputBytes returns the number of bytes that the pieces of a stage read in
// all; each piece reads all inputs.
func (p Plan) InputBytes(stage int) int64 {
	var sum int64
	for _, a := range p.Stages[stage].After {
		sum += int64(p.Counts[a]) * p.Stages[a].ResultBytes
	}
	return int64(p.Counts[stage]) * sum
}

// OutputBytes returns the number of bytes that are read of a stage's results
// in all, counted once for each piece that reads them, or once if only the
// request itself does.
func (p Plan) OutputBytes(stage int) int64 {
	own := int64(p.Counts[stage]) * p.Stages[stage].ResultBytes
	readers := 0
	for i, s := range p.Stages {
		if slices.Contains(s.After, stage) {
			readers += p.Counts[i]
		}
	}
	return own * int64(max(readers, 1))
}
