package fault

// Verdict says whether a request may have run on a target.
//
// The zero value is [MayHaveRun], so that an error without a verdict never
// promises too much.
type Verdict int

// The verdicts.
const (
	// MayHaveRun means that the outcome is open.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request ran and that its result is known.
	Ran
)
