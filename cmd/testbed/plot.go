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
	counts, firsts := bySecond(day)
	above, err := plotCounts(counts)
	if err != nil {
		return oops.Wrapf(err, "plot")
	}
	below, err := plotFirsts(firsts)
	if err != nil {
		return oops.Wrapf(err, "plot")
	}
	canvas := vgimg.New(width, height)
	whole := draw.New(canvas)
	above.Draw(draw.Crop(whole, 0, 0, height/2, 0))
	below.Draw(draw.Crop(whole, 0, 0, 0, -height/2))
	out, err := os.Create(path)
	if err != nil {
		return oops.Wrapf(err, "plot")
	}
	if _, err = (vgimg.PngCanvas{Canvas: canvas}).WriteTo(out); err != nil {
		_ = out.Close()
		return oops.Wrapf(err, "plot")
	}
	return out.Close()
}

// bySecond counts what was served, refused and failed in each second, and lists
// the times of first pieces.
func bySecond(day *stand.Day) (counts [3]plotter.XYs, firsts plotter.XYs) {
	tallies := map[int][3]float64{}
	last := 0
	for _, one := range stand.Outcomes(day) {
		at := (one.AskedMs - day.TrafficMs) / 1000
		second := max(int(at), 0)
		tally := tallies[second]
		switch {
		case one.Served:
			tally[0]++
		case one.Refused:
			tally[1]++
		default:
			tally[2]++
		}
		tallies[second], last = tally, max(last, second)
		if one.FirstMs > 0 {
			firsts = append(firsts, plotter.XY{X: at, Y: math.Max(one.FirstMs, 1)})
		}
	}
	for second := range last + 1 {
		for i := range counts {
			counts[i] = append(counts[i], plotter.XY{X: float64(second), Y: tallies[second][i]})
		}
	}
	return counts, firsts
}

// plotCounts draws the counts of each second.
func plotCounts(counts [3]plotter.XYs) (*plot.Plot, error) {
	above := plot.New()
	above.Title.Text, above.Y.Label.Text = "requests a second", "count"
	shades := []color.Color{color.RGBA{G: 140, A: 255}, color.RGBA{R: 230, G: 140, A: 255}, color.RGBA{R: 200, A: 255}}
	for i, name := range []string{"served", "refused", "failed"} {
		line, err := plotter.NewLine(counts[i])
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = shades[i], vg.Points(1.5)
		above.Add(line)
		above.Legend.Add(name, line)
	}
	above.Legend.Top = true
	return above, nil
}

// plotFirsts draws the time that each first piece took.
func plotFirsts(firsts plotter.XYs) (*plot.Plot, error) {
	below := plot.New()
	below.Title.Text, below.X.Label.Text, below.Y.Label.Text = "first piece or answer", "s of traffic", "ms"
	if len(firsts) > 0 {
		dots, err := plotter.NewScatter(firsts)
		if err != nil {
			return nil, err
		}
		dots.Radius, dots.Shape, dots.Color = vg.Points(1.5), draw.CircleGlyph{}, color.RGBA{B: 160, A: 255}
		below.Add(dots)
		below.Y.Scale, below.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		below.Y.Min, below.Y.Max = 1, 10*below.Y.Max
	}
	return below, nil
}
