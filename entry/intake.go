package entry

import (
	"math"
	"runtime/debug"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"quincewinch/config"
	"quincewinch/intake"
	"quincewinch/models"
	"quincewinch/relay"
)

// limitIntake derives, from the VM's memory and descriptors, what callers can make the
// daemon hold.
func (d *Daemon) limitIntake(vm config.EntryVM) {
	memory, descriptors := vm.MemoryBytes, vm.Descriptors
	if memory == 0 {
		memory = machineMemory()
	}
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	limits := intake.Derive(memory, descriptors, vm.StallTimeout)
	if limits.RuntimeBytes > 0 {
		debug.SetMemoryLimit(int64(limits.RuntimeBytes))
	}
	d.intake = intake.New(limits, d.maxHeaderBytes, d.clock, d.logger)
	d.intake.Register(d.registry)
	d.logger.Info("limits of the VM",
		zap.Int("memory-bytes", memory),
		zap.Int("descriptors", descriptors),
		zap.Int("runtime-bytes", limits.RuntimeBytes),
		zap.Int("held-bytes", limits.Bytes),
		zap.Int("answer-bytes", limits.AnswerBytes),
		zap.Int("requests", limits.Requests),
		zap.Int("connections", limits.Connections),
		zap.Duration("stall-timeout", limits.Stall))
}

// machineMemory is processMemory as it was before the daemon set a limit.
var machineMemory = sync.OnceValue(processMemory)

// processMemory returns the memory of the process in bytes: the limit that the
// environment gives the Go runtime, or the machine's memory; 0 if neither is known.
func processMemory() int {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int(limit)
	}
	var machine unix.Sysinfo_t
	if err := unix.Sysinfo(&machine); err != nil {
		return 0
	}
	return int(machine.Totalram * uint64(machine.Unit))
}

// maxDescriptors bounds the number of descriptors that the process expects: a limit
// above it is taken for none.
const maxDescriptors = 1 << 20

// processDescriptors returns the number of descriptors that the process may open, 0 if
// it is not known.
func processDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxDescriptors))
}

// authorize returns the workspace of a request before its body is read.
func (d *Daemon) authorize(e *relay.Exchange) (models.Workspace, error) {
	return relay.Authorize(d.configuration.Routing(), e)
}

func (d *Daemon) maxHeaderBytes() int {
	if routing := d.configuration.Routing(); routing != nil && routing.Limits.HeaderBytes > 0 {
		return routing.Limits.HeaderBytes
	}
	return d.settings.Load().Callers.HeaderBytes
}
