package daemon

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

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/peer"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// putRow writes one row without conditions.
func (f *testFleet) putRow(t *testing.T, key string, v any) {
	t.Helper()
	_, err := f.table.Commit(t.Context(), storage.Txn{ID: rand.Text(), Puts: []storage.Put{{Key: key, Value: encode(t, v)}}})
	assert.NilError(t, err)
}

// writeCertificate writes a self-signed CA certificate with its key and returns the
// command-line settings for them and a pool that trusts the certificate.
func writeCertificate(t *testing.T) ([]string, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "peppertrail test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	certFile := filepath.Join(dir, "cert.pem")
	keyFile := filepath.Join(dir, "key.pem")
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	assert.NilError(t, os.WriteFile(certFile, cert, 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600))
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(cert))
	return []string{"--tls-cert", certFile, "--tls-key", keyFile, "--tls-ca", certFile}, pool
}

// Guards against callers or daemons that are served without TLS, and against
// daemons that cannot connect to each other's home over TLS.
func TestDaemonsServeAndConnectOverTLS(t *testing.T) {
	f := newTestFleet(t)
	f.installBundle(t)
	settings, pool := writeCertificate(t)
	first := f.start(t, "h1", settings...)
	second := f.start(t, "h2", settings...)
	first.waitForTargetReport(t)
	second.waitForTargetReport(t)
	for _, d := range []*runningDaemon{first, second} {
		waitFor(t, "both daemons in the view", func() bool { return len(d.session.Load().view.Peers()) == 2 })
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	for _, d := range []*runningDaemon{first, second} {
		status, body := d.sendRequest(t, client, "https")
		assert.Equal(t, status, http.StatusOK, body)
	}
	opened := strings.Count(first.logs.String(), "Grant opened.") + strings.Count(second.logs.String(), "Grant opened.")
	assert.Equal(t, opened, 1, "each daemon opened a grant itself instead of reserving at the home of the budget")

	status, _ := first.sendRequest(t, http.DefaultClient, "http")
	assert.Equal(t, status, http.StatusBadRequest, "callers were served without TLS")
	withoutCertificate := peer.NewClient(first.peerAddr, peer.Options{TLS: &tls.Config{RootCAs: pool}})
	defer withoutCertificate.Close()
	_, err := withoutCertificate.Hello(t.Context(), peer.Hello{})
	assert.Assert(t, err != nil, "a peer without a certificate was served")
	assert.NilError(t, first.stop(t))
	assert.NilError(t, second.stop(t))
}
