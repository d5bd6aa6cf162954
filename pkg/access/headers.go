package access

import "time"

// Headers of a signed operator request.
const (
	OperatorHeader  = "X-Peppertrail-Operator"
	TimeHeader      = "X-Peppertrail-Time"      // Unix time in milliseconds
	NonceHeader     = "X-Peppertrail-Nonce"     // 32 hex digits, fresh for each request
	SignatureHeader = "X-Peppertrail-Signature" // Ed25519, base64
)

const (
	// SignatureWindow is how far the time of a request may be from the
	// daemon's clock. Hosts keep their clocks within seconds.
	SignatureWindow = 60 * time.Second
	// MaxBody is the size limit of an operator request in bytes. A bundle of
	// 4 MiB with its signature fits.
	MaxBody = 5 << 20

	nonceBytes       = 16
	maxOperatorChars = 64
	maxTimeChars     = 16
)
