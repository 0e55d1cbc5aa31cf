package clemhttp

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// minStatus is the lowest status code of HTTP (RFC 9110, section 15).
const minStatus = 100

// CheckHead returns an error if the head is not one of an HTTP response although net/http
// accepted it: its status code is below 100, or it switches to another protocol, for which
// none of the callers asks, or the name of a field holds a blank (RFC 9112, section 5.1),
// so that the field does not count as the one that it resembles.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("malformed response: status code %.3q", r.Status)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("malformed response: field name %.100q", name)
		}
	}
	return nil
}
