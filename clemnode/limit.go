package clemnode

import (
	"net/http"
	"time"
)

// maxHeaderBytes bounds the size of a request header.
const maxHeaderBytes = 64 << 10

// newHTTPServer returns a server with timeouts for reading a request's header
// and for reading the whole request. net/http clears the latter once the body
// is read, so it does not bound the response. It also clears a write deadline
// set by a handler once the request has ended.
func newHTTPServer(headerTimeout, readTimeout time.Duration, handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes,
	}
}
