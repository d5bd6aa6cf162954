// Package crashparts finds parts of prompts that crash targets, and blocks the requests that
// contain them.
//
// A part that crashes each target which begins to answer it comes in requests that have
// nothing else in common, and each crash also breaks off sound requests, which share their
// other parts with it. What tells the part apart is that no request with it is ever
// answered. The load that the package answers is therefore a stream of different requests at
// all hosts: hosts exchange which parts were in the broken requests of which target, and
// each host blocks a part by itself once enough targets have crashed under it without an
// answer in between.
//
// The last part of a prompt is specific to the request or its session and must not be
// passed to this package.
package crashparts
