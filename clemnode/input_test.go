package clemnode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const callPath = "/v1/services/orders/reserve"

// TestAtMostOnceCalls makes at-most-once calls to a plain service through both
// entries. A repeated key must return the recorded outcome, and the service must
// run each call once.
func TestAtMostOnceCalls(t *testing.T) {
	f := newFleet(t, clemstandin.EngineConfig{StepTime: tokenInterval})
	call := func(entry int, organisation, key, body string) *httpResponse {
		header := map[string]string{}
		if key != "" {
			header["Idempotency-Key"] = key
		}
		got, err := f.post(f.entries[entry], organisation, callPath, body, header)
		require.NoError(t, err)
		return got
	}
	first := call(0, "cribs", "k1", `{"cot":1}`)
	require.Equal(t, http.StatusOK, first.status, first.body)
	require.Empty(t, first.header.Get("Idempotent-Replayed"))
	again := call(1, "cribs", "k1", `{"cot":1}`)
	require.Equal(t, first.body, again.body)
	require.Equal(t, "true", again.header.Get("Idempotent-Replayed"))
	require.Equal(t, 1, f.service.Runs().ByKey["k1"])

	for _, test := range []struct {
		key, body, kind, field string
		status                 int
	}{
		{"k1", `{"cot":2}`, "key_reused", "", http.StatusUnprocessableEntity},
		{"", `{"cot":1}`, "key_missing", "Idempotency-Key", http.StatusBadRequest},
	} {
		got := call(0, "cribs", test.key, test.body)
		code, param := got.errorCode(t)
		require.Equal(t, test.status, got.status)
		require.Equal(t, test.kind, code)
		require.Equal(t, test.field, param)
	}
	require.Equal(t, 1, f.service.Runs().ByKey["k1"])
	foreign := call(0, "cradles", "k1", `{"cot":1}`)
	require.Equal(t, http.StatusOK, foreign.status)
	require.Empty(t, foreign.header.Get("Idempotent-Replayed"), "another organisation's key is another key")
	require.Equal(t, 2, f.service.Runs().ByKey["k1"])
}

// TestMalformedRequests sends slow, oversized and malformed requests, which HTTP
// clients do not send. The entry must answer each as listed and keep serving.
func TestMalformedRequests(t *testing.T) {
	f := newFleet(t, clemstandin.EngineConfig{StepTime: tokenInterval})
	slow := f.start(map[string]any{"role": "entry", "name": "entry-3", "header": "200ms", "read": "200ms"})
	address := slow.servers[0].listener.Addr().String()
	entry := "http://" + address
	require.Eventually(t, func() bool { return f.isServing(entry) }, waitTimeout, pollInterval)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer %s\r\n", callPath, f.keys["cribs"])
	for name, test := range map[string]struct {
		request string
		status  int
		text    string
	}{
		"slow body":           {head + "Idempotency-Key: k\r\nContent-Length: 9\r\n\r\n{", http.StatusBadRequest, `"param":"body"`},
		"slow chunk":          {head + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{", http.StatusBadRequest, `"param":"body"`},
		"bad chunk":           {head + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", http.StatusBadRequest, `"param":"body"`},
		"oversized":           {head + "Idempotency-Key: k\r\nContent-Length: 99999999\r\n\r\n" + strings.Repeat("x", 1<<10), http.StatusRequestEntityTooLarge, `"code":"too_large"`},
		"bare line feed":      {head + "Idempotency-Key: k\nX-Evil: 1\r\n\r\n", http.StatusOK, ""},
		"carriage return":     {head + "Idempotency-Key: k\rX-Evil: 1\r\n\r\n", http.StatusBadRequest, ""},
		"zero byte":           {head + "Idempotency-Key: k\x00\r\n\r\n", http.StatusBadRequest, ""},
		"key beyond ASCII":    {head + "Idempotency-Key: k\xc3\xa9\r\n\r\n", http.StatusBadRequest, `"param":"Idempotency-Key"`},
		"two lengths":         {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n{}", http.StatusBadRequest, ""},
		"no HTTP":             {"SSH-2.0\r\n\r\n", http.StatusBadRequest, ""},
		"space before colon":  {head + "Idempotency-Key : k\r\n\r\n", http.StatusBadRequest, ""},
		"event with an octet": {strings.Replace(head, callPath, chatPath, 1) + "Last-Event-ID: \xff\r\n\r\n", http.StatusBadRequest, `"param":"Last-Event-ID"`},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, test.request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode, string(body))
			require.Contains(t, string(body), test.text)
			require.Empty(t, response.Header.Get("X-Evil"))
		})
	}
	t.Run("slow header", func(t *testing.T) {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost")
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.NoError(t, err, "the entry closes the connection")
	})
	require.True(t, f.isServing(entry))
}
