package access

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLSFiles holds the paths of the PEM files of one TLS identity.
type TLSFiles struct {
	Cert string // file with the certificate chain
	Key  string // file with the private key, readable by its owner only
	CA   string // file with the CA certificates that verify the other side
}

// Empty reports whether no path is set.
func (f TLSFiles) Empty() bool { return f == TLSFiles{} }

// ServerTLS returns the configuration of a listener that does not request client
// certificates. It does not use files.CA.
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

// MutualServerTLS returns the configuration of a listener for other daemons, which
// requires a client certificate.
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

// ClientTLS returns the configuration of a client that trusts the CA certificates
// in the file ca, or those of the system if ca is empty.
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

// MutualClientTLS returns the configuration of a client of other daemons, which
// presents a client certificate.
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
		return tls.Certificate{}, fmt.Errorf("certificate file %s: %w", quotePath(files.Cert), withoutPath(err))
	}
	key, err := readSecret(files.Key)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("private key: %w", err)
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil { // the cause is omitted, since it may quote the input
		return tls.Certificate{}, fmt.Errorf("certificate file %s and key file %s are not a matching pair in PEM form", quotePath(files.Cert), quotePath(files.Key))
	}
	return pair, nil
}

func loadCA(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, errors.New("no CA file is set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("CA file %s: %w", quotePath(path), withoutPath(err))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("CA file %s holds no certificate in PEM form", quotePath(path))
	}
	return pool, nil
}
