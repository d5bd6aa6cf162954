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

// testAuthority issues certificates of daemons.
type testAuthority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestAuthority(t *testing.T) *testAuthority {
	a := &testAuthority{t: t}
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

// config returns the settings of a daemon on the loopback address.
func (a *testAuthority) config() *tls.Config {
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

// Guards against daemons that talk to a peer without a certificate of the fleet, on either side.
func TestMutualTLS(t *testing.T) {
	fleet, stranger := newTestAuthority(t), newTestAuthority(t)
	addr, _ := serve(t, "127.0.0.1:0", ServerOptions{Authority: &fakeAuthority{}, TLS: fleet.config()})
	reserveOK(t, newTestClient(t, addr, Options{TLS: fleet.config()}))

	noCertificate := fleet.config()
	noCertificate.Certificates = nil
	strangerCertificate := stranger.config()
	strangerCertificate.RootCAs = fleet.config().RootCAs
	for name, config := range map[string]*tls.Config{
		"plain TCP":             nil,
		"no certificate":        noCertificate,
		"foreign certificate":   strangerCertificate,
		"server is not trusted": stranger.config(),
	} {
		_, err := newTestClient(t, addr, Options{TLS: config}).Reserve(t.Context(), home.ReserveRequest{})
		assert.ErrorIs(t, err, ErrUnreachable, name)
	}
}
