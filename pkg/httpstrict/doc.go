// Package httpstrict detects broken HTTP/1.1 responses that net/http takes for valid ones: a
// body that ends with its connection, which was reset, a status code that HTTP does not have, and
// an invalid name of a header field.
package httpstrict
