// Command clementine-measure compares the routing policies with baseline
// policies under the same recorded loads. It prints a table of the results and
// writes it as text and JSON, with plots, to the output directory. It exits with
// 1 if a file cannot be written and with 2 on wrong usage.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"github.com/clementineturn/clementineturn/clemlab"
)

func main() {
	config := clemlab.Config{Seed: 1, Seeds: 3, Scale: 1}
	directory := "out/measure"
	flaggy.SetName("clementine-measure")
	flaggy.SetDescription("Measures the policies in virtual time and prints one table.")
	flaggy.UInt64(&config.Seed, "s", "seed", "first seed of the recorded loads")
	flaggy.Int(&config.Seeds, "n", "seeds", "number of loads that each experiment records")
	flaggy.String(&config.Experiment, "e", "experiment", "name of the one experiment to run")
	flaggy.String(&directory, "o", "out", "directory for the table and the plots")
	flaggy.Parse()
	if err := measure(config, directory); err != nil {
		fmt.Fprintln(os.Stderr, "clementine-measure:", err)
		os.Exit(1)
	}
}

// measure runs the experiments, prints the table and writes it and the plots.
func measure(config clemlab.Config, directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	lab := clemlab.New(config)
	table := lab.Measure()
	if err := table.WriteText(os.Stdout); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(directory, "table.txt"), table.WriteText); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(directory, "table.json"), table.WriteJSON); err != nil {
		return err
	}
	return lab.WritePlots(directory)
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
