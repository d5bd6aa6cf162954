// Package escrow keeps prepaid budgets without a call on the way of a request.
//
// Each customer has an account row in the table that says which share of the
// budget each host holds. A share is debited from the budget before its host
// authorises a request from it, so that hosts together never spend more than is
// prepaid, whatever becomes of hosts, store and network, and without trust in
// the time of day.
//
// Each host reports what it has spent, in one row for all customers. A report
// also bounds what the host spends until the next one: up to a ceiling at first,
// and more with time. Whoever finds the share of an ended process counts as spent
// what the last report allowed it until then, and frees the rest.
//
// In a large fleet one host, the broker, changes an account for all others, which
// ask it (ShareAsk). Rows take some 200 changes a second, and hosts that each
// wrote them would collide.
//
// The package answers these loads: every host loses the store and all other
// hosts for some ten seconds while a customer sends several times its usual
// (shares cover that time at a multiple of the measured demand); all processes
// are killed at once (the ceiling of a report lies little above what is spent);
// parts of the store are down (a report goes to one of several places); a budget
// runs low (shares follow the demand, and hosts give back what another one lacks).
package escrow
