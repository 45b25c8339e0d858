package main

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// curvePoint pools the rows of one deployment and setting.
type curvePoint struct {
	deployment string
	setting    string
	times      []time.Duration
	wrong      int
	requests   int
}

func curveOf(rows []*detectionRow) []*curvePoint {
	var points []*curvePoint
	for _, r := range rows {
		i := slices.IndexFunc(points, func(p *curvePoint) bool {
			return p.deployment == r.deployment.name && p.setting == r.setting.name
		})
		if i < 0 {
			i = len(points)
			points = append(points, &curvePoint{deployment: r.deployment.name, setting: r.setting.name})
		}
		p := points[i]
		if slices.Contains(quietNames, r.fault) {
			p.wrong += r.wrong
			p.requests += r.requests
			continue
		}
		p.times = append(p.times, r.times...)
		for range r.missed {
			p.times = append(p.times, window)
		}
	}
	return points
}

func (p *curvePoint) quantile(q float64) time.Duration {
	if len(p.times) == 0 {
		return 0
	}
	slices.Sort(p.times)
	return p.times[min(len(p.times)-1, int(q*float64(len(p.times))))]
}

func printCurve(points []*curvePoint) {
	fmt.Println("\n| deployment | setting | median over all faults | 90th percentile | worst | false ejections per million |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, p := range points {
		fmt.Printf("| %s | %s | %s | %s | %s | %.1f |\n", p.deployment, p.setting, seconds(p.quantile(0.5)),
			seconds(p.quantile(0.9)), seconds(p.quantile(1)), perMillion(p.wrong, p.requests))
	}
}

// plotCurve writes the false ejections against the median detection time; the format follows from the file name.
func plotCurve(points []*curvePoint, file string) error {
	p := plot.New()
	p.Title.Text = "Detection time and false ejections"
	p.X.Label.Text = "median detection time over all faults (s)"
	p.Y.Label.Text = "false ejections per million requests (+1)"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, d := range deployments {
		var labels plotter.XYLabels
		for _, c := range points {
			if c.deployment == d.name {
				labels.XYs = append(labels.XYs, plotter.XY{
					X: math.Max(0.01, c.quantile(0.5).Seconds()), Y: 1 + perMillion(c.wrong, c.requests),
				})
				labels.Labels = append(labels.Labels, " "+c.setting)
			}
		}
		if len(labels.XYs) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(labels.XYs)
		if err != nil {
			return fmt.Errorf("plot %s: %w", file, err)
		}
		scatter.GlyphStyle.Shape = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.BoxGlyph{}}[i%2]
		names, err := plotter.NewLabels(labels)
		if err != nil {
			return fmt.Errorf("plot %s: %w", file, err)
		}
		p.Add(scatter, names)
		p.Legend.Add(d.name, scatter)
	}
	p.Legend.Top = true
	if err := p.Save(9*vg.Inch, 6*vg.Inch, file); err != nil {
		return fmt.Errorf("write the plot to %s: %w", file, err)
	}
	return nil
}
