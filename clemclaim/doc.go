// Package clemclaim makes non-idempotent calls run at most once. The Ledger
// keeps one claim per organisation and idempotency key in the platform's
// table. The Keeper, one per sidecar, turns a claim into the right to
// dispatch a call, and answers other sidecars that ask it to give up a claim.
package clemclaim
