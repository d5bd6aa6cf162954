// Package httpstrict detects broken HTTP/1.1 responses that net/http takes for valid ones: a
// body that ends with its connection, which was reset, and a status code that HTTP does not have.
package httpstrict
