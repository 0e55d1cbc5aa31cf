// Package clementineturn holds the interfaces and the closed list of error
// kinds that the packages of the router fleet share. Implementations live in
// the packages below it: the entry ranks backend servers, the sidecar beside
// each backend server admits work, and everything that must last is kept in
// the platform's table and object store.
package clementineturn
