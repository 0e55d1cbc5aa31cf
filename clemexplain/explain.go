// Package clemexplain finds the log lines of one request in the logs of several
// processes, with the changes of the processes' state around it. It implements the
// command "clementine explain".
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
	// contextSeconds is the time before and after the request's lines within
	// which other lines are included. Ejections of servers and outages of the
	// store that affect a request are logged within it.
	contextSeconds = 3.0
	// maxLineBytes is the maximum length of a line.
	maxLineBytes = 1 << 20
	// firstStateEvent and lastStateEvent are the first and last number of the
	// events that report changes of a process's state. The events of requests
	// have higher numbers.
	firstStateEvent, lastStateEvent = 900, 919
)

// line is a log line. raw is its JSON object.
type line struct {
	time   float64
	event  int
	raw    []byte
	fields map[string]any
}

// Report writes the request's lines in order of time, together with the lines
// around them about the servers and entries that handled it. Errors: KindNotFound
// if no line has the id, KindInvalid if a log cannot be read and KindInternal if
// the report cannot be written.
func Report(out io.Writer, id string, logs []io.Reader) error {
	lines, err := readLines(logs)
	if err != nil {
		return err
	}
	var requestLines []line
	for _, l := range lines {
		if l.fields["request"] == id {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return clementineturn.Errorf(clementineturn.KindNotFound, "no line has the request %q", id)
	}
	first, last := requestLines[0].time, requestLines[len(requestLines)-1].time
	for _, l := range lines {
		isOfRequest := l.fields["request"] == id
		isContext := l.event >= firstStateEvent && l.event <= lastStateEvent && l.time >= first-contextSeconds && l.time <= last+contextSeconds && isRelated(l, requestLines)
		if isOfRequest || isContext {
			if err := writeLine(out, l, isOfRequest); err != nil {
				return clementineturn.Errorf(clementineturn.KindInternal, "writing: %w", err)
			}
		}
	}
	return nil
}

// isRelated reports whether a line is about a server that one of the request's
// lines names or, if it names no server, is from a process that logged the request.
func isRelated(l line, requestLines []line) bool {
	server, _ := l.fields["server"].(string)
	for _, o := range requestLines {
		if server == "" && l.fields["node"] == o.fields["node"] || server != "" && bytes.Contains(o.raw, []byte(server)) {
			return true
		}
	}
	return false
}

func writeLine(out io.Writer, l line, isOfRequest bool) error {
	mark := " "
	if isOfRequest {
		mark = ">"
	}
	_, err := fmt.Fprintf(out, "%s %.3f %v %v: %s\n", mark, l.time, l.fields["node"], l.fields["msg"], formatFields(l.fields))
	return err
}

// formatFields returns the fields that are not printed otherwise, sorted by name.
func formatFields(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
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

// readLines returns the lines of all logs, sorted by time. It drops text before
// the first brace of a line, such as the prefix of a log collector, and lines that
// have no JSON object.
func readLines(logs []io.Reader) ([]line, error) {
	var lines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			start := bytes.IndexByte(scanner.Bytes(), '{')
			if start < 0 {
				continue
			}
			raw := slices.Clone(scanner.Bytes()[start:])
			fields := map[string]any{}
			if json.Unmarshal(raw, &fields) != nil {
				continue
			}
			time, _ := fields["ts"].(float64)
			event, _ := fields["event"].(float64)
			lines = append(lines, line{time: time, event: int(event), raw: raw, fields: fields})
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
