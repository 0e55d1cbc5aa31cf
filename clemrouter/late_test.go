package clemrouter

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an earlier refusal that a faulty server sends once more on a kept
// connection, when the next request is there: taken for the answer to that request,
// which has run, it makes it run at a second server (TWICE) or be refused as not run
// (REFUSED). The same for an earlier answer (MIXED).
func TestLateCopyIsNoAnswerToALaterRequest(t *testing.T) {
	withID := func(response string) string { return strings.Replace(response, "\r\n", "\r\nId: "+ownID+"\r\n", 1) }
	for name, first := range map[string]string{
		"refusal":                fullResponse,
		"refusal with an id":     withID(fullResponse),
		"misdirected":            misdirectedResponse,
		"misdirected with id":    withID(misdirectedResponse),
		"refusal with a body":    "HTTP/1.1 429 Full\r\nUnrun: 1\r\nContent-Length: 4\r\n\r\nfull",
		"refusal in chunks":      "HTTP/1.1 503 Full\r\nUnrun: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"error":                  serverErrorResponse,
		"busy, without a reason": signedBusyResponse,
		"answer":                 strings.Replace(okResponse, "good", "evil", 1),
		"answer without an id":   "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 4\r\n\r\nevil",
	} {
		for _, path := range []string{"/unsafe/", "/safe/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				f := newFixture(t, first+sentAgain, okResponse, okResponse, okResponse, okResponse)
				// One server, so that the next request meets the kept connection.
				for _, id := range []string{"s2", "s3"} {
					f.router.config.Directory.Remove(id)
				}
				_, _, _, _ = f.post(path, http.Header{"Id": {"r1"}})
				for _, id := range []string{"r2", "r3"} {
					status, _, body, err := f.post(path, http.Header{"Id": {id}})
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, "good", body)
				}
				arrivals := map[string]int{}
				for _, request := range f.received {
					arrivals[request.Header.Get("Id")]++
				}
				require.Equal(t, map[string]int{"r1": 1, "r2": 1, "r3": 1}, arrivals)
			})
		}
	}
}

// A connection whose responses name their requests carries many.
func TestConnectionsAreKept(t *testing.T) {
	f := newFixture(t, okResponse, okResponse, okResponse, okResponse)
	for _, id := range []string{"s2", "s3"} {
		f.router.config.Directory.Remove(id)
	}
	for range 4 {
		status, _, _, err := f.post("/unsafe/", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	require.Equal(t, 1, f.dials)
}
