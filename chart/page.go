package chart

import (
	"embed"
	"html/template"

	"gonum.org/v1/plot"
)

//go:embed page.html
var files embed.FS

// page is the template of a page. It is not modified after initialization.
var page = template.Must(template.ParseFS(files, "page.html"))

// pageData is the data of the template: a report with its plots drawn.
type pageData struct {
	Report
	Plots []figure
}

// figure is a plot drawn as SVG.
type figure struct {
	Title string
	SVG   template.HTML
	// Marks are listed below the plot, in the order of their numbers in it.
	Marks []Mark
}

// drawable is implemented by the plots of a report.
type drawable interface {
	plot() (*plot.Plot, error)
}

func (r Report) newPageData() (pageData, error) {
	v := pageData{Report: r}
	for _, l := range r.Lines {
		if err := v.addFigure(l, figure{Title: l.Title, Marks: l.Marks}); err != nil {
			return pageData{}, err
		}
	}
	for _, b := range r.Bars {
		if err := v.addFigure(b, figure{Title: b.Title}); err != nil {
			return pageData{}, err
		}
	}
	return v, nil
}

// addFigure draws the plot as SVG and appends the figure.
func (v *pageData) addFigure(d drawable, f figure) error {
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
