package clemctl

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	clementineturn "github.com/clementineturn/clementineturn"
)

const (
	dialTime = 5 * time.Second
	// callTime exceeds the longest that the interface takes for an answer.
	callTime = 40 * time.Second
)

// newClient returns a client that trusts the authorities of the file, or the
// system's if it names none. It follows no redirect, since that would carry
// the token elsewhere.
func newClient(authority string) (*http.Client, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		TLSHandshakeTimeout: dialTime,
		ForceAttemptHTTP2:   true,
		DisableKeepAlives:   true,
	}
	if authority != "" {
		data, err := os.ReadFile(authority)
		if err != nil {
			return nil, clementineturn.Errorf(clementineturn.KindNotFound, "%w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return nil, clementineturn.Invalid("authority", "found no certificate in %q", authority)
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, Timeout: callTime, CheckRedirect: refuse}, nil
}

func unmarshal(data []byte, message proto.Message) error {
	return protojson.Unmarshal(data, message)
}

// writeJSON writes the message with the schema's field names. The second
// pass makes the spacing stable, which protojson does not.
func (s *session) writeJSON(w io.Writer, message proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitDefaultValues: true}.Marshal(message)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	var b bytes.Buffer
	if err := json.Indent(&b, data, "", "  "); err != nil {
		fmt.Fprintln(w, err)
		return
	}
	b.WriteByte('\n')
	_, _ = w.Write(b.Bytes())
}
