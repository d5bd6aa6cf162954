package config

// TLS holds the paths of the PEM files for TLS on the listeners. Either all of
// them are set or none.
type TLS struct {
	CertFile string // certificate chain of this host
	KeyFile  string // private key of the certificate
	CAFile   string // CA certificates that verify the certificates of the other daemons
}

// Enabled reports whether listeners use TLS.
func (t TLS) Enabled() bool {
	return t.CertFile != "" && t.KeyFile != "" && t.CAFile != ""
}

// partial reports whether some but not all files are set.
func (t TLS) partial() bool {
	return !t.Enabled() && t != TLS{}
}
