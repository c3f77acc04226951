package trial

// CostComparison has the cost of the work as the system under test reports it
// and as the stand-ins measured it.
type CostComparison struct {
	TargetSeconds float64 `json:"target_seconds"`
	Tokens        int     `json:"tokens"`
	// The stand-ins' figures include the warm-up, as those of the system do.
	StandInSeconds float64 `json:"stand_in_seconds"`
	StandInTokens  int     `json:"stand_in_tokens"`
}

// CostReporter is implemented by a [System] that reports the cost of its work.
type CostReporter interface {
	// ReportedCost returns the target-seconds and tokens of all work so far.
	ReportedCost() (targetSeconds float64, tokens int, err error)
}

// compareCosts returns the costs reported by the system beside those measured
// by the stand-ins, or nil if the system is no [CostReporter].
func (e *experiment) compareCosts(system System) (*CostComparison, error) {
	reporter, ok := system.(CostReporter)
	if !ok {
		return nil, nil
	}
	total := e.fleet.Snapshot().Total
	reportedSeconds, tokens, err := reporter.ReportedCost()
	if err != nil {
		return nil, err
	}
	return &CostComparison{
		TargetSeconds: reportedSeconds, Tokens: tokens,
		StandInSeconds: total.Busy.Seconds(), StandInTokens: total.Tokens,
	}, nil
}
