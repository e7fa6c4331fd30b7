package app

// Exit codes of both programs.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command was refused or failed; the error output has the reason.
	ExitFailed = 1
	// ExitUsage means that the command line, the settings or a file is invalid; nothing was sent.
	ExitUsage = 2
	// ExitUnreachable means that the instance sent no response, or an incomplete one from the admin API.
	ExitUnreachable = 3
	// ExitRecorded means that a change is in the log, but a majority of the instances has not confirmed it yet.
	ExitRecorded = 4
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code  int
	cause error
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap makes errors.Is and errors.As see the cause.
func (e *exitError) Unwrap() error { return e.cause }

// parserExit is the panic value with which the parser exits after printing help, version or completion.
type parserExit struct{ code int }
