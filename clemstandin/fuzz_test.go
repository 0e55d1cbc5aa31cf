package clemstandin

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"
)

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":3}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":null}],"max_completion_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, apiErr := decodeChat(body)
		if apiErr != nil {
			require.Equal(t, http.StatusBadRequest, apiErr.status)
			return
		}
		require.NotEmpty(t, request.promptTokens())
	})
}

// FuzzPlatform sends arbitrary requests. The platform must neither panic nor
// respond with status 500.
func FuzzPlatform(f *testing.F) {
	f.Add("PUT", "/table/a%2Fb", `"1"`, "", []byte("x"))
	f.Add("PUT", "/table/a", "", "*", []byte("x"))
	f.Add("DELETE", "/table/a", `"`, "", []byte{})
	f.Add("PUT", "/faults", "", "", []byte(`{"table":{"delay":"0s","reads":-1}}`))
	f.Add("PUT", "/hosts/a", "", "", []byte(`{"name":"a"}`))
	f.Add("GET", "/hosts", "", `"1"`, []byte{})
	f.Fuzz(func(t *testing.T, method, path, match, none string, body []byte) {
		target, err := url.ParseRequestURI(path)
		if err != nil || bytes.Contains(body, []byte("delay")) {
			return
		}
		p, err := NewPlatform(PlatformConfig{})
		require.NoError(t, err)
		r := &http.Request{Method: method, URL: target, Header: http.Header{}, Body: http.NoBody}
		if len(body) > 0 {
			r = httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/", bytes.NewReader(body))
			r.Method, r.URL = method, target
		}
		r.Header.Set("If-Match", match)
		r.Header.Set("If-None-Match", none)
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		require.NotEqual(t, http.StatusInternalServerError, w.Code)
	})
}
