package experimenter

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

// WriteReport writes the results of runs as a Markdown table that marks each p99 above TargetP99.
func WriteReport(w io.Writer, runs []Run) error {
	lines := []string{
		"| experiment | phase | shape | policy | load | offered/s | p50 ms | p99 ms | p99.9 ms | complete | coverage | work | violations |",
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|",
	}
	for _, run := range runs {
		for _, p := range run.Phases {
			lines = append(lines, reportLine(run, p))
		}
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	return nil
}

func reportLine(run Run, p Phase) string {
	violations := "0"
	if run.ViolationCount() > 0 {
		violations = fmt.Sprint(run.Violations)
	}
	targetMark := ""
	if p.P99 > TargetP99 {
		targetMark = " (over 52)"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %.2f | %.0f | %.1f | %.1f%s | %.1f | %.4f | %.4f | %.3f | %s |",
		p.Experiment, p.Phase, p.Shape, p.Policy, p.LoadShare, p.OfferedRate, milliseconds(p.P50), milliseconds(p.P99), targetMark, milliseconds(p.P999),
		p.CompleteRatio(), p.Coverage, p.WorkRatio, violations)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
