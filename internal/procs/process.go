package procs

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// terminateTimeout is how long Close waits after SIGTERM before it sends SIGKILL.
const terminateTimeout = 20 * time.Second

// Process is a child process; signals are sent to its process ID only, not to its process group.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	once    sync.Once
	wait    conc.WaitGroup
	// The fields below are the arguments for Restart.
	program   string
	arguments []string
	directory string
}

// Launch starts a program and appends its output to the file <name>.log in the directory.
func Launch(name, directory, program string, arguments ...string) (*Process, error) {
	return startProcess(name, directory, program, arguments...)
}

// Reload sends SIGHUP, on which the process reloads its settings.
func (p *Process) Reload() error {
	return p.signal(syscall.SIGHUP)
}

func startProcess(name, directory, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "open log of %s", name)
	}
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		_ = log.Close() // The process did not start, so the log is empty.
		return nil, eris.Wrapf(err, "start %s; build the programs with `make build`", name)
	}
	p := &Process{
		Name: name, command: command, log: log, done: make(chan struct{}),
		program: program, arguments: arguments, directory: directory,
	}
	p.wait.Go(func() {
		_ = command.Wait() // ExitCode reads the status from ProcessState.
		close(p.done)
	})
	return p, nil
}

// Kill sends SIGKILL, which simulates a crash of the VM.
func (p *Process) Kill() error {
	return p.signal(syscall.SIGKILL)
}

// Pause sends SIGSTOP, which the process cannot detect.
func (p *Process) Pause() error {
	return p.signal(syscall.SIGSTOP)
}

// Resume sends SIGCONT to a paused process.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate sends SIGTERM, on which the process shuts down gracefully.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait reports whether the process exited within the timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// ExitCode returns the exit code of the process; it is -1 while the process runs or if a signal terminated it.
func (p *Process) ExitCode() int {
	if p.Running() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// Restart starts the same program again after the process has exited and returns the new process.
func (p *Process) Restart() (*Process, error) {
	return startProcess(p.Name, p.directory, p.program, p.arguments...)
}

// Close terminates the process, with SIGKILL if it does not exit within terminateTimeout.
func (p *Process) Close() {
	p.once.Do(func() {
		if p.Running() {
			_ = p.Resume()    // A stopped process does not handle SIGTERM.
			_ = p.Terminate() // The process may have exited meanwhile.
		}
		if !p.Wait(terminateTimeout) {
			_ = p.Kill() // The process may have exited meanwhile.
		}
		p.wait.Wait()
		_ = p.log.Close() // Only the child process writes to the file.
	})
}

func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return eris.Errorf("process %s has already exited", p.Name)
	}
	return eris.Wrapf(p.command.Process.Signal(s), "send signal to %s", p.Name)
}
