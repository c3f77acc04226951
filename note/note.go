package note

// Note is a release note: a change of the configuration that is accepted as a
// whole or not at all.
type Note struct {
	// ID identifies the note. Submitting a note is idempotent by its ID, so a
	// client whose response was lost can submit it again.
	ID string `json:"id"`
	// BaseRevision is the revision that the change was written for. The note is
	// rejected if it is no longer the current one.
	BaseRevision int64     `json:"base_revision"`
	Author       string    `json:"author,omitempty"`
	Text         string    `json:"text,omitempty"`
	Added        Sections  `json:"added"`
	Changed      Sections  `json:"changed"`
	Withdrawn    Withdrawn `json:"withdrawn"`
}

// Withdrawn lists the names of the objects that a note removes, by section.
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
