package chart

import "io"

// Report is the content of a page.
type Report struct {
	Title    string
	Subtitle string
	// Facts are the figures to see first.
	Facts  []Fact
	Lines  []LinePlot
	Bars   []BarPlot
	Tables []Table
}

// Fact is a figure with its name.
type Fact struct {
	Name  string
	Value string
	Bad   bool // Shown as a warning.
}

// LinePlot shows values over time.
type LinePlot struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
	Marks  []Mark
	// YMin and YMax fix the vertical range if YMax is greater than YMin.
	// Otherwise it starts at zero.
	YMin float64
	YMax float64
}

// Series is a named line.
type Series struct {
	Name   string
	Points []Point
}

// Point is one value of a line.
type Point struct {
	X float64
	Y float64
}

// Mark is an event at one point of the horizontal axis.
type Mark struct {
	X     float64
	Label string
}

// BarPlot shows stacked horizontal bars, one for each label.
type BarPlot struct {
	Title      string
	ValueLabel string
	Labels     []string
	Stacks     []Stack // From the left.
}

// Stack is one part of every bar.
type Stack struct {
	Name   string
	Values []float64 // One for each label.
}

// Table is shown as it is; the first column names the row.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// Write writes the page.
func (r Report) Write(w io.Writer) error {
	view, err := r.view()
	if err != nil {
		return err
	}
	return page.Execute(w, view)
}
