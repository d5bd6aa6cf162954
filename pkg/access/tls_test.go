package access

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
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// issueCertificate writes a self-signed certificate for the loopback address and
// returns its files.
func issueCertificate(t *testing.T, name string) TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	files := TLSFiles{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "cert.pem")}
	writePEM(t, files.Cert, "CERTIFICATE", cert)
	writePEM(t, files.Key, "PRIVATE KEY", der)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// handshake connects a client to a server over loopback and returns the error of
// the server's handshake.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := tls.Dial("tcp", listener.Addr().String(), client)
		if err == nil {
			_, _ = conn.Read(make([]byte, 1)) // wait until the server accepts or rejects the certificate
			conn.Close()
		}
	}()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	return conn.(*tls.Conn).Handshake()
}

// Guards against a daemon accepting a peer without a certificate of the fleet's CA.
func TestMutualTLSRequiresFleetCertificate(t *testing.T) {
	files, untrusted := issueCertificate(t, "fleet"), issueCertificate(t, "untrusted")
	server, err := MutualServerTLS(files)
	assert.NilError(t, err)
	good, err := MutualClientTLS(files)
	assert.NilError(t, err)
	assert.NilError(t, handshake(t, server, good))

	noCertificate, err := ClientTLS(files.CA)
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, server, noCertificate) != nil)

	untrusted.CA = files.CA
	wrong, err := MutualClientTLS(untrusted)
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, server, wrong) != nil)
}

// Guards against a client trusting a server whose certificate its CA file did not
// issue.
func TestClientTLSRejectsUntrustedServer(t *testing.T) {
	files, untrusted := issueCertificate(t, "fleet"), issueCertificate(t, "untrusted")
	server, err := ServerTLS(files)
	assert.NilError(t, err)
	client, err := ClientTLS(files.CA)
	assert.NilError(t, err)
	assert.NilError(t, handshake(t, server, client))
	wrong, err := ClientTLS(untrusted.CA)
	assert.NilError(t, err)
	assert.Assert(t, handshake(t, server, wrong) != nil)
}

// Guards against accepting a certificate and a key that do not match, a mutual
// listener without a CA file, and a private key that others can read.
func TestTLSRefusesBadFiles(t *testing.T) {
	a, b := issueCertificate(t, "a"), issueCertificate(t, "b")
	_, err := ServerTLS(TLSFiles{Cert: a.Cert, Key: b.Key})
	assert.ErrorContains(t, err, "not a matching pair")
	_, err = MutualServerTLS(TLSFiles{Cert: a.Cert, Key: a.Key})
	assert.ErrorContains(t, err, "no CA file")
	_, err = ClientTLS(a.Key)
	assert.ErrorContains(t, err, "no certificate")
	assert.NilError(t, os.Chmod(a.Key, 0o644))
	_, err = ServerTLS(a)
	assert.ErrorContains(t, err, "chmod 600")
}
