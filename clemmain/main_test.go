package clemmain

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemcli"
)

const entrySettings = `{"role":"entry","name":"entry-1","region":"bengal","centre":"kol-a","listen":"127.0.0.1:0",
	"platform":"http://127.0.0.1:1","fleet":"0123456789abcdef"}`

// TestCommandLine runs command lines that start no process.
func TestCommandLine(t *testing.T) {
	directory := t.TempDir()
	good, bad := filepath.Join(directory, "good.json"), filepath.Join(directory, "bad.json")
	require.NoError(t, os.WriteFile(good, []byte(entrySettings), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte(`{"role":"entry","nmae":"x","listen":7}`), 0o600))
	for name, test := range map[string]struct {
		args []string
		code int
		out  string
		err  []string
	}{
		"version":         {[]string{"version"}, clemcli.ExitOK, "clementine ", nil},
		"check":           {[]string{"check", good}, clemcli.ExitOK, good + ": ok", nil},
		"check of faults": {[]string{"check", bad}, clemcli.ExitUsage, "", []string{"nmae", "listen", "platform"}},
		"check of none":   {[]string{"check", filepath.Join(directory, "none")}, clemcli.ExitUsage, "", []string{"none"}},
		"check without":   {[]string{"check"}, clemcli.ExitUsage, "", []string{"SETTINGS"}},
		"another role":    {[]string{"sidecar", good}, clemcli.ExitUsage, "", []string{`"entry"`, `"sidecar"`}},
		"faulty entry":    {[]string{"entry", bad}, clemcli.ExitUsage, "", []string{"nmae"}},
		"no subcommand":   {nil, clemcli.ExitUsage, "", []string{"subcommand"}},
		"unknown one":     {[]string{"entri", good}, clemcli.ExitUsage, "", []string{"entri"}},
		"unknown flag":    {[]string{"check", "--frce", good}, clemcli.ExitUsage, "", []string{"frce"}},
		"help":            {[]string{"--help"}, clemcli.ExitOK, "sidecar", nil},
		"help of entry":   {[]string{"entry", "--help"}, clemcli.ExitOK, "SETTINGS", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Run(t.Context(), Config{Args: test.args, Out: &out, Err: &errs, Env: func(string) string { return "" }})
			require.Equal(t, test.code, code, "%s%s", out.String(), errs.String())
			require.Contains(t, out.String(), test.out)
			for _, text := range test.err {
				require.Contains(t, errs.String(), text)
			}
		})
	}
}

// TestNodeFails runs an entry with an address on which it cannot listen.
func TestNodeFails(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(file, bytes.Replace([]byte(entrySettings), []byte("127.0.0.1:0"), []byte("192.0.2.1:80"), 1), 0o600))
	var out, errs bytes.Buffer
	require.Equal(t, clemcli.ExitFailed, Run(t.Context(), Config{Args: []string{"entry", file}, Out: &out, Err: &errs}))
	require.Contains(t, errs.String(), "listen")
}
