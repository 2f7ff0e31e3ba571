package main

import (
	"image/color"
	"math"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"os"

	"applequay/platform/stand"
)

// plotDay draws requests served, refused and failed over time, and below them
// the times of first pieces.
func plotDay(day *stand.Day, path string) error {
	const width, height = 10 * vg.Inch, 7 * vg.Inch
	var counts [3]plotter.XYs
	bySecond := map[int][3]float64{}
	firsts, last := plotter.XYs{}, 0
	for _, one := range stand.Outcomes(day) {
		at := (one.AskedMs - day.TrafficMs) / 1000
		second := max(int(at), 0)
		tally := bySecond[second]
		switch {
		case one.Served:
			tally[0]++
		case one.Refused:
			tally[1]++
		default:
			tally[2]++
		}
		bySecond[second], last = tally, max(last, second)
		if one.FirstMs > 0 {
			firsts = append(firsts, plotter.XY{X: at, Y: math.Max(one.FirstMs, 1)})
		}
	}
	for second := range last + 1 {
		for i := range counts {
			counts[i] = append(counts[i], plotter.XY{X: float64(second), Y: bySecond[second][i]})
		}
	}
	above, below := plot.New(), plot.New()
	above.Title.Text, above.Y.Label.Text = "requests a second", "count"
	below.Title.Text, below.X.Label.Text, below.Y.Label.Text = "first piece or answer", "s of traffic", "ms"
	shades := []color.Color{color.RGBA{G: 140, A: 255}, color.RGBA{R: 230, G: 140, A: 255}, color.RGBA{R: 200, A: 255}}
	for i, name := range []string{"served", "refused", "failed"} {
		line, err := plotter.NewLine(counts[i])
		if err != nil {
			return oops.Wrapf(err, "plot")
		}
		line.Color, line.Width = shades[i], vg.Points(1.5)
		above.Add(line)
		above.Legend.Add(name, line)
	}
	if len(firsts) > 0 {
		dots, err := plotter.NewScatter(firsts)
		if err != nil {
			return oops.Wrapf(err, "plot")
		}
		dots.Radius, dots.Shape, dots.Color = vg.Points(1.5), draw.CircleGlyph{}, color.RGBA{B: 160, A: 255}
		below.Add(dots)
		below.Y.Scale, below.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		below.Y.Min, below.Y.Max = 1, 10*below.Y.Max
	}
	above.Legend.Top = true
	canvas := vgimg.New(width, height)
	whole := draw.New(canvas)
	above.Draw(draw.Crop(whole, 0, 0, height/2, 0))
	below.Draw(draw.Crop(whole, 0, 0, 0, -height/2))
	out, err := os.Create(path)
	if err != nil {
		return oops.Wrapf(err, "plot")
	}
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(out); err != nil {
		_ = out.Close()
		return oops.Wrapf(err, "plot")
	}
	return out.Close()
}
