package main

import (
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// adminCallTimeout limits one call of the admin API. It is longer than
// admin.CallTimeout, after which the daemon ends the platform calls of an operator call,
// so that the tool receives the response of the daemon.
const adminCallTimeout = 4 * admin.CallTimeout

// settings holds the global flags. All but --json may also be set by an
// environment variable; the flag takes precedence.
type settings struct {
	adminURL   string
	operator   string
	keyFile    string
	caFile     string
	jsonOutput bool
}

func (s *settings) registerFlags(p *flaggy.Parser) {
	p.String(&s.adminURL, "", "admin", "URL of a daemon's admin listener (PEPPERTRAIL_ADMIN)")
	p.String(&s.operator, "", "operator", "name of the operator (PEPPERTRAIL_OPERATOR)")
	p.String(&s.keyFile, "", "key", "operator key file, mode 0600 (PEPPERTRAIL_KEY)")
	p.String(&s.caFile, "", "ca", "PEM file of certificates to trust for https (PEPPERTRAIL_CA)")
	p.Bool(&s.jsonOutput, "", "json", "print JSON for programs")
}

func (s *settings) applyEnvironment(getenv func(string) string) {
	setDefault(&s.adminURL, getenv("PEPPERTRAIL_ADMIN"))
	setDefault(&s.operator, getenv("PEPPERTRAIL_OPERATOR"))
	setDefault(&s.keyFile, getenv("PEPPERTRAIL_KEY"))
	setDefault(&s.caFile, getenv("PEPPERTRAIL_CA"))
}

func setDefault(value *string, defaultValue string) {
	if *value == "" {
		*value = defaultValue
	}
}

// signer returns the request signer of the operator, with the key from the key file.
func (s *settings) signer() (access.Signer, error) {
	if !bundle.ValidID(s.operator) {
		return access.Signer{}, newUsageError("--operator", s.operator, "the name of an operator of the bundle in force")
	}
	if err := requireFlag("--key", s.keyFile, "an operator key file, see peppertrail keys operator"); err != nil {
		return access.Signer{}, err
	}
	key, err := access.ReadOperatorKey(s.keyFile)
	if err != nil {
		return access.Signer{}, err
	}
	return access.Signer{Operator: s.operator, Key: key}, nil
}

// client returns a client of the admin API.
func (s *settings) client() (*admin.Client, error) {
	url, err := parseBaseURL("--admin", s.adminURL)
	if err != nil {
		return nil, err
	}
	signer, err := s.signer()
	if err != nil {
		return nil, err
	}
	transport, err := s.transport()
	if err != nil {
		return nil, err
	}
	return &admin.Client{
		URL:    url,
		Signer: signer,
		HTTP:   &http.Client{Transport: transport, Timeout: adminCallTimeout},
	}, nil
}

func (s *settings) transport() (*http.Transport, error) {
	config, err := access.ClientTLS(s.caFile)
	if err != nil {
		return nil, err
	}
	return &http.Transport{
		TLSClientConfig:     config,
		TLSHandshakeTimeout: 10 * time.Second,
		ForceAttemptHTTP2:   true,
	}, nil
}
