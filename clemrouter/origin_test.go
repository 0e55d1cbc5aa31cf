package clemrouter

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clempool"
)

// setVersions sets the versions of the software of the fixture's servers.
func (f *fixture) setVersions(versions map[string]string) {
	for id, version := range versions {
		f.router.config.Directory.Put(clempool.NewRecord(clempool.RecordConfig{ID: id, Service: "pool", Address: id, Slots: 8, SoftwareVersion: version}))
	}
}

// Guards against a stream that breaks off and goes on at a server with another version of the
// software within one answer (issue 55, ORDER).
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for name, c := range map[string]struct {
		versions map[string]string
		body     string
	}{
		"other versions": {map[string]string{"s1": "v1", "s2": "v2", "s3": "v3"}, testEvent(1)},
		"unknown":        {map[string]string{"s1": "", "s2": "", "s3": ""}, testEvent(1)},
		"same version":   {map[string]string{"s1": "v2", "s2": "v2", "s3": "v2"}, testEvent(1) + testEvent(2)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, cutStream(), streamHead+testEvent(2))
			f.setVersions(c.versions)
			status, _, body, _ := f.post("/resumable/", nil)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, c.body, body)
		})
	}
}

// Guards against a stalled stream that moves to another version.
func TestStalledStreamStaysAtItsVersion(t *testing.T) {
	f := newFixture(t, chunked(testEvent(1), testEvent(2)), streamHead+testEvent(2))
	f.setVersions(map[string]string{"s1": "v1", "s2": "v2", "s3": "v3"})
	_, _, body, err := f.post("/steady/", nil)
	require.NoError(t, err)
	require.Equal(t, testEvent(1)+testEvent(2), body)
	require.Len(t, f.received, 1)
}
