package clemexplain

import (
	"bytes"
	"flag"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The logs of two processes, one of them with the prefix of a log collector and a
// line that is not JSON.
const (
	first = `{"level":"warn","ts":9.0,"msg":"backend server ejected","node":"a","server":"s1","outcome":"failed","event":907}
{"level":"warn","ts":9.1,"msg":"backend server ejected","node":"a","server":"s2","outcome":"failed","event":907}
{"level":"warn","ts":10.5,"msg":"attempt failed","node":"a","request":"r1","server":"s1","ran":true,"event":921}
{"level":"warn","ts":10.6,"msg":"request failed","node":"a","request":"r1","status":502,"event":923}
{"level":"info","ts":10.7,"msg":"request answered","node":"a","request":"r2","event":922}
`
	second = `  10.0000 b {"level":"warn","ts":10.0,"msg":"store does not answer","node":"b","event":900}
  not json {
  10.1000 b {"level":"warn","ts":10.1,"msg":"backend server ejected","node":"b","server":"s1","event":907}
`
)

func TestReport(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Report(&out, "r1", []io.Reader{strings.NewReader(second), strings.NewReader(first)}))
	if *update {
		require.NoError(t, os.WriteFile("testdata/report.golden", out.Bytes(), 0o644))
	}
	want, err := os.ReadFile("testdata/report.golden")
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}

func TestUnknownRequest(t *testing.T) {
	err := Report(io.Discard, "r9", []io.Reader{strings.NewReader(first)})
	require.True(t, clementineturn.IsKind(err, clementineturn.KindNotFound))
}
