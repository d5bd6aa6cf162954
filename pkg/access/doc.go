// Package access holds the keys of callers and operators, the signatures of
// operator requests and the TLS settings. No error or log line of this package
// contains a secret.
package access
