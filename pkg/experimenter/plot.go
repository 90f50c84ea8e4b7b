package experimenter

import (
	"fmt"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes the p99 of each second of each run, in milliseconds, to an SVG file at path.
func Plot(path string, runs []Run) error {
	chart := plot.New()
	chart.X.Label.Text = "seconds of the run"
	chart.Y.Label.Text = "p99 in ms"
	var lines []any
	for _, run := range runs {
		var points plotter.XYs
		label := ""
		for _, phase := range run.Phases {
			label = fmt.Sprintf("%s, %s", phase.Experiment, phase.Policy)
			for _, p99 := range phase.P99MsPerSecond {
				points = append(points, plotter.XY{X: float64(len(points)), Y: p99})
			}
		}
		if len(points) > 0 {
			lines = append(lines, label, points)
		}
	}
	if err := plotutil.AddLines(chart, lines...); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return errors.Wrap(chart.Save(plotWidth, plotHeight, path), "write plot")
}
