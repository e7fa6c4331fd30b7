package app

// The exit codes of both programs.
const (
	// ExitOK means that what was asked for was done.
	ExitOK = 0
	// ExitFailed means that it was refused or failed; the message tells why.
	ExitFailed = 1
	// ExitUsage means that the command line, the settings or a file is wrong; nothing was sent.
	ExitUsage = 2
	// ExitUnreachable means that no instance answered.
	ExitUnreachable = 3
	// ExitRecorded means that a change is in the log, but is not yet known to be in force on a majority.
	ExitRecorded = 4
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code  int
	cause error
}

// Error describes the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

// stopped is the panic by which the command-line parser ends a run after help, version or completion.
type stopped struct{ code int }
