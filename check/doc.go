// Package check examines a configuration of operators before it is sent: what makes
// it invalid, entries that can never take effect, limits that contradict each other,
// and what it changes compared with another version.
package check
