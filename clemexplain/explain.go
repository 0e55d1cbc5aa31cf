// Package clemexplain finds the log lines of one request, and what processes
// believed around it, in the logs of several processes.
package clemexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	// around is how many seconds before and after the request's lines other
	// lines count: a server's ejection or a lost store shows within it.
	around = 3.0
	// mostLine bounds a line in bytes.
	mostLine = 1 << 20
	// firstBelief and lastBelief are the events that change what a process
	// believes; the request's own come after them.
	firstBelief, lastBelief = 900, 919
)

// line is one log line.
type line struct {
	time  float64
	event int
	text  []byte
	names map[string]any
}

// Report writes the request's lines in order of time, with the lines around
// them that tell of the servers and entries that it met. Errors: KindNotFound
// if no line has the id; KindInvalid if a log cannot be read.
func Report(out io.Writer, id string, logs []io.Reader) error {
	lines, err := read(logs)
	if err != nil {
		return err
	}
	var own []line
	for _, l := range lines {
		if l.names["request"] == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return clementineturn.Errorf(clementineturn.KindNotFound, "no line has the request %q", id)
	}
	first, last := own[0].time, own[len(own)-1].time
	for _, l := range lines {
		isOwn := l.names["request"] == id
		isBelief := l.event >= firstBelief && l.event <= lastBelief && l.time >= first-around && l.time <= last+around && concerns(l, own)
		if isOwn || isBelief {
			if err := write(out, l, isOwn); err != nil {
				return clementineturn.Errorf(clementineturn.KindInternal, "writing: %w", err)
			}
		}
	}
	return nil
}

// concerns reports whether a line is about a server that the request met, or
// was written by a process that did.
func concerns(l line, own []line) bool {
	server, _ := l.names["server"].(string)
	for _, o := range own {
		if server == "" && l.names["node"] == o.names["node"] || server != "" && bytes.Contains(o.text, []byte(server)) {
			return true
		}
	}
	return false
}

func write(out io.Writer, l line, isOwn bool) error {
	mark := " "
	if isOwn {
		mark = ">"
	}
	_, err := fmt.Fprintf(out, "%s %.3f %v %v: %s\n", mark, l.time, l.names["node"], l.names["msg"], fields(l.names))
	return err
}

// fields writes the other fields by name.
func fields(names map[string]any) string {
	var parts []string
	for name, value := range names {
		switch name {
		case "ts", "node", "msg", "level", "request":
			continue
		}
		text, err := json.Marshal(value)
		if err != nil {
			text = []byte(fmt.Sprint(value))
		}
		parts = append(parts, name+"="+string(text))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// read returns the lines of all logs by time. What stands before a line's
// first brace, such as a collector's prefix, and lines without one are left out.
func read(logs []io.Reader) ([]line, error) {
	var lines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, mostLine)
		for scanner.Scan() {
			at := bytes.IndexByte(scanner.Bytes(), '{')
			if at < 0 {
				continue
			}
			text := slices.Clone(scanner.Bytes()[at:])
			names := map[string]any{}
			if json.Unmarshal(text, &names) != nil {
				continue
			}
			time, _ := names["ts"].(float64)
			event, _ := names["event"].(float64)
			lines = append(lines, line{time: time, event: int(event), text: text, names: names})
		}
		if err := scanner.Err(); err != nil {
			return nil, clementineturn.Invalid("log", "%w", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		switch {
		case a.time < b.time:
			return -1
		case a.time > b.time:
			return 1
		}
		return 0
	})
	return lines, nil
}
