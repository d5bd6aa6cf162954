package callermem

// holder is what one request uses for its head or its body.
type holder struct {
	kind     Kind
	address  string // of the client; "": in no share of an address
	customer string // "": in no share of a customer
	bytes    int64  // guarded by the mutex of the account
}
