// Package balance tracks the targets of every service and selects one for each
// request.
//
// It is designed for these conditions:
//   - Requests share long prompt parts, which cost little at a target that has
//     them cached.
//   - Prompts differ greatly in length, and a long one delays all other requests
//     at its target.
//   - Load reports are late, and all hosts choose targets by them at the same time.
//   - Targets differ in speed, slow down, fail some of their requests or stop
//     responding, and recover.
//   - A target that restarts has a new ID.
package balance
