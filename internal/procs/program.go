package procs

// StartProgram starts a program; its output goes to a log in the directory that is named for it.
func StartProgram(name, directory, program string, arguments ...string) (*Process, error) {
	return startProcess(name, directory, program, arguments...)
}
