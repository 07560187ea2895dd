package measure

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plot draws a series and its fitted line into an SVG file in dir.
func (s *Series) plot(dir string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = string(s.Axis)
	p.Y.Label.Text = s.Unit
	xys := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		xys[i] = plotter.XY{X: pt.X, Y: pt.Y}
	}
	points, err := plotter.NewScatter(xys)
	if err != nil {
		return fmt.Errorf("measure: plot %s: %w", s.Name, err)
	}
	line := plotter.NewFunction(s.Fit.At)
	p.Add(plotter.NewGrid(), points, line)
	p.X.Min = 0
	p.Y.Min = min(0, p.Y.Min)
	p.Y.Max = max(p.Y.Max, s.Fit.At(p.X.Max))
	if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, s.Name+".svg")); err != nil {
		return fmt.Errorf("measure: plot %s: %w", s.Name, err)
	}
	return nil
}
