package clemctl

import (
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemcli"
)

// The listener's certificate must be signed by an authority of the file.
func TestAuthority(t *testing.T) {
	b := newBench(t)
	server := httptest.NewTLSServer(b.handler)
	defer server.Close()
	file := filepath.Join(t.TempDir(), "authority.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	require.Zero(t, b.run(t, "", "list", "pool", "--address", server.URL, "--authority", file), b.err.String())
	require.Equal(t, clemcli.ExitUnreachable, b.run(t, "", "list", "pool", "--address", server.URL))
	require.Contains(t, b.err.String(), "certificate")
	require.Equal(t, clemcli.ExitFailed, b.run(t, "", "list", "pool", "--address", server.URL, "--authority", "testdata/rule.json"))
	require.Equal(t, clemcli.ExitFailed, b.run(t, "", "list", "pool", "--address", server.URL, "--authority", "testdata/absent"))
}

// A redirect must not carry the token elsewhere.
func TestNoRedirect(t *testing.T) {
	b := newBench(t)
	called := false
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
	defer elsewhere.Close()
	server := httptest.NewServer(http.RedirectHandler(elsewhere.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	require.NotZero(t, b.run(t, "", "list", "pool", "--address", server.URL))
	require.False(t, called)
}
