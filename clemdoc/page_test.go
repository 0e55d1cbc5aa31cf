package clemdoc

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The committed pages are those that the tables give.
func TestPagesAreCurrent(t *testing.T) {
	for _, page := range Pages() {
		committed, err := os.ReadFile(filepath.Join("..", page.Path()))
		require.NoError(t, err)
		require.Equal(t, string(page.Content()), string(committed), "regenerate with: %s", Command)
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
