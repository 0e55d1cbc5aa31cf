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
	name   string
	title  string
	x, y   string
	names  []string
	series []plotter.XYs
}

func (l *Lab) figure(name, title, x, y string) *figure {
	f := &figure{name: name, title: title, x: x, y: y}
	l.plots = append(l.plots, f)
	return f
}

func (f *figure) add(name string, points plotter.XYs) {
	f.names = append(f.names, name)
	f.series = append(f.series, points)
}

// cumulative adds the distribution of the time to first token.
func (f *figure) cumulative(name string, rs runs, m match) {
	const points = 200
	var all []time.Duration
	for _, r := range rs {
		all = append(all, r.firsts(m)...)
	}
	slices.Sort(all)
	line := make(plotter.XYs, points)
	for i := range line {
		share := float64(i) / points
		line[i] = plotter.XY{X: float64(quantile(all, share)) / float64(time.Millisecond), Y: share}
	}
	f.add(name, line)
}

// goodput adds the output within deadlines, second by second, of the first run.
func (f *figure) goodput(name string, rs runs, duration time.Duration) {
	var line plotter.XYs
	for at := time.Duration(0); at < duration; at += time.Second {
		line = append(line, plotter.XY{X: at.Seconds(), Y: rs[0].goodput(isAny, at, at+time.Second)})
	}
	f.add(name, line)
}

// WritePlots writes one SVG file per plot into the directory, which must exist.
func (l *Lab) WritePlots(directory string) error {
	for _, f := range l.plots {
		if err := f.write(filepath.Join(directory, f.name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func (f *figure) write(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = f.title, f.x, f.y
	p.Legend.Top, p.Legend.Left = false, false
	for i, points := range f.series {
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(f.names[i], line)
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, path)
}
