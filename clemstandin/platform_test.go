package clemstandin

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPlatformRefusesBadRequests(t *testing.T) {
	p, err := NewPlatform(PlatformConfig{})
	require.NoError(t, err)
	insert := []string{"If-None-Match", "*"}
	require.Equal(t, http.StatusNoContent, serve(t.Context(), p, http.MethodPut, "/table/a", "1", insert...).Code)
	tests := map[string]struct {
		method, path, body string
		header             []string
		status             int
	}{
		"write without condition": {http.MethodPut, "/table/a", "2", nil, http.StatusBadRequest},
		"both conditions":         {http.MethodPut, "/table/a", "2", []string{"If-Match", `"1"`, "If-None-Match", "*"}, http.StatusBadRequest},
		"weak tag":                {http.MethodPut, "/table/a", "2", []string{"If-Match", `W/"1"`}, http.StatusBadRequest},
		"old version":             {http.MethodPut, "/table/a", "2", []string{"If-Match", `"0"`}, http.StatusPreconditionFailed},
		"insert of a present row": {http.MethodPut, "/table/a", "2", insert, http.StatusPreconditionFailed},
		"delete of an absent row": {http.MethodDelete, "/table/b", "", []string{"If-Match", `"1"`}, http.StatusPreconditionFailed},
		"absent row":              {http.MethodGet, "/table/b", "", nil, http.StatusNotFound},
		"large row":               {http.MethodPut, "/table/b", strings.Repeat("x", maxRowBytes+1), insert, http.StatusRequestEntityTooLarge},
		"host of another name":    {http.MethodPut, "/hosts/a", `{"name":"b"}`, nil, http.StatusBadRequest},
		"host of unknown fields":  {http.MethodPut, "/hosts/a", `{"nam":"a"}`, nil, http.StatusBadRequest},
		"absent host leaves":      {http.MethodPost, "/hosts/a/leave", "", nil, http.StatusNotFound},
		"unknown fault":           {http.MethodPut, "/faults", `{"tabel":{}}`, nil, http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := serve(t.Context(), p, test.method, test.path, test.body, test.header...)
			require.Equal(t, test.status, w.Code, w.Body)
		})
	}
	require.Equal(t, "1", serve(t.Context(), p, http.MethodGet, "/table/a", "").Body.String())
}

func TestPlatformHostChanges(t *testing.T) {
	p, err := NewPlatform(PlatformConfig{})
	require.NoError(t, err)
	list := func() string { return serve(t.Context(), p, http.MethodGet, "/hosts", "").Body.String() }
	require.Equal(t, http.StatusNoContent, serve(t.Context(), p, http.MethodPut, "/hosts/a", `{"name":"a","role":"entry"}`).Code)
	require.JSONEq(t, `{"hosts":[{"name":"a","role":"entry"}]}`, list())
	require.Equal(t, http.StatusNoContent, serve(t.Context(), p, http.MethodPost, "/hosts/a/leave", "").Code)
	require.JSONEq(t, `{"hosts":[{"name":"a","role":"entry","leaving":true}]}`, list())
	require.Equal(t, http.StatusNoContent, serve(t.Context(), p, http.MethodDelete, "/hosts/a", "").Code)
	require.JSONEq(t, `{"hosts":[]}`, list())
}

func TestPlatformBadFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "hosts.json")
	_, err := NewPlatform(PlatformConfig{HostsFile: file})
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(file, []byte(`{"hosts":[{"name":1}]}`), 0o600))
	_, err = NewPlatform(PlatformConfig{HostsFile: file})
	require.ErrorContains(t, err, file)
}
