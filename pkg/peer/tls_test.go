package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/peppertrail/peppertrail/pkg/home"
)

// testCA issues certificates for daemons.
type testCA struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.key = newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

// config returns the TLS configuration of a daemon on the loopback address.
func (a *testCA) config() *tls.Config {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	assert.NilError(a.t, err)
	roots := x509.NewCertPool()
	roots.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      roots,
	}
}

// Guards against accepting a client or a server without a certificate of the
// fleet's CA.
func TestMutualTLSRejectsUntrustedPeers(t *testing.T) {
	fleet, untrusted := newTestCA(t), newTestCA(t)
	addr, _ := startServer(t, "127.0.0.1:0", ServerOptions{Authority: &fakeAuthority{}, TLS: fleet.config()})
	reserveOK(t, newTestClient(t, addr, Options{TLS: fleet.config()}))

	noCertificate := fleet.config()
	noCertificate.Certificates = nil
	untrustedCertificate := untrusted.config()
	untrustedCertificate.RootCAs = fleet.config().RootCAs
	for name, config := range map[string]*tls.Config{
		"plain TCP":             nil,
		"no certificate":        noCertificate,
		"untrusted certificate": untrustedCertificate,
		"server is not trusted": untrusted.config(),
	} {
		_, err := newTestClient(t, addr, Options{TLS: config}).Reserve(t.Context(), home.ReserveRequest{})
		assert.ErrorIs(t, err, ErrUnreachable, name)
	}
}
