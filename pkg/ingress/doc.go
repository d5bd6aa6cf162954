// Package ingress accepts the connections of callers. It bounds their number, so that a
// host does not run out of file descriptors, and closes them on a planned stop without
// losing a request that a caller has already sent. At the limit it closes the least useful
// connection. It counts the memory of connections and of heads of requests.
//
// net/http alone does neither. Without a free descriptor its server stops accepting for
// up to a second and then serves callers that have left. On Shutdown it closes idle
// connections without looking for unread bytes, and closing the listener resets the
// connections that wait to be accepted.
package ingress
