package main

import (
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/peppertrail/peppertrail/pkg/access"
	"github.com/peppertrail/peppertrail/pkg/admin"
	"github.com/peppertrail/peppertrail/pkg/bundle"
)

// adminTimeout bounds one call. The server gives up after admin.CallTimeout.
const adminTimeout = 4 * admin.CallTimeout

// settings are the global flags. Each may also come from the environment.
type settings struct {
	admin    string
	operator string
	key      string
	ca       string
	json     bool
}

func (s *settings) register(p *flaggy.Parser) {
	p.String(&s.admin, "", "admin", "URL of a daemon's admin listener (PEPPERTRAIL_ADMIN)")
	p.String(&s.operator, "", "operator", "name of the operator (PEPPERTRAIL_OPERATOR)")
	p.String(&s.key, "", "key", "operator key file, mode 0600 (PEPPERTRAIL_KEY)")
	p.String(&s.ca, "", "ca", "PEM file of certificates to trust for https (PEPPERTRAIL_CA)")
	p.Bool(&s.json, "", "json", "print JSON for programs")
}

func (s *settings) fromEnvironment(getenv func(string) string) {
	fallBack(&s.admin, getenv("PEPPERTRAIL_ADMIN"))
	fallBack(&s.operator, getenv("PEPPERTRAIL_OPERATOR"))
	fallBack(&s.key, getenv("PEPPERTRAIL_KEY"))
	fallBack(&s.ca, getenv("PEPPERTRAIL_CA"))
}

func fallBack(value *string, other string) {
	if *value == "" {
		*value = other
	}
}

// signer loads the operator's key.
func (s *settings) signer() (access.Signer, error) {
	if !bundle.ValidID(s.operator) {
		return access.Signer{}, usage("--operator", s.operator, "the name of an operator of the bundle in force")
	}
	if err := required("--key", s.key, "an operator key file, see peppertrail keys operator"); err != nil {
		return access.Signer{}, err
	}
	key, err := access.ReadOperatorKey(s.key)
	if err != nil {
		return access.Signer{}, err
	}
	return access.Signer{Operator: s.operator, Key: key}, nil
}

// client returns a client of the admin API.
func (s *settings) client() (*admin.Client, error) {
	url, err := baseURL("--admin", s.admin)
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
		HTTP:   &http.Client{Transport: transport, Timeout: adminTimeout},
	}, nil
}

func (s *settings) transport() (*http.Transport, error) {
	config, err := access.ClientTLS(s.ca)
	if err != nil {
		return nil, err
	}
	return &http.Transport{
		TLSClientConfig:     config,
		TLSHandshakeTimeout: 10 * time.Second,
		ForceAttemptHTTP2:   true,
	}, nil
}
