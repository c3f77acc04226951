package chart

import "io"

// Report is the content of a page. The template page.html uses its fields by
// name.
type Report struct {
	Title    string
	Subtitle string
	// Facts are the key figures, shown at the top.
	Facts  []Fact
	Lines  []LinePlot
	Bars   []BarPlot
	Tables []Table
}

// Fact is a key figure with its name.
type Fact struct {
	Name  string
	Value string
	Bad   bool // Highlighted as a warning.
}

// LinePlot shows values over time.
type LinePlot struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
	Marks  []Mark
	// YMin and YMax set the vertical range if YMax is greater than YMin.
	// Otherwise the range starts at zero or at the smallest value, if that is
	// negative, and ends above the largest value.
	YMin float64
	YMax float64
}

// Series is a named line.
type Series struct {
	Name   string
	Points []Point
}

// Point is a point of a line.
type Point struct {
	X float64
	Y float64
}

// Mark is an event at a position on the horizontal axis.
type Mark struct {
	X     float64
	Label string
}

// BarPlot shows stacked horizontal bars, one for each label.
type BarPlot struct {
	Title      string
	ValueLabel string
	Labels     []string
	Stacks     []Stack // From left to right.
}

// Stack is one segment of every bar.
type Stack struct {
	Name   string
	Values []float64 // One for each label.
}

// Table is a table of texts. The first column is the name of the row.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// Write writes the page as HTML. It returns an error if a plot cannot be drawn
// or w fails.
func (r Report) Write(w io.Writer) error {
	data, err := r.newPageData()
	if err != nil {
		return err
	}
	return page.Execute(w, data)
}
