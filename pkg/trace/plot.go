package trace

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlot plots quality shortfall against cost, one point per policy, to a file whose suffix selects the format, .svg or .png.
func (rep *Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Cost and quality of the policies on trace " + rep.Trace
	p.X.Label.Text = "cost relative to the oracle, over the requests that both answered"
	p.Y.Label.Text = "largest shortfall of a task's mean rating from its target"
	points := make(plotter.XYs, len(rep.Policies))
	names := make([]string, len(rep.Policies))
	for i := range rep.Policies {
		points[i].X, points[i].Y = rep.Policies[i].CostOverOracle, rep.Policies[i].QualityShortfall
		names[i] = " " + rep.Policies[i].Name
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "plotting the policies")
	}
	scatter.Shape = draw.CircleGlyph{}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return errors.Wrap(err, "labelling the policies")
	}
	p.Add(plotter.NewGrid(), scatter, labels)
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "writing the plot")
}
