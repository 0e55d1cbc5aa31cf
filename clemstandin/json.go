package clemstandin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	maxFaultsBytes    = 64 << 10
	mediaJSON         = "application/json"
	retryAfterSeconds = "1"
)

// Duration is a time.Duration that is encoded as text, for example "1.5s". It
// must not be negative.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if parsed < 0 {
		return errors.New("a time must not be negative")
	}
	*d = Duration(parsed)
	return nil
}

// readStrict decodes a body that must consist of one JSON value without unknown
// fields.
func readStrict(r io.Reader, value any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one JSON value")
	}
	return nil
}

// writeJSON responds with the value. Write errors are ignored, since the handler
// returns anyway.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", mediaJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// abort closes the connection without completing the response.
func abort() { panic(http.ErrAbortHandler) }

func health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, "ok\n")
}
