package clemdoc

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
	"github.com/clementineturn/clementineturn/clemevent"
	"github.com/clementineturn/clementineturn/clemmetric"
	"github.com/clementineturn/clementineturn/clemsetting"
	"github.com/clementineturn/clementineturn/clemwire"
)

// The committed pages match the tables in the code.
func TestPagesAreCurrent(t *testing.T) {
	for _, page := range Pages() {
		committed, err := os.ReadFile(filepath.Join("..", page.Path()))
		require.NoError(t, err)
		require.Equal(t, string(page.Content()), string(committed), "regenerate with: %s", RegenerateCommand)
	}
}

func TestWrite(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, Write(root))
	for _, page := range Pages() {
		written, err := os.ReadFile(filepath.Join(root, page.Path()))
		require.NoError(t, err)
		require.Equal(t, page.Content(), written)
	}
}

var (
	knobEvent   = regexp.MustCompile(`\[(\d{3})\]`)
	knobRow     = regexp.MustCompile("(?m)^\\| `([a-z_.]+)`")
	knobWatched = regexp.MustCompile("(?m)^\\|(?:[^|]*\\|){3}([^|]*)\\|")
	knobKind    = regexp.MustCompile("kinds? ((?:`[a-z_]+`(?: and )?)+)")
	knobWord    = regexp.MustCompile("`([a-z_]+)`")
)

// The settings, events, metrics and error kinds on the page knobs.md exist.
func TestKnobsExist(t *testing.T) {
	data, err := os.ReadFile("../docs/operating/knobs.md")
	require.NoError(t, err)
	text := string(data)
	var knobs, kinds []string
	for _, key := range clemsetting.Keys() {
		knobs = append(knobs, key.Path())
	}
	for _, message := range []proto.Message{&clemwire.Pool{}, &clemwire.Organisation{}, &clemwire.Rule{}} {
		fields := message.ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			knobs = append(knobs, string(fields.Get(i).Name()))
		}
	}
	for _, kind := range clementineturn.Kinds() {
		kinds = append(kinds, kind.String())
	}
	rows := knobRow.FindAllStringSubmatch(text, -1)
	require.Len(t, rows, 18)
	for _, row := range rows {
		require.Contains(t, knobs, row[1])
	}
	words := slices.Concat(knobs, kinds)
	for _, metric := range clemmetric.Catalogue() {
		words = append(words, metric.Name())
	}
	for _, cell := range knobWatched.FindAllStringSubmatch(text, -1) {
		for _, word := range knobWord.FindAllStringSubmatch(cell[1], -1) {
			require.Contains(t, words, word[1], "watched")
		}
	}
	for _, list := range knobKind.FindAllStringSubmatch(text, -1) {
		for _, kind := range knobWord.FindAllStringSubmatch(list[1], -1) {
			require.Contains(t, kinds, kind[1])
		}
	}
	for _, event := range knobEvent.FindAllStringSubmatch(text, -1) {
		number, err := strconv.Atoi(event[1])
		require.NoError(t, err)
		require.Contains(t, clemevent.Events(), clemevent.Event(number))
	}
}

func ExamplePages() {
	for _, page := range Pages() {
		title, _, _ := bytes.Cut(page.Content(), []byte("\n"))
		fmt.Printf("%s: %s\n", page.Path(), title)
	}
	// Output:
	// docs/operating/settings.md: # Settings
	// docs/operating/events.md: # Log events
	// docs/operating/errors.md: # Error kinds
	// docs/operating/metrics.md: # Metrics
}
