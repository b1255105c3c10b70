package settings

const (
	// minMemoryMB is the least memory in MiB with room for two of the largest requests beside the
	// work of a process, and minDescriptors the least number of descriptors with room for its own
	// connections beside those of clients.
	minMemoryMB    = 96
	minDescriptors = 128
	// keptMemoryPart is the part of the memory, as a divisor, that answers and ledgers may take.
	keptMemoryPart = 4
)

// checkIngress adds the problems with the memory and the descriptors that a process may use to p.
func checkIngress(section string, memoryMB, descriptors int, p *ValidationError) {
	if memoryMB != 0 && memoryMB < minMemoryMB {
		p.addProblem(section+".memoryMB", memoryMB, "0 for no bound, or %d or more", minMemoryMB)
	}
	if descriptors != 0 && descriptors < minDescriptors {
		p.addProblem(section+".descriptors", descriptors, "0 for the default, or %d or more", minDescriptors)
	}
}

// MaxKeptBytes is the largest size of what a process with that memory may keep for later.
func MaxKeptBytes(memoryMB int) int64 { return int64(memoryMB) << 20 / keptMemoryPart }

// checkKept adds a problem to p if what a process keeps for later takes too much of its memory.
func checkKept(field string, bytes int64, memoryMB int, p *ValidationError) {
	if most := MaxKeptBytes(memoryMB); memoryMB >= minMemoryMB && bytes > most {
		p.addProblem(field, bytes, "at most %d, a quarter of memoryMB", most)
	}
}
