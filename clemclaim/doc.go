// Package clemclaim makes non-idempotent calls run at most once. The Ledger
// stores one claim per organisation and idempotency key in the platform's
// table. Before a sidecar dispatches a call to its backend server, its Claimer
// claims the call there and grants it; it also answers the sidecars that
// request it to void a claim. The Router submits a claim to the sidecar whose
// ledger writes it.
package clemclaim
