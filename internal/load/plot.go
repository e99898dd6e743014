package load

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// SavePlot plots the requests sent, served and refused in each second of the run. The
// extension of path (.svg, .png, .pdf) selects the format.
func (r *Report) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = "what callers received, by second of arrival"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	var sent, served, refused plotter.XYs
	for _, s := range r.Timeline {
		x := float64(s.At)
		sent = append(sent, plotter.XY{X: x, Y: float64(s.Sent)})
		served = append(served, plotter.XY{X: x, Y: float64(s.Served)})
		refused = append(refused, plotter.XY{X: x, Y: float64(s.Refused)})
	}
	if err := plotutil.AddLines(p, "sent", sent, "served", served, "refused", refused); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
