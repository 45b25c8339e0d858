package procs

// StartProgram starts a program and appends its output to the file <name>.log in the directory.
func StartProgram(name, directory, program string, arguments ...string) (*Process, error) {
	return startProcess(name, directory, program, arguments...)
}
