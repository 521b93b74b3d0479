// Package policy contains the load management decisions, one per subpackage.
// Each is a pure function of a snapshot: it does no I/O, reads no clock, and
// gets its source of randomness as an argument. Package naive has a simple
// baseline for each decision.
package policy
