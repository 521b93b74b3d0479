// Package policy holds the decisions under load. Each package below it is one
// decision as a pure function of a snapshot: no input or output, no clock of
// its own, randomness handed in. Package naive is the baseline of each.
package policy
