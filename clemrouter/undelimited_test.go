package clemrouter

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// undelimited is the head of a response that ends with its connection.
const undelimited = "HTTP/1.1 200 OK\r\nSigned: s\r\n\r\n"

// Guards against responses with neither length nor chunks that look complete though
// they broke off, or broken off though they are complete.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	two := testEvent(1) + testEvent(2)
	for name, c := range map[string]struct {
		path      string
		responses []string
		status    int
		body      string
		isCut     bool
		arrivals  int
	}{
		"closed":                        {"/safe/", []string{undelimited + "good!"}, 200, "good", false, 1},
		"at most once, closed":          {"/unsafe/", []string{undelimited + "good!"}, 200, "good", false, 1},
		"reset":                         {"/safe/", []string{undelimited + "ba" + resetAfter, okResponse}, 200, "good", false, 2},
		"at most once, reset":           {"/unsafe/", []string{undelimited + "ba" + resetAfter, okResponse}, 502, "", false, 1},
		"stream, closed":                {"/stream/", []string{undelimited + two + "!"}, 200, two, false, 1},
		"stream, reset":                 {"/stream/", []string{undelimited + two + resetAfter}, 200, two, true, 1},
		"stream, closed in an event":    {"/stream/", []string{undelimited + two + "id: 3\n!"}, 200, two, true, 1},
		"stream, closed before events":  {"/stream/", []string{undelimited + "!"}, 502, "", false, 1},
		"resumable, closed in an event": {"/resumable/", []string{undelimited + testEvent(1) + "id: 2\n!", streamHead + testEvent(2)}, 200, two, false, 2},
		"resumable, reset":              {"/resumable/", []string{undelimited + testEvent(1) + resetAfter, streamHead + testEvent(2)}, 200, two, false, 2},
		"resumable, no events":          {"/resumable/", []string{undelimited + "!", streamHead + two}, 200, two, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.responses...)
			status, _, body, err := f.post(c.path, nil)
			require.Equal(t, c.status, status)
			if status == http.StatusOK {
				require.Equal(t, c.body, body)
			}
			if c.isCut {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
			}
			require.Len(t, f.received, c.arrivals)
		})
	}
}

// Guards against a second request on a connection whose end is that of a response.
func TestConnectionOfUndelimitedResponseIsNotReused(t *testing.T) {
	f := newFixture(t, undelimited+"good!", okResponse, okResponse)
	for range 3 {
		status, _, _, err := f.post("/safe/", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	require.GreaterOrEqual(t, f.dials, 2)
	require.Len(t, f.received, 3)
}

// Guards against an end of an event that is not found because it arrives in two reads.
func TestEventThatArrivesInParts(t *testing.T) {
	text := testEvent(1) + testEvent(2)
	for at := range text {
		f := newFixture(t, streamHead+text[:at]+shortPause+text[at:])
		status, _, body, err := f.post("/stream/", nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, text, body)
	}
	f := newFixture(t, streamHead+strings.Join(strings.Split(text, ""), shortPause))
	_, _, body, err := f.post("/stream/", nil)
	require.NoError(t, err)
	require.Equal(t, text, body)
}
