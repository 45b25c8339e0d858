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

// terminateTimeout bounds a graceful end before the process is killed.
const terminateTimeout = 20 * time.Second

// Process is one started process; signals go to its own process ID only.
type Process struct {
	Name    string
	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	once    sync.Once
	wait    conc.WaitGroup
	// restart holds what Restart needs.
	program   string
	arguments []string
	directory string
}

// Launch starts a program whose output goes to a log of its name in the directory.
func Launch(name, directory, program string, arguments ...string) (*Process, error) {
	return startProcess(name, directory, program, arguments...)
}

// Reload asks the process to read its settings again.
func (p *Process) Reload() error {
	return p.signal(syscall.SIGHUP)
}

func startProcess(name, directory, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "open the log of %s", name)
	}
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		_ = log.Close() // The start has failed; the log is empty.
		return nil, eris.Wrapf(err, "start %s; build the programs with `make build`", name)
	}
	p := &Process{
		Name: name, command: command, log: log, done: make(chan struct{}),
		program: program, arguments: arguments, directory: directory,
	}
	p.wait.Go(func() {
		_ = command.Wait() // The exit status is read from ProcessState.
		close(p.done)
	})
	return p, nil
}

// Kill ends the process at once, as a crash of the VM would.
func (p *Process) Kill() error {
	return p.signal(syscall.SIGKILL)
}

// Pause stops the process without its knowledge.
func (p *Process) Pause() error {
	return p.signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate asks the process to end gracefully.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait returns true when the process ended within the time.
func (p *Process) Wait(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// ExitCode returns the exit code of an ended process; it is -1 while it runs or after a signal.
func (p *Process) ExitCode() int {
	if p.Running() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

// Restart starts the same program again after the process has ended.
func (p *Process) Restart() (*Process, error) {
	return startProcess(p.Name, p.directory, p.program, p.arguments...)
}

// Close ends the process, gracefully if it can.
func (p *Process) Close() {
	p.once.Do(func() {
		if p.Running() {
			_ = p.Resume()    // A paused process would not see the next signal.
			_ = p.Terminate() // It may have ended in between.
		}
		if !p.Wait(terminateTimeout) {
			_ = p.Kill() // It may have ended in between.
		}
		p.wait.Wait()
		_ = p.log.Close() // Everything was written by the process itself.
	})
}

func (p *Process) signal(s syscall.Signal) error {
	if !p.Running() {
		return eris.Errorf("%s has ended already", p.Name)
	}
	return eris.Wrapf(p.command.Process.Signal(s), "signal %s", p.Name)
}
