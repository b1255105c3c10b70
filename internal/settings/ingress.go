package settings

// checkIngress adds the problems with the memory and the descriptors that a process may use to p.
func checkIngress(section string, memoryMB, descriptors int, p *ValidationError) {
	if memoryMB < 0 {
		p.addProblem(section+".memoryMB", memoryMB, "zero or more")
	}
	if descriptors < 0 {
		p.addProblem(section+".descriptors", descriptors, "zero or more")
	}
}
