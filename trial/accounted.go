package trial

// CostComparison is what the system itself says that its work cost, beside what the
// stand-ins counted.
type CostComparison struct {
	TargetSeconds float64 `json:"target_seconds"`
	Tokens        int     `json:"tokens"`
	// The stand-ins' counts cover the warm-up, as the system's accounts do.
	StandInSeconds float64 `json:"stand_in_seconds"`
	StandInTokens  int     `json:"stand_in_tokens"`
}

// CostReporter is a [System] that accounts for the work of its targets.
type CostReporter interface {
	// Accounted returns the target-seconds and tokens of all work so far.
	ReportedCost() (targetSeconds float64, tokens int, err error)
}

// accounted compares the system's accounts with the stand-ins' counts. It
// returns nil if the system keeps none.
func (e *experiment) accounted(system System) (*CostComparison, error) {
	accountant, ok := system.(CostReporter)
	if !ok {
		return nil, nil
	}
	total := e.fleet.Snapshot().Total
	seconds, tokens, err := accountant.ReportedCost()
	if err != nil {
		return nil, err
	}
	return &CostComparison{
		TargetSeconds: seconds, Tokens: tokens,
		StandInSeconds: total.Busy.Seconds(), StandInTokens: total.Tokens,
	}, nil
}
