package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fireflypath/fireflypath/internal/loopback"
)

// program is what the deploy file builds and runs.
const program = "target/fireflypathd"

// Bounds of the small installations, as their pages give them.
const (
	revokeTime     = 5 * time.Second
	configDeadline = 2 * time.Second
	drainTime      = 2 * time.Second
	graceTime      = 8 * time.Second
	retryRatio     = 0.2
	retryWindow    = 10 * time.Second
	retrySlack     = 56
	quotaOvershoot = 0.1
	quotaSlack     = 190_000
	quotaWindow    = 8 * time.Second
)

// daemon is one process of the deploy file.
type daemon struct {
	name, domain                     string
	callers, ready, peers, operators string
	settings                         string
	log                              *os.File
	// reserved keeps the ports until the first start.
	reserved []net.Listener

	mu  sync.Mutex
	cmd *exec.Cmd
}

func newDaemon(name, domain string) (*daemon, error) {
	d := &daemon{name: name, domain: domain}
	for _, addr := range []*string{&d.callers, &d.ready, &d.peers, &d.operators} {
		ln, err := net.Listen("tcp", loopback.ListenAddr())
		if err != nil {
			return nil, err
		}
		*addr = ln.Addr().String()
		d.reserved = append(d.reserved, ln)
	}
	return d, nil
}

// writeSettings writes what the platform renders from the deploy file's template.
func (d *daemon) writeSettings(dir, storeAddr string, seeds []string) error {
	type object = map[string]any
	b, err := json.Marshal(object{
		"name": d.name, "domain": d.domain,
		"listen":   object{"callers": d.callers, "ready": d.ready, "peers": d.peers, "operators": d.operators},
		"platform": object{"addr": storeAddr, "timeout": "800ms"},
		"peers":    object{"seeds": seeds, "plain": true, "bootstrap": true},
		"host":     object{"cpu": 0.4, "cores": 1, "link": 1000.0},
		"gate": object{
			"revoked": revokeTime.String(), "force": configDeadline.String(), "grace": graceTime.String(),
			"retries": object{"ratio": retryRatio, "window": retryWindow.String(), "allowance": retrySlack},
			"quotas":  object{"over": quotaOvershoot, "slack": quotaSlack, "window": quotaWindow.String()},
			"fair":    true, "lend": true, "returns": true,
		},
		"limits": object{"waiting": 32 << 20}, "records": object{"bytes": 2 << 20}, "log": "info",
	})
	if err != nil {
		return err
	}
	d.settings = filepath.Join(dir, d.name+".json")
	if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
		return err
	}
	return os.WriteFile(d.settings, b, 0o600)
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ln := range d.reserved {
		ln.Close()
	}
	d.reserved = nil
	d.cmd = exec.Command(program, "run", "--settings", d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

// kill ends the process if it runs.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.log.Close()
}

// isReady reports what the daemon tells the balancer.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
