package clemlab

import (
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// figure is one plot to be drawn.
type figure struct {
	name           string
	title          string
	xLabel, yLabel string
	seriesNames    []string
	series         []plotter.XYs
}

func (l *Lab) newFigure(name, title, x, y string) *figure {
	f := &figure{name: name, title: title, xLabel: x, yLabel: y}
	l.figures = append(l.figures, f)
	return f
}

func (f *figure) addSeries(name string, points plotter.XYs) {
	f.seriesNames = append(f.seriesNames, name)
	f.series = append(f.series, points)
}

// addDistribution adds the cumulative distribution of the time to first token.
func (f *figure) addDistribution(name string, rs runs, m filter) {
	const points = 200
	var all []time.Duration
	for _, r := range rs {
		all = append(all, r.firstTokenTimes(m)...)
	}
	slices.Sort(all)
	line := make(plotter.XYs, points)
	for i := range line {
		share := float64(i) / points
		line[i] = plotter.XY{X: float64(quantile(all, share)) / float64(time.Millisecond), Y: share}
	}
	f.addSeries(name, line)
}

// addGoodput adds the goodput of the first run for each second.
func (f *figure) addGoodput(name string, rs runs, duration time.Duration) {
	var line plotter.XYs
	for at := time.Duration(0); at < duration; at += time.Second {
		line = append(line, plotter.XY{X: at.Seconds(), Y: rs[0].goodput(isAny, at, at+time.Second)})
	}
	f.addSeries(name, line)
}

// WritePlots writes one SVG file per plot into the directory, which must exist.
func (l *Lab) WritePlots(directory string) error {
	for _, f := range l.figures {
		if err := f.write(filepath.Join(directory, f.name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func (f *figure) write(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.title, f.xLabel, f.yLabel
	p.Legend.Top, p.Legend.Left = false, false
	for i, points := range f.series {
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(f.seriesNames[i], line)
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, path)
}
