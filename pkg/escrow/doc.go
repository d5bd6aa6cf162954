// Package escrow authorises requests against prepaid budgets without a remote
// call per request.
//
// Each customer has an account row in the table that records which share of
// the budget each host holds. A share is debited from the budget before its
// host authorises a request from it. So all hosts together never spend more
// than is prepaid, even if hosts, the store or the network fail, and no host
// relies on the time of day.
//
// Each host reports what it has spent, in one row for all customers. A report
// also limits what the host may spend until the next one: up to a ceiling at
// first, and up to a rising limit later. A host that closes the share of an
// ended process settles the tokens that the last report allowed the process to
// spend until its end, and returns the rest to the budget.
//
// In a large fleet one host, the broker, changes an account for all others,
// which send it share requests (ShareRequest). A row takes about 200 changes
// per second, and the writes of many hosts would conflict.
//
// The package is designed for these situations. Every host loses the store and
// all other hosts for about ten seconds while a customer sends several times
// its usual load: shares cover that time at a multiple of the measured demand.
// All processes are killed at once: the ceiling of a report is only slightly
// above what is spent. Parts of the store are down: a report can be written to
// one of several parts. A budget runs low: shares follow the demand, and hosts
// return tokens that another host lacks.
package escrow
