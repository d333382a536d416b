package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath/internal/loopback"
)

// zones are those of the sheet.
var zones = []string{"santiago-a", "santiago-b", "santiago-c"}

// daemon is one process of the system.
type daemon struct {
	name, ip, front, ready, control string
	zone                            string
	world                           *world
	cmd                             *exec.Cmd
	log                             *os.File
}

// newDaemon chooses free addresses for a daemon. Each has an IP address of its own, because the port of
// its operators' endpoint is fixed.
func newDaemon(w *world, index int) (*daemon, error) {
	own := net.ParseIP(loopback.Addr()).To4()
	own[1] = 128 + own[1]&0x3f // apart from the address of this process
	ip := net.IPv4(own[0], own[1], own[2]^byte(index+1), own[3]).String()
	zone := zones[index%len(zones)]
	d := &daemon{name: fmt.Sprintf("edge-pozo-%s-%d", zone, 1+index/len(zones)), ip: ip, zone: zone, world: w}
	for _, addr := range []*string{&d.front, &d.ready, &d.control} {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		*addr = ln.Addr().String()
		defer ln.Close() // at the end, so that the three differ
	}
	return d, nil
}

// placeholder is a value in the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`)

// settings fills in the deploy file's template with the values of a small deployment's sheet.
func (d *daemon) settings(seeds []string) ([]byte, error) {
	template, err := os.ReadFile(d.world.template)
	if err != nil {
		return nil, err
	}
	values := map[string]any{
		"Node": d.name, "Zone": d.zone, "Ip": d.ip, "Seeds": seeds, "Bootstrap": true,
		"Listen.Front": d.front, "Listen.Ready": d.ready, "Listen.Control": d.control,
		"Platform.Address": d.world.storeLn.Addr().String(),
		"Limits.CpuShare":  0.4, "Limits.Cores": 1, "Limits.LinkMbps": 1000.0,
		"Bounds.RevokeMs": revokeTime.Milliseconds(), "Bounds.ConfigDeadlineMs": 2000, "Bounds.GraceS": 8,
		"Bounds.RetryBudgetRatio": 0.2, "Bounds.BudgetWindowS": 10, "Bounds.BudgetSlack": 56,
		"Bounds.QuotaOvershoot": 0.1, "Bounds.QuotaSlack": 190000, "Bounds.QuotaWindowS": 8,
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(template), func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		v, ok := values[m[1]]
		if !ok {
			missing = fmt.Errorf("no value for %s", text)
		}
		b, err := json.Marshal(v)
		if err != nil {
			missing = err
		}
		if m[2] == "" {
			return strings.Trim(string(b), `"`)
		}
		return string(b)
	})
	return []byte(out), missing
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(seeds []string) error {
	b, err := d.settings(seeds)
	if err != nil {
		return err
	}
	file := filepath.Join(d.world.dir, d.name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	if d.log, err = os.Create(filepath.Join(d.world.dir, d.name+".log")); err != nil {
		return err
	}
	d.cmd = exec.Command(d.world.program, "run", "--settings", file)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	return d.cmd.Start()
}

// isReady reports whether the platform's balancer would send requesters to the daemon.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	// Errors mean that it has ended.
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.log.Close()
}
