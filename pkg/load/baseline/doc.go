// Package baseline holds simpler policies for budgets, against which
// measurements compare the daemon's own. No setting of peppertraild selects them.
package baseline
