package fault

// Verdict says whether a request may have run on a target. It decides whether
// the request can be sent again safely.
//
// The zero value is [MayHaveRun], so that an error without a verdict never
// claims that the request did not run.
type Verdict int

// Verdicts of an error.
const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota // may_have_run
	// NotRun means that the request has not run and will not run.
	NotRun // not_run
	// Ran means that the request ran and its result is known.
	Ran // ran
)
