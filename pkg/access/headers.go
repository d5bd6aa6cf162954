package access

import "time"

// Headers of a signed operator request.
const (
	OperatorHeader  = "X-Peppertrail-Operator"  // name of the operator
	TimeHeader      = "X-Peppertrail-Time"      // Unix time in milliseconds
	NonceHeader     = "X-Peppertrail-Nonce"     // 32 hex digits, unique for each request
	SignatureHeader = "X-Peppertrail-Signature" // Ed25519 signature in base64
)

const (
	// SignatureWindow is the maximum difference between the time of a request
	// and the daemon's clock. Clocks of hosts differ by seconds at most.
	SignatureWindow = 60 * time.Second
	// MaxBody is the size limit of an operator request in bytes. A bundle of
	// 4 MiB with its signature fits.
	MaxBody = 5 << 20

	nonceBytes       = 16
	maxOperatorChars = 64
	maxTimeChars     = 16
)
