package clemmetric

import (
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

var update = flag.Bool("update", false, "write the golden files")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newFilledRegistry() *Registry {
	r := New()
	r.Counter("requests_total", "pool", "cribs", "organisation", "acme").Inc(3)
	r.Counter("requests_total", "organisation", "acme", "pool", "cribs").Inc(1)
	r.Counter("requests_total", "organisation", `quo"te\`+"\n").Inc(1)
	r.Counter("requests").Inc(7)
	r.Gauge("waiting").Update(-2)
	r.GaugeFloat("load", "pool", "cribs").Update(0.25)
	for i := range 100 {
		r.Histogram("tokens").Update(int64(i + 1))
		r.Timer("first", "pool", "cribs").Update(time.Duration(i+1) * time.Millisecond)
	}
	return r
}

func serve(h http.Handler) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w
}

func TestGoldenFormats(t *testing.T) {
	r := newFilledRegistry()
	for name, handler := range map[string]http.Handler{"metrics.txt": r.Text(), "metrics.json": r.JSON()} {
		got := serve(handler).Body.String()
		path := filepath.Join("testdata", name)
		if *update {
			require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
		}
		want, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, string(want), got)
	}
}

func TestContentTypes(t *testing.T) {
	require.Contains(t, serve(New().Text()).Header().Get("Content-Type"), "text/plain; version=0.0.4")
	require.Equal(t, "application/json", serve(New().JSON()).Header().Get("Content-Type"))
}

// The sum of a summary includes values that are no longer in the reservoir.
func TestSumBeyondReservoir(t *testing.T) {
	r := New()
	const values = 5 * reservoirSize
	for range values {
		r.Histogram("h").Update(2)
	}
	body := serve(r.Text()).Body.String()
	require.Contains(t, body, "clementine_h_sum 10280\n")
	require.Contains(t, body, "clementine_h_count 5140\n")
}

func TestNilRegistry(t *testing.T) {
	var r *Registry
	r.Counter("c").Inc(1)
	r.Timer("t").Update(time.Second)
	require.Empty(t, serve(r.Text()).Body.String())
}

func TestNameTakenByAnotherType(t *testing.T) {
	r := New()
	r.Counter("x").Inc(1)
	r.Gauge("x").Update(9)
	require.Contains(t, serve(r.Text()).Body.String(), "clementine_x 1\n")
}

// A label's value cannot add lines or labels to the text format.
func TestLabelInjection(t *testing.T) {
	r := New()
	r.Counter("c", "organisation", "a\"} 1\nclementine_c{x=\"\xff", "bad name\n", "v").Inc(1)
	body := serve(r.Text()).Body.String()
	require.Equal(t, 2, strings.Count(body, "\n"), body)
	var object map[string]any
	require.NoError(t, json.Unmarshal(serve(r.JSON()).Body.Bytes(), &object))
	require.Len(t, object, 1)
}

func TestTimerSnapshot(t *testing.T) {
	timer := New().Timer("t")
	timer.Update(time.Second)
	require.EqualValues(t, 1, timer.Snapshot().Count())
}

func TestOnScrape(t *testing.T) {
	r := New()
	r.ObserveProcess()
	r.OnScrape(func() { r.Gauge(Generation).Update(7) })
	body := serve(r.Text()).Body.String()
	require.Contains(t, body, "# HELP clementine_generation Generation of the configuration in force.\n# TYPE clementine_generation gauge\nclementine_generation 7\n")
	require.Regexp(t, `clementine_memory_bytes [1-9]`, body)
	require.Regexp(t, `clementine_goroutines [1-9]`, body)
	require.Regexp(t, `clementine_cpu_seconds [0-9]`, body)
	var none *Registry
	none.OnScrape(func() {})
}

// Every metric that the code refers to by a literal name is in the catalogue, and
// the names in the catalogue are valid.
func TestCatalogueIsComplete(t *testing.T) {
	files, err := filepath.Glob("../clem*/*.go")
	require.NoError(t, err)
	use := regexp.MustCompile(`\.(Counter|Gauge|GaugeFloat|Timer|Histogram)\("([^"]+)"`)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, match := range use.FindAllStringSubmatch(string(source), -1) {
			require.NotEmpty(t, docOf(match[2]), "%s: %s", file, match[2])
		}
	}
	for _, info := range Catalogue() {
		require.Equal(t, info.Name(), cleanName(info.Name()))
	}
}
