// Package clementineturn declares the interfaces, the shared value types and
// the closed list of error kinds of the router fleet. It runs nothing itself;
// the packages below it implement the interfaces: an entry or a front receives
// a request and ranks backend servers, a sidecar beside each backend server
// admits the request, and durable state is kept in the platform's table, store
// and object store.
package clementineturn
