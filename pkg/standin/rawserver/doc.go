// Package rawserver is a stand-in for a server that fails within its answers: it sends the bytes it
// is told, valid or not, and ends its connections in the way it is told.
package rawserver
