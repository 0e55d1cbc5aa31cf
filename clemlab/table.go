package clemlab

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Verdict says whether a measurement meets its target.
type Verdict string

// Verdicts of a row. Baselines are listed for comparison and have none.
const (
	VerdictMet    Verdict = "met"
	VerdictNotMet Verdict = "not met"
	VerdictNone   Verdict = "-"
)

// Row is a measurement of one policy.
type Row struct {
	experiment string
	policy     string
	measure    string
	value      float64
	unit       string
	target     string
	verdict    Verdict
}

// Experiment returns the name of the experiment.
func (r Row) Experiment() string { return r.experiment }

// Policy returns the name of the policy.
func (r Row) Policy() string { return r.policy }

// Measure returns what was measured.
func (r Row) Measure() string { return r.measure }

// Value returns the measured value in the row's unit.
func (r Row) Value() float64 { return r.value }

// Verdict returns whether the row meets its target.
func (r Row) Verdict() Verdict { return r.verdict }

// MarshalJSON returns the row as an object with one-word keys.
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Experiment string  `json:"experiment"`
		Policy     string  `json:"policy"`
		Measure    string  `json:"measure"`
		Value      float64 `json:"value"`
		Unit       string  `json:"unit"`
		Target     string  `json:"target"`
		Verdict    Verdict `json:"verdict"`
	}{r.experiment, r.policy, r.measure, r.value, r.unit, r.target, r.verdict})
}

// formatValue returns the value with its unit, rounded for display.
func (r Row) formatValue() string {
	switch r.unit {
	case unitRatio:
		return fmt.Sprintf("%.3f", r.value)
	case unitShare:
		return fmt.Sprintf("%.2f %%", 100*r.value)
	}
	return fmt.Sprintf("%.0f %s", r.value, r.unit)
}

const (
	unitRatio  = ""
	unitShare  = "share"
	unitTime   = "ms"
	unitTokens = "tokens/s"
	unitCount  = "requests"
)

// target is a bound that a measurement has to meet.
type target struct {
	text         string
	isLowerBound bool
	value        float64
}

func atMost(value float64) target {
	return target{text: fmt.Sprintf("at most %.4g", value), value: value}
}

func atLeast(value float64) target {
	return target{text: fmt.Sprintf("at least %.4g", value), isLowerBound: true, value: value}
}

func (t target) verdict(value float64) Verdict {
	if value == t.value || t.isLowerBound == (value > t.value) {
		return VerdictMet
	}
	return VerdictNotMet
}

// Table is the result of a measurement.
type Table struct {
	rows []Row
}

// Rows returns the rows in the order of measurement.
func (t *Table) Rows() []Row { return t.rows }

// add appends a row without a target.
func (t *Table) add(experiment, policy, measure string, value float64, unit string) {
	t.rows = append(t.rows, Row{experiment, policy, measure, value, unit, "", VerdictNone})
}

// addWithTarget appends a row with a target. Only the product's policy gets a
// verdict.
func (t *Table) addWithTarget(experiment, policy, measure string, value float64, unit string, limit target) {
	verdict := VerdictNone
	if policy == productPolicy().name {
		verdict = limit.verdict(value)
	}
	t.rows = append(t.rows, Row{experiment, policy, measure, value, unit, limit.text, verdict})
}

// WriteText writes the table with aligned columns.
func (t *Table) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(tab, "experiment\tpolicy\tmeasure\tvalue\ttarget\tverdict"); err != nil {
		return err
	}
	for _, r := range t.rows {
		if _, err := fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%s\n", r.experiment, r.policy, r.measure, r.formatValue(), r.target, r.verdict); err != nil {
			return err
		}
	}
	return tab.Flush()
}

// WriteJSON writes the rows as a JSON array.
func (t *Table) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t.rows)
}
