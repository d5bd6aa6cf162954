// Package slopes measures how the cost of a fleet grows with its size. It runs
// real daemon processes against stand-ins in its own process, counts table calls
// and transferred bytes, and fits a line to each cost.
package slopes
