package clemhttp

import (
	"fmt"
	"net/http"
)

// minStatus is the lowest status code of HTTP (RFC 9110, section 15).
const minStatus = 100

// CheckHead returns an error if the head is not one of an HTTP response although net/http
// accepted it.
func CheckHead(r *http.Response) error {
	if r.StatusCode < minStatus {
		return fmt.Errorf("malformed response: status code %.3q", r.Status)
	}
	return nil
}
