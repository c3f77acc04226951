package batch

import (
	"slices"
	"time"

	"bergamotworks/site"
)

// The times that a request needs beyond the calls of its stages.
const (
	engineTime = 250 * time.Millisecond // From the last result to the answer.
	stageSlack = 50 * time.Millisecond  // Wait of a stage's pieces on a calm day.
)

// Plan is the stages of one request: what each waits for, reads and leaves to do.
type Plan struct {
	Stages []site.Stage
	Counts []int // Pieces of each stage; a stage without pieces is left out.
	Config site.Config
	// Wait returns the time until work of a service begins.
	EstimateWait func(service string) time.Duration
}

// Ready reports whether a stage can begin once the stages for which done is true
// have ended.
func (p Plan) Ready(stage int, done func(int) bool) bool {
	for _, a := range p.Stages[stage].After {
		if p.Counts[a] > 0 && !done(a) {
			return false
		}
	}
	return true
}

// Due reports whether a stage that is ready should begin. Large results take
// scarce memory until the request itself reads them, so a stage that makes them
// waits while the other stages need longer than it does.
func (p Plan) Due(stage int, done func(int) bool) bool {
	if int64(p.Counts[stage])*p.Stages[stage].ResultBytes < largeCrossing {
		return true
	}
	own := p.EstimateWait(p.Stages[stage].Service) + domainWait + p.callTime(stage) + p.RemainingTime(stage)
	return p.left(stage, done) <= own
}

// left returns the time until the stages other than the given one are done and
// the request is answered, if those that can begin do so now.
func (p Plan) left(but int, done func(int) bool) time.Duration {
	var longest time.Duration
	for i := range p.Stages {
		if i != but && p.Counts[i] > 0 && !done(i) {
			longest = max(longest, p.callTime(i)+p.RemainingTime(i))
		}
	}
	return longest
}

// Read reports whether every stage that reads the results of a stage is done.
func (p Plan) Read(stage int, done func(int) bool) bool {
	for i, s := range p.Stages {
		if p.Counts[i] > 0 && !done(i) && slices.Contains(s.After, stage) {
			return false
		}
	}
	return true
}

// RemainingTime returns the time that the request needs after a stage.
func (p Plan) RemainingTime(stage int) time.Duration {
	longest := engineTime
	for i, s := range p.Stages {
		if p.Counts[i] == 0 || !slices.Contains(s.After, stage) {
			continue
		}
		longest = max(longest, max(stageSlack, p.EstimateWait(s.Service))+p.callTime(i)+p.RemainingTime(i))
	}
	return longest
}

// callTime returns the time of a call with the pieces of a stage.
func (p Plan) callTime(stage int) time.Duration {
	service, ok := p.Config.Service(p.Stages[stage].Service)
	if !ok || service.Batch == nil {
		return 0
	}
	return service.Batch.CallTime + time.Duration(min(p.Counts[stage], service.Batch.Size))*service.Batch.PieceTime
}

// InputBytes returns the bytes that the pieces of a stage read; each piece reads
// all its inputs.
func (p Plan) InputBytes(stage int) int64 {
	var sum int64
	for _, a := range p.Stages[stage].After {
		sum += int64(p.Counts[a]) * p.Stages[a].ResultBytes
	}
	return int64(p.Counts[stage]) * sum
}

// OutputBytes returns the bytes that are read of the results of a stage.
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
