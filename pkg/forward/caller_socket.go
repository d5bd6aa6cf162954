package forward

// CallerSocket is the connection to a caller, as far as it tells whether the caller reads.
type CallerSocket interface {
	// Acknowledged returns how many bytes the caller's system has acknowledged since the
	// connection was accepted, and whether bytes are left that were not sent. ok is false if the
	// operating system does not tell.
	Acknowledged() (bytes int64, unsent, ok bool)
	// Abort makes writes fail, also one in progress, and lets Close reset the connection.
	Abort()
}
