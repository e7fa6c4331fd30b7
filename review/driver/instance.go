//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// entryCommand is the command of the role entry in deploy/system.toml.
	entryCommand = "target/carawayknotd entry"
	// settingsTemplate is the template that deploy/system.toml names for that role.
	settingsTemplate = "deploy/settings.json"
	// settingsEnv is the variable with the path of the settings file.
	settingsEnv = "CARAWAYKNOT_BOOT"
	// memoryMB is memoryMb in the settings of the machines of kchl-bookings.
	memoryMB     = 284
	readyTimeout = 20 * time.Second
)

// machineSettings are the fields of the settings of kchl-bookings that are the same on all machines.
var machineSettings = map[string]string{
	"limits.memoryMb": strconv.Itoa(memoryMB), "limits.maxFds": "4100", "limits.cpuCores": "1",
	"bounds.revokeMs": "5000", "bounds.configApplyMs": "2000", "bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.sessionS": "5",
	"bounds.exposureShare": "0.15", "bounds.exposureSlack": "30", "bounds.retryRatio": "0.9", "bounds.retrySlack": "58",
	"bounds.retryWindowS": "10",
}

// instance is an entry machine, whose process may be killed and started again.
type instance struct {
	name, frontend, ready, settings string
	rec                             *record
	logs                            *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newInstance writes the settings of a machine with its own loopback address, as the platform fills in the template.
func newInstance(rec *record, dir string, n int, zone, store string) (*instance, error) {
	name := fmt.Sprintf("edge-%s-%d", zone, n)
	ip := fmt.Sprintf("127.77.%d.%d", 1+os.Getpid()%250, n)
	var ports [3]string
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	in := &instance{name: name, frontend: ip + ":" + ports[0], ready: ip + ":" + ports[1], settings: filepath.Join(dir, name+".json"), rec: rec}
	fields := map[string]string{
		"nodeName": strconv.Quote(name), "zone": strconv.Quote(zone), "listenAddrs.frontend": strconv.Quote(in.frontend),
		"listenAddrs.ready": strconv.Quote(in.ready), "platform.address": strconv.Quote(store),
	}
	for field, value := range machineSettings {
		fields[field] = value
	}
	b, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer("{{ip}}", ip, "{{internalPortRange.0}}", ports[2]).Replace(withoutSections(string(b)))
	for field, value := range fields {
		text = strings.ReplaceAll(text, "{{"+field+"|json}}", value)
	}
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	in.logs, err = os.Create(filepath.Join(dir, name+".log"))
	return in, err
}

// withoutSections removes the sections of a template: the platform of the cases sets none of the values on which they depend.
func withoutSections(text string) string {
	for {
		before, rest, found := strings.Cut(text, "{{#")
		if !found {
			return text
		}
		name, rest, _ := strings.Cut(rest, "}}")
		_, after, closed := strings.Cut(rest, "{{/"+name+"}}")
		if !closed {
			return text
		}
		text = before + after
	}
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	return port, err
}

// start starts the process and waits until it reports that it is ready.
func (in *instance) start() error {
	words := strings.Fields(entryCommand)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsEnv + "=" + in.settings}
	cmd.Stdout, cmd.Stderr = in.logs, in.logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.done = cmd, done
	in.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	in.rec.printf("%s starts, process %d", in.name, cmd.Process.Pid)
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + in.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			in.rec.printf("%s is ready", in.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", in.name, readyTimeout)
}

// kill sends SIGKILL to the process and waits for its end.
func (in *instance) kill() {
	in.mu.Lock()
	cmd, done := in.cmd, in.done
	in.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// residentMB returns the resident memory of the process, in megabytes of 2^20 bytes, or 0 if it doesn't run.
func (in *instance) residentMB() int {
	in.mu.Lock()
	cmd := in.cmd
	in.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
