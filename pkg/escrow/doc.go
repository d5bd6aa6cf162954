// Package escrow authorises requests against prepaid budgets without a remote
// call per request.
//
// Each customer has an account, a table row that records which share of the
// budget each process holds. A share is debited from the budget before its
// process authorises a request from it. So all hosts together never spend more
// than is prepaid, even if hosts, the store or the network fail. No host relies
// on the time of day: all times are from the monotonic clock of the host or of
// the store.
//
// The terms of this package:
//
//   - A share is the part of a budget that one process, its holder, may spend.
//     A process that loses its share starts a new epoch.
//   - A reservation takes from the share what one request may cost at most. It
//     is settled with the tokens that the request has spent. The tokens used
//     from a share are those spent by settled reservations and those of open
//     reservations.
//   - Closing a share adds the tokens spent from it to the settled tokens of
//     the account and returns the rest to the budget.
//   - A usage report records the tokens that a process has used from each of
//     its shares. It renews the lease of the process and limits what the
//     process may use until the next report: for ceilingTerm up to a fixed
//     ceiling, after that up to a limit that rises with the expected demand and
//     is ahead of it by at most a burst, and nothing more after leaseDuration.
//     The distance between the ceiling and the tokens used is the headroom.
//
// Each process writes its reports to one row for all customers. A host that
// closes the share of an ended process settles the tokens that the last report
// allowed the process to spend until its end.
//
// In a large fleet one host, the broker, changes an account for all others,
// which send it share requests (ShareRequest). An account row takes about 200
// changes per second, and the writes of many hosts would conflict. Each request
// carries what its host has used, so no host reads the reports of all others.
//
// Divided among hundreds of hosts, a budget gives shares smaller than one request. A host
// whose callers send few requests of a customer therefore has no share: it asks the broker,
// call by call, to reserve tokens of the broker's share (ReserveRequest), and settles what
// was spent. The broker counts what is never settled as spent. A host with steady demand
// has a share of its own, from which it serves without a call and while it is cut off.
//
// Hosts know each other from small rows of their own (HostRow), which they renew
// every few seconds.
//
// The package is designed for these failures:
//
//   - Every host loses the store and all other hosts for about ten seconds
//     while a customer sends several times its usual load. Shares cover that
//     time, and bursts cover what exceeds the expected demand.
//   - All processes are killed at once. The ceiling of a report is only
//     slightly above the tokens used, so few tokens are lost.
//   - All processes are killed while they are cut off. What nobody spent of their
//     limits is lost. Beyond the expected demand that is a fraction of the prepaid
//     total for all hosts together, however long they were cut off, as far as the
//     hosts know each other's demand.
//   - Some partitions of the store are down. A process can write its report to
//     any of several parts of the table.
//   - A budget runs low. Shares follow the demand, and hosts return tokens that
//     another host lacks.
//   - A large fleet divides a budget into shares smaller than a large request.
//     A part of the budget then stays in the account and is given only to hosts
//     on which a reservation waits, and hosts with little demand spend from the
//     share of the broker.
package escrow
