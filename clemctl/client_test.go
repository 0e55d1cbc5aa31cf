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

// The client accepts a certificate only if an authority in the file signed it.
func TestAuthority(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewTLSServer(f.handler)
	defer server.Close()
	file := filepath.Join(t.TempDir(), "authority.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	require.Zero(t, f.run(t, "", "list", "pool", "--address", server.URL, "--authority", file), f.err.String())
	require.Equal(t, clemcli.ExitUnreachable, f.run(t, "", "list", "pool", "--address", server.URL))
	require.Contains(t, f.err.String(), "certificate")
	require.Equal(t, clemcli.ExitFailed, f.run(t, "", "list", "pool", "--address", server.URL, "--authority", "testdata/rule.json"))
	require.Equal(t, clemcli.ExitFailed, f.run(t, "", "list", "pool", "--address", server.URL, "--authority", "testdata/absent"))
}

// The client must not follow a redirect, which could send the token to another
// server.
func TestNoRedirect(t *testing.T) {
	f := newFixture(t)
	called := false
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called = true }))
	defer elsewhere.Close()
	server := httptest.NewServer(http.RedirectHandler(elsewhere.URL, http.StatusTemporaryRedirect))
	defer server.Close()
	require.NotZero(t, f.run(t, "", "list", "pool", "--address", server.URL))
	require.False(t, called)
}
