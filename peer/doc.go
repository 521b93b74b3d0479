// Package peer defines the interfaces to everything outside the process: the
// clock, the platform, the backend servers, the callers and the other daemons.
// Each package below it implements them for one peer or protocol. Packages that
// use these interfaces do not depend on any protocol.
package peer
