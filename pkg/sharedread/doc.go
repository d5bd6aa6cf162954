// Package sharedread lets a few hosts of each failure domain read a table of the store and pass
// its changes on to the others, so that the bytes read from the store grow with the table and
// not with hosts times the table. It handles fleets of some hundred hosts, tables of some
// thousand rows that are rewritten every second without a change of their content, and links of
// 10 Mbit/s. docs/design/shared-store-reads.md describes the protocol and its failures.
package sharedread
