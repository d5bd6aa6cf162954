package access

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSFiles names the files of one TLS identity, in PEM form.
type TLSFiles struct {
	Cert string // certificate chain
	Key  string // private key, readable by its owner only
	CA   string // certificates that the other side must chain to
}

// Empty reports whether no file is named.
func (f TLSFiles) Empty() bool { return f == TLSFiles{} }

// ServerTLS returns the settings of a listener that shows a certificate.
// CA is not used.
func ServerTLS(files TLSFiles) (*tls.Config, error) {
	cert, err := loadIdentity(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{cert},
	}, nil
}

// MutualServerTLS returns the settings of a listener between daemons, which
// also requires a certificate of the client.
func MutualServerTLS(files TLSFiles) (*tls.Config, error) {
	config, err := ServerTLS(files)
	if err != nil {
		return nil, err
	}
	if config.ClientCAs, err = loadCA(files.CA); err != nil {
		return nil, err
	}
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// ClientTLS returns the settings of a client that trusts the certificates in
// a file, or the system's if ca is empty.
func ClientTLS(ca string) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca == "" {
		return config, nil
	}
	pool, err := loadCA(ca)
	if err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

// MutualClientTLS returns the settings of a client between daemons, which
// shows a certificate of its own.
func MutualClientTLS(files TLSFiles) (*tls.Config, error) {
	cert, err := loadIdentity(files)
	if err != nil {
		return nil, err
	}
	pool, err := loadCA(files.CA)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
	}, nil
}

func loadIdentity(files TLSFiles) (tls.Certificate, error) {
	cert, err := os.ReadFile(files.Cert)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("certificate file %s: %w", fileName(files.Cert), cause(err))
	}
	key, err := readSecret(files.Key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("private key: %w", err)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil { // the cause is left out: it may quote the input
		return tls.Certificate{}, fmt.Errorf("certificate file %s and key file %s are not a matching pair in PEM form", fileName(files.Cert), fileName(files.Key))
	}
	return pair, nil
}

func loadCA(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, errors.New("no CA file is set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("CA file %s: %w", fileName(path), cause(err))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("CA file %s holds no certificate in PEM form", fileName(path))
	}
	return pool, nil
}
