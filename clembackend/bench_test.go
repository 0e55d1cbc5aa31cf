package clembackend

import (
	"net/http/httptest"
	"testing"

	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// BenchmarkRun compares idempotent calls, which reuse connections, with
// at-most-once calls, which open a connection each.
func BenchmarkRun(b *testing.B) {
	for _, mode := range []clemwire.Mode{clemwire.Mode_MODE_IDEMPOTENT, clemwire.Mode_MODE_AT_MOST_ONCE} {
		b.Run(mode.String(), func(b *testing.B) {
			server := httptest.NewServer(clemstandin.NewService(clemstandin.ServiceConfig{}))
			defer server.Close()
			backend := New(Config{URL: server.URL, Plain: true})
			defer backend.Close()
			offer := reserveOffer()
			offer.Mode, offer.Key = mode, ""
			for b.Loop() {
				if err := backend.Run(b.Context(), offer, discard{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCopy copies a response in chunks of 100 bytes.
func BenchmarkCopy(b *testing.B) {
	from := &chunkReader{chunk: make([]byte, 100), remaining: b.N}
	var end streamTail
	if err := end.copy(b.Context(), from, discard{}); err != nil {
		b.Fatal(err)
	}
}
