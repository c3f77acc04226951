package chart

import (
	"embed"
	"html/template"

	"gonum.org/v1/plot"
)

//go:embed page.html
var files embed.FS

// page is parsed once and never changed.
var page = template.Must(template.ParseFS(files, "page.html"))

// view is a report with its plots drawn.
type view struct {
	Report
	Plots []figure
}

// figure is a drawn plot.
type figure struct {
	Title string
	SVG   template.HTML
	// Marks lists the events of the plot, numbered as in it.
	Marks []Mark
}

// drawable is a plot of a report.
type drawable interface {
	plot() (*plot.Plot, error)
}

func (r Report) view() (view, error) {
	v := view{Report: r}
	for _, l := range r.Lines {
		if err := v.add(l, figure{Title: l.Title, Marks: l.Marks}); err != nil {
			return view{}, err
		}
	}
	for _, b := range r.Bars {
		if err := v.add(b, figure{Title: b.Title}); err != nil {
			return view{}, err
		}
	}
	return v, nil
}

// add draws a plot into a figure.
func (v *view) add(d drawable, f figure) error {
	p, err := d.plot()
	if err != nil {
		return err
	}
	if f.SVG, err = render(p); err != nil {
		return err
	}
	v.Plots = append(v.Plots, f)
	return nil
}
