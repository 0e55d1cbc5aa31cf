package clemnode

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

const chatPath = "/v1/chat/completions"

// readEvents reads n events and returns their text and the id of the last one.
func readEvents(t *testing.T, reader *bufio.Reader, n int) (text, id string) {
	t.Helper()
	var read strings.Builder
	for n > 0 {
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		read.WriteString(line)
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = strings.TrimSuffix(value, "\n")
		}
		if line == "\n" {
			n--
		}
	}
	return read.String(), id
}

func (f *testFleet) resume(entry, organisation, id string) *httpResponse {
	got, err := f.post(entry, organisation, chatPath, "", map[string]string{"Last-Event-ID": id})
	require.NoError(f.t, err)
	return got
}

// TestResume disconnects in the middle of a stream and resumes it through either
// entry, while it runs and after its end.
func TestResume(t *testing.T) {
	f := newFleet(t, clemstandin.EngineConfig{StepTime: tokenInterval, MeanOutputTokens: unboundedOutput})
	response, err := f.open(t.Context(), f.entries[0], "cribs", chatPath, chatBody(200, true), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	reader := bufio.NewReader(response.Body)
	first, firstID := readEvents(t, reader, 1)
	middle, id := readEvents(t, reader, 9)
	require.NoError(t, response.Body.Close())

	rest := f.resume(f.entries[1], "cribs", id)
	require.Equal(t, http.StatusOK, rest.status)
	require.Equal(t, "text/event-stream", rest.header.Get("Content-Type"))
	require.True(t, strings.HasSuffix(rest.body, "data: [DONE]\n\n"))
	require.Equal(t, 200, strings.Count(first+middle+rest.body, `"content":"`)-1, "the first event has an empty content")
	for _, entry := range f.entries {
		again := f.resume(entry, "cribs", firstID)
		require.Equal(t, middle+rest.body, again.body)
	}

	t.Run("uncut", func(t *testing.T) {
		response, err := f.open(t.Context(), f.entries[0], "cribs", chatPath, chatBody(30, true), nil)
		require.NoError(t, err)
		defer response.Body.Close()
		reader := bufio.NewReader(response.Body)
		head, id := readEvents(t, reader, 20)
		tail, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.Equal(t, string(tail), f.resume(f.entries[1], "cribs", id).body)
		_, last := readEvents(t, bufio.NewReader(strings.NewReader(head+string(tail))), 33)
		require.Empty(t, f.resume(f.entries[1], "cribs", last).body, "nothing follows [DONE]")
	})
	t.Run("another organisation", func(t *testing.T) {
		got := f.resume(f.entries[1], "cradles", id)
		require.Equal(t, http.StatusNotFound, got.status)
		code, _ := got.errorCode(t)
		require.Equal(t, "not_found", code)
	})
	t.Run("malformed", func(t *testing.T) {
		attempt, _, _ := strings.Cut(id, "/")
		server := strings.Split(id, "/")[1]
		for _, bad := range []string{
			"x", "//", "a/b/c", attempt + "/" + server, attempt + "/" + server + "/-1", attempt + "/" + server + "/1/2",
			attempt + "/" + server + "/99999999999999999999", "nodot/" + server + "/1", attempt + "\xff/" + server + "/1",
			strings.Repeat("a", 5000), attempt + "/" + server + "/100000",
		} {
			got := f.resume(f.entries[1], "cribs", bad)
			require.Equal(t, http.StatusBadRequest, got.status, bad)
			code, param := got.errorCode(t)
			require.Equal(t, "invalid", code)
			require.Equal(t, "Last-Event-ID", param)
		}
		for _, gone := range []string{attempt + "/no-such-server/1", strings.Repeat("A", 26) + ".1/" + server + "/1"} {
			got := f.resume(f.entries[1], "cribs", gone)
			require.Equal(t, http.StatusGone, got.status, gone)
		}
	})
}
