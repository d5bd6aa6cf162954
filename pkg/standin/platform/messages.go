package platform

// GetRequest is the body of POST /table/get. The reply is an array of rows.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest is the body of POST /table/scan. The reply is an array of rows.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}
