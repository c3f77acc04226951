package check

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says how a finding affects requests.
type Severity int

// The severities of findings.
const (
	// Info is a difference or a fact that is worth knowing.
	Info Severity = iota
	// Warning means that an entry has no effect or that requests may miss their targets.
	Warning
	// Error means that requests fail, or that the configuration is not loaded.
	Error
)

// Finding is one result of an examination.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    string   `json:"place"` // Entry and field, such as `route "a".timeout`; empty for the whole configuration.
	Text     string   `json:"text"`
}

// Worst returns the highest severity of the findings, Info if there are none.
func Worst(findings []Finding) Severity {
	worst := Info
	for _, f := range findings {
		worst = max(worst, f.Severity)
	}
	return worst
}

// findings collects results.
type findings []Finding

func (l *findings) add(s Severity, place, format string, args ...any) {
	*l = append(*l, Finding{Severity: s, Place: place, Text: fmt.Sprintf(format, args...)})
}

// sorted returns the findings, the most severe first.
func (l findings) sorted() []Finding {
	slices.SortStableFunc(l, func(a, b Finding) int { return cmp.Compare(b.Severity, a.Severity) })
	return l
}
