// Package balance knows the targets of every service and chooses one for each
// request.
//
// It answers these loads: requests that share long prompt parts, which are cheap
// where the parts are cached; prompts of very different length, since a long
// one delays everything beside it; load reports that are late and read by every
// host at the same time; targets that differ in speed, turn slow, fail some of
// their requests or fall silent, and come back; targets that start again under
// another id.
package balance
