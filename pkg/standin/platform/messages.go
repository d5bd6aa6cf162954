package platform

// GetRequest is the body of POST /table/get. The reply is an array of rows.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of POST /table/scan. The reply is an array of rows.
type ScanRequest struct {
	Prefix string `json:"prefix"` // prefix of the keys of the returned rows
	After  string `json:"after"`  // only rows with greater keys are returned
	Limit  int    `json:"limit"`  // maximum number of returned rows
}
