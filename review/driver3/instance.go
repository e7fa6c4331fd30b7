//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"time"
)

// Settings like those of a small deployment.
const settingsFormat = `{
 "Name": %q, "Zone": %q, "CallerAddress": %q, "ReadyAddress": %q, "AdminAddress": %q, "PeerAddress": %q, "StoreAddress": %q,
 "Machine": {"MemoryMegabytes": 284, "Descriptors": 4100, "Cores": 1},
 "Bounds": {"Revocation": 5000, "ConfigApply": 2000, "Drain": 2000, "GraceSeconds": 8, "SessionSeconds": 5, "ExposureShare": 0.15,
  "ExposureSlack": 30, "RetryShare": 0.9, "RetrySlack": 54, "RetryWindowSeconds": 10}
}`

// command is that of the deploy file.
var command = []string{"target/carawayknotd", "entry"}

// instance is a process of the router.
type instance struct {
	name, caller, ready string
	settings, output    string
	process             *exec.Cmd
	exited              chan struct{}
}

// startInstance writes the settings of an instance and starts it.
func startInstance(r *run, name, zone, storeAddress string) (*instance, error) {
	addresses, err := freeAddresses(len(r.instances), 4)
	if err != nil {
		return nil, err
	}
	in := &instance{name: name, caller: addresses[0], ready: addresses[1], settings: r.path(name + ".json"), output: r.path(name + ".log")}
	text := fmt.Sprintf(settingsFormat, name, zone, addresses[0], addresses[1], addresses[2], addresses[3], storeAddress)
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return in, in.start()
}

// freeAddresses returns addresses with ports that were free, on a loopback address that no other instance uses, so that no other socket
// takes a port in between.
func freeAddresses(instance, n int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff, 1+instance)
	var addresses []string
	for range n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (in *instance) start() error {
	out, err := os.OpenFile(in.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYKNOT_BOOT=" + in.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	in.process, in.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(in.exited)
	return nil
}

// signal sends a signal to the process.
func (in *instance) signal(s os.Signal) { _ = in.process.Process.Signal(s) }

// kill ends the process and waits for its end.
func (in *instance) kill() {
	_ = in.process.Process.Kill()
	<-in.exited
}

// isReady reports whether the platform's check of the instance gets a 200.
func (in *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + in.ready + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
