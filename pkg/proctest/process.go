package proctest

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// readyTimeout limits the start of a process or of a whole system.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// exitTimeout limits how long a process may take to exit after a signal.
	exitTimeout = 30 * time.Second
	// maxLoggedOutputBytes limits the output of one process that a failed test prints.
	maxLoggedOutputBytes = 12 << 10
)

// Process is a child process that is killed at the latest when its test ends.
type Process struct {
	Name string

	t    testing.TB
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	out  output
}

// output buffers what a process writes; it is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends b to the buffer.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) tail(n int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.text.Bytes()
	return string(b[max(0, len(b)-n):])
}

// Start runs one of the commands that Main has built, and fails the test when the process cannot be started.
func Start(t testing.TB, name, command string, args ...string) *Process {
	t.Helper()
	return start(t, name, command, nil, args...)
}

// start runs one of the built commands; a nil stdout collects standard output together with standard error.
func start(t testing.TB, name, command string, stdout io.Writer, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, t: t, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binDir, command), args...)
	p.cmd.Stderr = &p.out
	p.cmd.Stdout = &p.out
	if stdout != nil {
		p.cmd.Stdout = stdout
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.killAndLogOutput)
	return p
}

func (p *Process) killAndLogOutput() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Name, p.out.tail(maxLoggedOutputBytes))
	}
}

// Output returns everything that the process has written so far.
func (p *Process) Output() string { return p.out.tail(1 << 30) }

// ID returns the process ID.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL, which also ends a frozen process, and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process with SIGSTOP and returns once all its threads have stopped.
func (p *Process) Freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	Eventually(p.t, exitTimeout, p.Name+" is stopped", p.stopped)
}

// stopped reports whether all threads of the process are in state T (stopped), the field after the name in their stat files.
func (p *Process) stopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		_, rest, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// Resume resumes a frozen process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to shut down gracefully with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Reload asks the process to reload its settings with SIGHUP.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("send signal %v to %s: %v", s, p.Name, err)
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// AwaitExit waits until the process exits and returns its exit error, and fails the test after a timeout.
func (p *Process) AwaitExit() error {
	p.t.Helper()
	select {
	case <-p.done:
		return p.err
	case <-time.After(exitTimeout):
		p.t.Fatalf("%s did not exit within %v", p.Name, exitTimeout)
		return nil
	}
}

// Eventually polls condition until it returns true, and fails the test with the description when it is still false after timeout.
func Eventually(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %v: %s", timeout, description)
}
