package clemnode

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/clementineturn/clementineturn/clemstandin"
)

// tlsFiles holds a certificate for loopback, its key and its authority. A nil
// tlsFiles means connections without TLS.
type tlsFiles struct {
	cert, key string
	pool      *x509.CertPool
}

// newTLSFiles creates a self-signed certificate.
func newTLSFiles(t *testing.T) *tlsFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	f := &tlsFiles{cert: filepath.Join(t.TempDir(), "cert.pem"), key: filepath.Join(t.TempDir(), "key.pem"), pool: x509.NewCertPool()}
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	require.True(t, f.pool.AppendCertsFromPEM(certificate))
	require.NoError(t, os.WriteFile(f.cert, certificate, 0o600))
	require.NoError(t, os.WriteFile(f.key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return f
}

func (f *tlsFiles) client() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{RootCAs: f.pool}
}

func (f *tlsFiles) scheme() string {
	if f == nil {
		return "http://"
	}
	return "https://"
}

func (f *tlsFiles) settings() map[string]any {
	return map[string]any{"cert": f.cert, "key": f.key, "authority": f.cert}
}

// TestTLS checks that with TLS configured, callers, operators and the processes
// use it, and that requests without TLS are refused.
func TestTLS(t *testing.T) {
	f := newFleetWithTLS(t, newTLSFiles(t), clemstandin.NewEngine(clemstandin.EngineConfig{Name: "engine-1", Model: model}))
	response, err := f.post(f.entries[0], "cribs", "/v1/chat/completions", chatBody(8, true), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.status, response.body)
	require.True(t, strings.HasSuffix(response.body, "data: [DONE]\n\n"), response.body)

	plain := "http://" + strings.TrimPrefix(f.entries[0], "https://")
	response, err = f.post(plain, "cribs", "/v1/chat/completions", chatBody(8, true), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, response.status, response.body)
	require.Contains(t, response.body, "HTTP request to an HTTPS server")
}
