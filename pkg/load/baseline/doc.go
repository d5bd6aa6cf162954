// Package baseline implements simpler budget policies that measurements compare
// with the policy of the daemon. No setting of peppertraild selects them.
package baseline
