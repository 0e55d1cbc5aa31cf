package clembackend

import (
	"net/http/httptest"
	"testing"

	"github.com/clementineturn/clementineturn/clemstandin"
	"github.com/clementineturn/clementineturn/clemwire"
)

// BenchmarkRun compares calls on reused connections with those of
// at-most-once work, which take a connection each.
func BenchmarkRun(b *testing.B) {
	for _, mode := range []clemwire.Mode{clemwire.Mode_MODE_IDEMPOTENT, clemwire.Mode_MODE_AT_MOST_ONCE} {
		b.Run(mode.String(), func(b *testing.B) {
			server := httptest.NewServer(clemstandin.NewService(clemstandin.ServiceConfig{}))
			defer server.Close()
			backend := New(Config{URL: server.URL, Plain: true})
			defer backend.Close()
			offer := reserve()
			offer.Mode, offer.Key = mode, ""
			for b.Loop() {
				if err := backend.Run(b.Context(), offer, discard{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCopy passes on chunks of 100 bytes.
func BenchmarkCopy(b *testing.B) {
	from := &repeater{chunk: make([]byte, 100), left: b.N}
	var end tail
	if err := end.copy(b.Context(), from, discard{}); err != nil {
		b.Fatal(err)
	}
}
