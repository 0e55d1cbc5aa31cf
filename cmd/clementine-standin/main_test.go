package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/clementineturn/clementineturn/clemcli"
	"github.com/clementineturn/clementineturn/clemstandin"
)

var update = flag.Bool("update", false, "write the golden files")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestHelp(t *testing.T) {
	var got bytes.Buffer
	for _, args := range [][]string{{"--help"}, {"platform", "--help"}, {"engine", "--help"}, {"service", "--help"}, {"caller", "--help"}} {
		require.Equal(t, clemcli.ExitOK, run(t.Context(), args, &got, io.Discard), args)
	}
	file := filepath.Join("testdata", "help.golden")
	if *update {
		require.NoError(t, os.WriteFile(file, got.Bytes(), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}

func TestUsageErrors(t *testing.T) {
	tests := map[string][]string{
		"a subcommand is needed":         {},
		"unknown command":                {"router"},
		"bogus":                          {"engine", "--model", "m", "--bogus"},
		"extra":                          {"service", "extra"},
		"invalid syntax":                 {"engine", "--slots", "x"},
		"--model is needed":              {"engine"},
		"--url is needed":                {"caller"},
		"--step: found a negative value": {"engine", "--model=m", "--step=-4s"},
	}
	for want, args := range tests {
		var errs bytes.Buffer
		require.Equal(t, clemcli.ExitUsage, run(t.Context(), args, io.Discard, &errs), args)
		require.Contains(t, errs.String(), want, args)
	}
}

func TestFailures(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	for _, args := range [][]string{
		{"platform", "--hosts", filepath.Join(t.TempDir(), "absent.json")},
		{"service", "--listen", taken.Addr().String()},
	} {
		var errs bytes.Buffer
		require.Equal(t, clemcli.ExitFailed, run(t.Context(), args, io.Discard, &errs), args)
		require.Contains(t, errs.String(), `"event":104`)
	}
}

// TestServe starts each role on a free port, calls it and shuts it down.
func TestServe(t *testing.T) {
	const chat = `{"model":"m","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`
	tests := map[string]struct {
		args []string
		path string
		call []string
		want string
	}{
		"platform": {[]string{"platform"}, "/hosts", nil, `{"hosts":[]}`},
		"engine":   {[]string{"engine", "--model", "m", "--name", "engine-1", "--step", "1ms"}, "/v1/chat/completions", []string{"--text", "--body", chat}, "engine-1: could it\n"},
		"service":  {[]string{"service", "--name", "orders-1"}, "/orders/reserve", []string{"--once", "k", "--key", "c", "--body", "{}"}, `{"server":"orders-1","service":"orders","call":"reserve","key":"k","run":1}` + "\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log, errs := io.Pipe()
			ended := make(chan int, 1)
			go func() {
				ended <- run(ctx, test.args, io.Discard, errs)
				_ = errs.Close()
			}()
			lines := bufio.NewReader(log)
			address := readAddress(t, lines)
			var out, callErrs bytes.Buffer
			code := run(t.Context(), append([]string{"caller", "--url", "http://" + address + test.path}, test.call...), &out, &callErrs)
			require.Equal(t, clemcli.ExitOK, code, callErrs.String())
			require.Equal(t, test.want, out.String())
			cancel()
			rest, err := io.ReadAll(lines)
			require.NoError(t, err)
			require.Equal(t, clemcli.ExitOK, <-ended)
			require.Contains(t, string(rest), "process stopped")
		})
	}
}

// readAddress reads the address from the first line of the log.
func readAddress(t *testing.T, lines *bufio.Reader) string {
	line, err := lines.ReadBytes('\n')
	require.NoError(t, err)
	var started struct{ Address string }
	require.NoError(t, json.Unmarshal(line, &started))
	return started.Address
}

func TestCallerFailures(t *testing.T) {
	engine := clemstandin.NewEngine(clemstandin.EngineConfig{Model: "m", Faults: clemstandin.EngineFaults{UnterminatedStreams: 1}})
	server := httptest.NewServer(engine)
	defer server.Close()
	const chat = `{"model":"m","stream":true,"max_tokens":1,"messages":[{"role":"user","content":"a"}]}`
	for want, args := range map[string][]string{
		"404 Not Found":        {"--url", server.URL + "/nothing"},
		"without [DONE]":       {"--text", "--url", server.URL + "/v1/chat/completions", "--body", chat},
		"unsupported protocol": {"--url", "ftp://127.0.0.1/"},
	} {
		var errs bytes.Buffer
		require.Equal(t, clemcli.ExitFailed, run(t.Context(), append([]string{"caller"}, args...), io.Discard, &errs))
		require.Contains(t, errs.String(), want)
	}
}
