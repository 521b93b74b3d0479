// Package intake bounds what callers can make a daemon hold: memory, connections and
// descriptors. Memory is charged to an account before it is used.
package intake

import "time"

// Limits bounds what a daemon holds for others. A zero field stands for no limit.
type Limits struct {
	RuntimeBytes int           // memory limit of the Go runtime
	Bytes        int           // heads and bodies
	AnswerBytes  int           // answers that are buffered
	Requests     int           // between their head and their answer
	Connections  int           // of callers
	Stall        time.Duration // in which a body or an answer has to go on
}

const (
	// minOtherBytes is the memory for what the runtime's limit does not count, such as
	// the program itself, but at least the fraction 1/otherFraction of the VM's.
	minOtherBytes = 32 << 20
	otherFraction = 8
	// ownBytes is the memory for the daemon's own state.
	ownBytes = 32 << 20
	// minBytes is the least for heads, bodies and answers: a body of 4 MiB while it grows,
	// with others.
	minBytes = 16 << 20
	// answerFraction is the part 1/answerFraction of these bytes that is for answers.
	// Requests hold their bodies while their answers wait for room, and so could wait for
	// each other if both came from one account.
	answerFraction = 4
	// connectionBytes is the memory of a connection with its buffers and stacks.
	connectionBytes = 32 << 10
	// reservedFraction is the part 1/reservedFraction of the descriptors that are for
	// the store, for other daemons and for idle connections to backend servers.
	reservedFraction = 4
	// minConnections is the least number of connections.
	minConnections = 16
)

// Derive returns the limits of a daemon on a VM. A field that is 0 is not known.
//
// Half of the runtime's memory above the daemon's own state is for heads, bodies and
// answers: the rest is for connections and for garbage. Each running request may have a connection to a
// backend server besides that of its caller.
func Derive(memoryBytes, descriptors int, stall time.Duration) Limits {
	limits := Limits{Stall: stall}
	if memoryBytes > 0 {
		limits.RuntimeBytes = max(memoryBytes-max(minOtherBytes, memoryBytes/otherFraction), ownBytes+2*minBytes)
		held := (limits.RuntimeBytes - ownBytes) / 2
		limits.AnswerBytes = held / answerFraction
		limits.Bytes = held - limits.AnswerBytes
		limits.RuntimeBytes = min(limits.RuntimeBytes, memoryBytes)
		limits.Connections = max(limits.RuntimeBytes/4/connectionBytes, minConnections)
	}
	if descriptors > 0 {
		usable := descriptors - descriptors/reservedFraction
		limits.Requests = max(usable/3, minConnections)
		byDescriptors := max(usable-usable/3, minConnections)
		if limits.Connections == 0 || byDescriptors < limits.Connections {
			limits.Connections = byDescriptors
		}
	}
	return limits
}
