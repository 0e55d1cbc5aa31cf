package clemsetting

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1.
func writeCertificate(t *testing.T, dir string) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	require.NoError(t, err)
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	return cert, key
}

func TestTLSHandshake(t *testing.T) {
	cert, key := writeCertificate(t, t.TempDir())
	object := entryObject()
	object["tls"] = map[string]any{"cert": cert, "key": key, "authority": cert}
	s, err := parseObject(t, object)
	require.NoError(t, err)
	require.Equal(t, cert, s.TLS().CertFile())

	near, far := net.Pipe()
	server := tls.Server(far, s.TLS().ServerConfig())
	failed := make(chan error, 1)
	go func() { failed <- server.HandshakeContext(t.Context()) }()
	config := s.TLS().ClientConfig()
	config.ServerName = "127.0.0.1"
	client := tls.Client(near, config)
	require.NoError(t, client.HandshakeContext(t.Context()))
	require.NoError(t, <-failed)
	require.NoError(t, near.Close())
}

func TestTLSWrongKey(t *testing.T) {
	cert, _ := writeCertificate(t, t.TempDir())
	_, key := writeCertificate(t, t.TempDir())
	object := entryObject()
	object["tls"] = map[string]any{"cert": cert, "key": key, "authority": key}
	_, err := parseObject(t, object)
	require.ErrorContains(t, err, "tls.cert: found files that do not load")
	require.ErrorContains(t, err, "tls.authority: found no certificate")
}
