package clemnode

import (
	"net/http"
	"time"
)

// maxHeader is the size in bytes of the largest request header.
const maxHeader = 64 << 10

// newServer returns a server with limits on the time for a request's header
// and for the whole request. net/http lifts the latter once the body is read,
// so that it does not bound the answer, and a write deadline that a handler sets
// once its request has ended.
func newServer(header, whole time.Duration, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: header, ReadTimeout: whole, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeader,
	}
}
