// Package access implements the API keys of customers, the signing keys and
// request signatures of operators, and the TLS configuration. No error or log line
// of this package contains a secret.
package access
