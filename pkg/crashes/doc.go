// Package crashes finds requests, and parts of prompts, that crash targets, and blocks them.
//
// A request may crash each target that begins to run it, and comes again under other ids at
// any host. A part of a prompt may crash each target that begins to answer it, in requests of
// which no two are alike. Each crash also breaks off sound requests, which share their other
// parts with it, and may come again as well. What tells a cause apart is that it is never
// answered: hosts exchange what the broken requests of a target had in them, and each host
// blocks a cause by itself once enough targets have crashed under it without an answer in
// between.
//
// A request is represented by its keys: those of the parts of its prompt that other requests
// may share, and after them its own one. A crash is identified by the target and its start,
// as a target may start again under its ID.
package crashes
