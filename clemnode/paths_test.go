package clemnode

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

// TestListenersAreSeparate requests the paths of callers, operators and the
// fleet at both listeners, with each other's secrets. Only the intended
// combinations may succeed.
func TestListenersAreSeparate(t *testing.T) {
	f := newFleet(t, clemstandin.EngineConfig{StepTime: tokenInterval})
	entry, fleet, operator, caller := f.entries[1], fleetKey, operatorToken, f.keys["cribs"]
	for _, test := range []struct {
		method, url, secret string
		status              int
	}{
		{http.MethodGet, f.admin + "/metrics", "", http.StatusOK},
		{http.MethodGet, f.admin + "/metrics.json", "", http.StatusOK},
		{http.MethodGet, entry + "/metrics", caller, http.StatusNotFound},
		{http.MethodGet, entry + "/healthz", "", http.StatusOK},
		{http.MethodGet, entry + "/readyz", "", http.StatusOK},
		{http.MethodGet, entry + "/v1/models", caller, http.StatusOK},
		{http.MethodGet, entry + "/v1/models", operator, http.StatusUnauthorized},
		{http.MethodGet, entry + "/v1/models", fleet, http.StatusUnauthorized},
		{http.MethodGet, entry + "/answers?from=0", caller, http.StatusUnauthorized},
		{http.MethodGet, entry + "/answers?from=0", operator, http.StatusUnauthorized},
		{http.MethodGet, entry + "/answers?from=x", fleet, http.StatusBadRequest},
		{http.MethodConnect, entry + "/rpc", caller, http.StatusUnauthorized},
		{http.MethodGet, entry + "/rpc", fleet, http.StatusNotFound},
		{http.MethodPost, entry + "/clementineturn.v1.Operators/List", operator, http.StatusNotFound},
		{http.MethodPost, f.admin + "/clementineturn.v1.Operators/List", caller, http.StatusUnauthorized},
		{http.MethodPost, f.admin + "/clementineturn.v1.Operators/List", fleet, http.StatusUnauthorized},
		{http.MethodPost, f.admin + chatPath, caller, http.StatusNotFound},
		{http.MethodConnect, f.admin + "/rpc", fleet, http.StatusNotFound},
	} {
		request, err := http.NewRequestWithContext(t.Context(), test.method, test.url, nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+test.secret)
		response, err := f.client.Do(request)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		require.NoError(t, response.Body.Close())
		require.Equal(t, test.status, response.StatusCode, "%s %s", test.method, test.url)
	}
}
