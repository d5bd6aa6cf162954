package remote

// getRequest is the body of POST /table/get.
type getRequest struct {
	Keys []string `json:"keys"`
}

// scanRequest is the body of POST /table/scan.
type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}
