//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 12 * time.Second
)

// Instance is a process of the router.
type Instance struct {
	Name, Caller, Ready string

	cmd  *exec.Cmd
	done chan struct{}
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// StartInstance starts an instance with the settings that the deploy file's template makes of a small deployment; its log goes to dir.
func StartInstance(dir, name, zone, store string) (*Instance, error) {
	var a [4]string
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	in := &Instance{Name: name, Caller: a[0], Ready: a[1], done: make(chan struct{})}
	settings, err := json.Marshal(map[string]any{
		"Name": name, "Zone": zone, "CallerAddress": a[0], "ReadyAddress": a[1], "AdminAddress": a[2], "PeerAddress": a[3], "StoreAddress": store,
		"Machine": map[string]any{"MemoryMegabytes": 284, "Descriptors": 4100, "Cores": 1},
		"Bounds": map[string]any{
			"Revocation": 5000, "ConfigApply": 2000, "Drain": 2000, "GraceSeconds": 8, "SessionSeconds": 5, "ExposureShare": 0.15, "ExposureSlack": 30,
			"RetryShare": 0.9, "RetrySlack": 58, "RetryWindowSeconds": 10,
		},
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	in.cmd = exec.Command("target/carawayknotd", "entry")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYKNOT_BOOT=" + file}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = in.cmd.Wait()
		close(in.done)
	}()
	return in, nil
}

// AwaitReady waits until the instance reports itself ready.
func (in *Instance) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		resp, err := http.Get("http://" + in.Ready + "/-/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-in.done:
			return fmt.Errorf("%s has ended", in.Name)
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready", in.Name)
		}
	}
}

// Stop ends the process with SIGTERM, or with SIGKILL if that takes too long.
func (in *Instance) Stop() {
	_ = in.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-in.done:
	case <-time.After(stopTimeout):
		_ = in.cmd.Process.Kill()
		<-in.done
	}
}

// Kill ends the process at once.
func (in *Instance) Kill() {
	_ = in.cmd.Process.Kill()
	<-in.done
}

// cleanUp removes the folder of a case unless KEEP names another one for it.
func cleanUp(dir string) {
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(dir, keep)
		return
	}
	_ = os.RemoveAll(dir)
}
