package callermem

// Usage is what decisions on the admission of requests read of an Account.
type Usage interface {
	Used() int64 // bytes in use
	Cap() int64  // bytes that may be in use; math.MaxInt64 without a limit
}

var _ Usage = (*Account)(nil)
