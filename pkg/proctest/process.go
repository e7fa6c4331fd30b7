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
	// readyTime bounds the start of a process and of a set.
	readyTime = 30 * time.Second
	// pollPause is the pause between two looks at what is waited for.
	pollPause = 50 * time.Millisecond
	// exitTime bounds the end of a process that was told to end.
	exitTime = 30 * time.Second
	// shownBytes bounds what a failed test prints of the output of one process.
	shownBytes = 12 << 10
)

// Process is a process that a test has started; it is killed at the end of the test at the latest.
type Process struct {
	Name string

	t    testing.TB
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	out  output
}

// output keeps what a process wrote.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write keeps b.
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

// Start starts one of the built commands.
func Start(t testing.TB, name, command string, args ...string) *Process {
	t.Helper()
	return start(t, name, command, nil, args...)
}

// start starts one of the built commands; stdout is optional.
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
	t.Cleanup(p.clean)
	return p
}

func (p *Process) clean() {
	p.Kill()
	if p.t.Failed() {
		p.t.Logf("output of %s:\n%s", p.Name, p.out.tail(shownBytes))
	}
}

// Output returns what the process has written.
func (p *Process) Output() string { return p.out.tail(1 << 30) }

// Kill ends the process at once, also while it is frozen, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process by SIGSTOP and returns once all its threads have stopped.
func (p *Process) Freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	Eventually(p.t, exitTime, p.Name+" has stopped", p.stopped)
}

// stopped tells whether each thread of the process is in state T of its stat file, which follows the name in brackets.
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

// Thaw lets a frozen process go on by SIGCONT.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to shut down by SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Reload asks the process to read its settings anew by SIGHUP.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

func (p *Process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.Name, err)
	}
}

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// AwaitExit waits for the end of the process and returns its error.
func (p *Process) AwaitExit() error {
	p.t.Helper()
	select {
	case <-p.done:
		return p.err
	case <-time.After(exitTime):
		p.t.Fatalf("%s did not end within %v", p.Name, exitTime)
		return nil
	}
}

// Eventually calls ok until it returns true, and fails the test with the description when that takes too long.
func Eventually(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(pollPause) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}
