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
	dialTimeout = 5 * time.Second
	// callTimeout exceeds the longest time that the interface takes to respond.
	callTimeout = 40 * time.Second
)

// newClient returns a client that trusts the certificate authorities in the file,
// or the system's if the path is "". It follows no redirects, which could send the
// token to another server.
func newClient(authority string) (*http.Client, error) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
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
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, Timeout: callTimeout, CheckRedirect: noRedirect}, nil
}

func unmarshal(data []byte, message proto.Message) error {
	return protojson.Unmarshal(data, message)
}

// writeJSON writes the message as JSON with the field names of the schema. It
// indents the output itself, since the spacing of protojson is not stable.
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
