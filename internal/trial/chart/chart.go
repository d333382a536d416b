// Package chart draws the rows of trials as PNG files.
package chart

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/fireflypath/fireflypath/internal/trial"
)

const (
	width  = 32 * vg.Centimeter
	height = 14 * vg.Centimeter
	// barWidth is the width of one policy's bar in points.
	barWidth = 13
	// legendFactor extends the vertical axis to make room for the legend above the
	// bars.
	legendFactor = 1.25
)

// metric is one column of the rows.
type metric struct {
	file, title string
	value       func(r trial.Row) float64
}

func metrics() []metric {
	return []metric{
		{"goodput", "goodput", func(r trial.Row) float64 { return r.Goodput }},
		{"wasted", "wasted prefill", func(r trial.Row) float64 { return r.Wasted }},
		{"first", "first token, p99 ms", func(r trial.Row) float64 { return r.FirstTokenP99 }},
	}
}

// Write draws one chart for each mix and metric: one group of bars for each load, one
// bar for each policy, all tiers together. Rows of several seeds are averaged.
func Write(dir string, rows []trial.Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrapf(err, "make directory %s", dir)
	}
	for _, m := range distinct(rows, func(r trial.Row) string { return r.Mix }) {
		var selected []trial.Row
		for _, r := range rows {
			if r.Mix == m && r.Tier == "all" {
				selected = append(selected, r)
			}
		}
		for _, x := range metrics() {
			if err := drawChart(filepath.Join(dir, m+"-"+x.file+".png"), m+": "+x.title, selected, x); err != nil {
				return err
			}
		}
	}
	return nil
}

func drawChart(file, title string, rows []trial.Row, m metric) error {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	loads := distinct(rows, func(r trial.Row) string { return r.Load })
	policies := distinct(rows, func(r trial.Row) string { return r.Policy })
	for i, policy := range policies {
		values := make(plotter.Values, len(loads))
		for j, l := range loads {
			values[j] = mean(rows, l, policy, m)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrapf(err, "draw %s", file)
		}
		bars.Color = barColor(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(loads...)
	p.X.Min, p.X.Max = -0.5, float64(len(loads))-0.5
	p.Y.Min, p.Y.Max = 0, p.Y.Max*legendFactor
	return errors.Wrapf(p.Save(width, height, file), "save %s", file)
}

func mean(rows []trial.Row, load, policy string, m metric) float64 {
	sum, n := 0.0, 0
	for _, r := range rows {
		if r.Load == load && r.Policy == policy {
			sum += m.value(r)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// distinct returns the distinct values in the order of their first occurrence.
func distinct(rows []trial.Row, of func(r trial.Row) string) []string {
	var out []string
	seen := make(map[string]bool)
	for _, r := range rows {
		if n := of(r); !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	return out
}

func barColor(i int) color.Color {
	colors := []color.Color{
		color.RGBA{R: 0x1b, G: 0x7a, B: 0x4b, A: 0xff},
		color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff},
		color.RGBA{R: 0xe0, G: 0x9f, B: 0x1f, A: 0xff},
		color.RGBA{R: 0x9a, G: 0x9a, B: 0x9a, A: 0xff},
		color.RGBA{R: 0x2d, G: 0x5f, B: 0x9a, A: 0xff},
		color.RGBA{R: 0x7d, G: 0x3c, B: 0x98, A: 0xff},
	}
	return colors[i%len(colors)]
}
