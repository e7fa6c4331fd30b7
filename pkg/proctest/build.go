package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
)

// binDir is the directory with the commands that Main has built.
var binDir string

// Main builds the commands of the module, runs the tests and exits the process; call it from TestMain.
func Main(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proctest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = moduleDir()
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the commands:", err)
		return 1
	}
	return m.Run()
}

// moduleDir returns the root directory of the module, derived from the path of this source file.
func moduleDir() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(filepath.Dir(file)))
}
