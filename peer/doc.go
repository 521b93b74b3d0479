// Package peer holds the interfaces through which the system meets whatever
// lies outside one process: the clock, the platform, the backend servers, the
// callers and the other daemons. A package below it implements them for one
// peer or protocol. Nothing above peer knows a protocol.
package peer
