package chart

import (
	"bytes"
	"html/template"
	"image/color"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot in points. The page scales the plot to its width.
const (
	plotWidth  = vg.Length(420)
	plotHeight = vg.Length(250)
	lineWidth  = vg.Length(1.8)
	barWidth   = vg.Length(18)
	fontSize   = vg.Length(11)
	legendGap  = vg.Length(6)
)

// headroom is the ratio of an axis's maximum to its largest value. It leaves
// space for the legend.
const headroom = 1.2

// palette returns the color of a series. Most readers with impaired color vision
// can tell the colors apart.
func palette(index int) color.Color {
	colors := []color.RGBA{
		{R: 0x00, G: 0x5f, B: 0x9e, A: 0xff},
		{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
		{R: 0x00, G: 0x8b, B: 0x6a, A: 0xff},
		{R: 0x9a, G: 0x4b, B: 0x8c, A: 0xff},
		{R: 0x7a, G: 0x6a, B: 0x00, A: 0xff},
		{R: 0x3a, G: 0x9f, B: 0xd0, A: 0xff},
	}
	return colors[index%len(colors)]
}

// newPlot returns an empty plot with axis labels, a legend and a grid.
func newPlot(xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = xLabel, yLabel
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Label.TextStyle.Font.Size = fontSize
		a.Tick.Label.Font.Size = fontSize
	}
	p.Legend.TextStyle.Font.Size = fontSize
	p.Legend.Top = true
	p.Legend.XOffs, p.Legend.YOffs = -legendGap, -legendGap
	p.Add(plotter.NewGrid())
	return p
}

// plot returns the lines and the numbered marks as a plot.
func (l LinePlot) plot() (*plot.Plot, error) {
	p := newPlot(l.XLabel, l.YLabel)
	for i, s := range l.Series {
		line, err := plotter.NewLine(s.points())
		if err != nil {
			return nil, trace.Wrap(err, "series %s", s.Name)
		}
		line.Color = palette(i)
		line.Width = lineWidth
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	p.Y.Min, p.Y.Max = min(p.Y.Min, 0), p.Y.Max*headroom
	if l.YMax > l.YMin {
		p.Y.Min, p.Y.Max = l.YMin, l.YMax
	}
	if len(l.Marks) > 0 {
		if err := l.addMarks(p); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (s Series) points() plotter.XYs {
	points := make(plotter.XYs, len(s.Points))
	for i, v := range s.Points {
		points[i].X, points[i].Y = v.X, v.Y
	}
	return points
}

// addMarks adds a numbered, dashed vertical line for each mark.
func (l LinePlot) addMarks(p *plot.Plot) error {
	labels := plotter.XYLabels{}
	for i, m := range l.Marks {
		ends := plotter.XYs{{X: m.X, Y: p.Y.Min}, {X: m.X, Y: p.Y.Max}}
		line, err := plotter.NewLine(ends)
		if err != nil {
			return trace.Wrap(err, "mark %s", m.Label)
		}
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		line.Color = color.Gray{Y: 0x70}
		p.Add(line)
		labels.XYs = append(labels.XYs, plotter.XY{X: m.X, Y: p.Y.Min})
		labels.Labels = append(labels.Labels, strconv.Itoa(i+1))
	}
	numbers, err := plotter.NewLabels(labels)
	if err != nil {
		return trace.Wrap(err)
	}
	for i := range numbers.TextStyle {
		numbers.TextStyle[i].Font.Size = fontSize
	}
	numbers.Offset = vg.Point{X: vg.Points(2), Y: vg.Points(2)}
	p.Add(numbers)
	return nil
}

// plot returns the stacked bars as a plot. The bars are horizontal, which leaves
// space for long labels; the first label is at the top.
func (b BarPlot) plot() (*plot.Plot, error) {
	p := newPlot(b.ValueLabel, "")
	var below *plotter.BarChart
	for i, s := range b.Stacks {
		bars, err := plotter.NewBarChart(plotter.Values(reversed(s.Values)), barWidth)
		if err != nil {
			return nil, trace.Wrap(err, "stack %s", s.Name)
		}
		bars.Horizontal = true
		bars.Color = palette(i)
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(s.Name, bars)
	}
	p.NominalY(reversed(b.Labels)...)
	p.X.Max *= headroom
	return p, nil
}

func reversed[S ~[]E, E any](list S) S {
	result := slices.Clone(list)
	slices.Reverse(result)
	return result
}

// render returns the plot as an SVG element.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", trace.Wrap(err)
	}
	text := buffer.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil //nolint:gosec // gonum/plot escapes the texts of a plot.
}
