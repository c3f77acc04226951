package chart

import (
	"embed"
	"html/template"
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

func (r Report) view() (view, error) {
	v := view{Report: r}
	for _, l := range r.Lines {
		svg, err := l.draw()
		if err != nil {
			return view{}, err
		}
		v.Plots = append(v.Plots, figure{Title: l.Title, SVG: svg, Marks: l.Marks})
	}
	for _, b := range r.Bars {
		svg, err := b.draw()
		if err != nil {
			return view{}, err
		}
		v.Plots = append(v.Plots, figure{Title: b.Title, SVG: svg})
	}
	return v, nil
}
