// Package escrow keeps prepaid budgets without a call on the way of a request.
//
// Each customer has one account row in the table. A host that serves the
// customer holds a part of the budget: the row names the amount, which is
// debited before the host authorises a request from it. What hosts hold
// together never exceeds the prepaid total, whatever becomes of hosts, store and
// network, and without trust in clocks of the time of day.
//
// The package answers these loads: every host loses the store and all other
// hosts for some ten seconds while a customer sends several times its usual
// (holdings cover that time at a multiple of the measured demand); all processes
// are killed at once (each report carries a ceiling below the holding, so that a
// host that starts again soon gets back what the dead process cannot have
// spent); a budget that runs low (holdings shrink to shares by demand, and hosts
// give back what another one lacks).
package escrow
