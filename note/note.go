package note

// Note is a release note: one change of the configuration, accepted whole or
// not at all.
type Note struct {
	// ID identifies the note, so that a lost answer can be settled by reading.
	ID string `json:"id"`
	// BaseRevision is the revision that the operator saw.
	BaseRevision int64     `json:"base_revision"`
	Author       string    `json:"author,omitempty"`
	Text         string    `json:"text,omitempty"`
	Added        Sections  `json:"added"`
	Changed      Sections  `json:"changed"`
	Withdrawn    Withdrawn `json:"withdrawn"`
}

// Withdrawn lists names of objects that a note removes, by kind.
type Withdrawn struct {
	Domains    []string `json:"domains,omitempty"`
	Services   []string `json:"services,omitempty"`
	Targets    []string `json:"targets,omitempty"`
	Pipelines  []string `json:"pipelines,omitempty"`
	Classes    []string `json:"classes,omitempty"`
	Accounts   []string `json:"accounts,omitempty"`
	Objectives []string `json:"objectives,omitempty"`
	Orders     []string `json:"orders,omitempty"`
	Limits     []string `json:"limits,omitempty"`
	Routes     []string `json:"routes,omitempty"`
}
