package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotScores plots the scores of each site in the order of the runs and writes the plot to path.
func plotScores(runs []*run, path string) error {
	p := plot.New()
	p.Title.Text = "Scores on the users' bench"
	p.X.Label.Text = "run"
	p.Y.Label.Text = "score"
	p.Y.Min, p.Y.Max = 0, 1
	sites, runsBySite := scoreRuns(runs)
	var lines []any
	for _, site := range sites {
		var points plotter.XYs
		for i, r := range runsBySite[site] {
			points = append(points, plotter.XY{X: float64(i + 1), Y: *r.Score})
		}
		lines = append(lines, site, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Legend.Top = false
	return p.Save(18*vg.Centimeter, 10*vg.Centimeter, path)
}
