package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the time line into an SVG or PNG file, by its extension.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("response time over ideal, %s, seed %d", r.Kind, r.Seed)
	p.X.Label.Text = "time of sending (s)"
	p.Y.Label.Text = "response time / ideal"
	p.Y.Min = 1
	p.Add(plotter.NewGrid())
	p50, p99, most := r.curves()
	if err := plotutil.AddLines(p, "p50", p50, "p99", p99, "max", most); err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("load: plot %s: %w", file, err)
	}
	return nil
}

func (r *Result) curves() (p50, p99, most plotter.XYs) {
	for _, pt := range r.TimeLine {
		if pt.Sent == pt.Failed {
			continue
		}
		x := float64(pt.Second)
		p50 = append(p50, plotter.XY{X: x, Y: pt.P50})
		p99 = append(p99, plotter.XY{X: x, Y: pt.P99})
		most = append(most, plotter.XY{X: x, Y: pt.Max})
	}
	return p50, p99, most
}
