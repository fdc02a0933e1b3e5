package experimenter

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot plots the goodput of each policy over time to a file. The file extension selects the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Schedule.Name
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "requests per second within targets"
	for n, result := range r.displayed() {
		line, err := plotter.NewLine(result.points())
		if err != nil {
			return errors.Wrapf(err, "plot %s", result.Policy)
		}
		line.Color = plotutil.Color(n)
		line.Dashes = plotutil.Dashes(n)
		p.Add(line)
		p.Legend.Add(result.Policy, line)
	}
	p.Y.Min = 0
	p.X.Max *= 1.25 // room for the legend
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "save %s", file)
}

func (r *Result) points() plotter.XYs {
	points := make(plotter.XYs, len(r.Series))
	for n, met := range r.Series {
		points[n] = plotter.XY{X: float64(n) * seriesWindow.Minutes(), Y: float64(met) / seriesWindow.Seconds()}
	}
	return points
}
