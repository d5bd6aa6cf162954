// Package slopes measures how the cost of a fleet grows with its size. It runs
// real daemon processes against stand-ins in its own process, counts table calls
// and transferred bytes, and fits a line to each cost.
//
// The design size, to which comments refer, is a fleet of 340 daemons in two regions
// and four failure domains that serves 3,100 requests per second.
package slopes
