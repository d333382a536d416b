package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fireflypath/fireflypath/internal/loopback"
)

// Times in the daemons' settings, which the invariants depend on.
const (
	revocationDelay  = 5 * time.Second
	activationDelay  = 2 * time.Second
	drainTime        = 2 * time.Second
	terminationGrace = 4 * time.Second
	// stableTime is how long after a fault a daemon may exceed these times.
	stableTime = 4 * time.Second
)

// process is one daemon. It is restarted with the same name and addresses.
type process struct {
	name         string
	program      string
	settingsFile string
	log          *os.File
	callerAddr   string
	readyAddr    string
	// source is the address from which the daemon connects to targets.
	source net.IP
	store  *proxy

	// busy is true while a fault has acquired the daemon. If two faults restarted it at
	// the same time, they would start two processes, of which the first would never be
	// stopped.
	busy atomic.Bool
	// starved is true while the fault that has acquired the daemon only gives it little processor time.
	starved atomic.Bool
	// disturbedAt is when a fault of this daemon last started or ended, in Unix
	// nanoseconds.
	disturbedAt atomic.Int64

	// stopping is true if the test is stopping the process, so that its exit is expected.
	stopping atomic.Bool
	// onError is called with errors that happen outside of a method call, such as an
	// unexpected exit.
	onError func(error)

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
}

// sourceOf returns the address from which a daemon connects to targets.
func sourceOf(daemon int) net.IP { return net.IPv4(127, 0, 2, byte(1+daemon)) }

func newProcess(index int, dir, program, name, storeAddr string, seeds []string, ports [4]int, kept *ports) (*process, error) {
	p, err := newProxy(kept, storeAddr)
	if err != nil {
		return nil, err
	}
	addr := func(i int) string { return loopback.Addr() + ":" + strconv.Itoa(ports[i]) }
	settings := map[string]any{
		"name": name, "domain": "a", "host": map[string]any{"source": sourceOf(index).String(), "memory": daemonMemory},
		"listen":   map[string]any{"callers": addr(0), "ready": addr(1), "peers": addr(2), "operators": addr(3)},
		"platform": map[string]any{"addr": p.addr(), "timeout": "800ms"},
		"peers":    map[string]any{"seeds": seeds, "plain": true},
		"gate": map[string]any{
			"revoked": revocationDelay.String(), "force": activationDelay.String(), "grace": terminationGrace.String(),
			"retries": map[string]any{"ratio": 1, "window": "10s", "allowance": 100},
			"quotas":  map[string]any{},
		},
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".jsonc")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{name: name, program: program, settingsFile: file, log: log, callerAddr: addr(0), readyAddr: addr(1), source: sourceOf(index), store: p}, nil
}

// markDisturbed records that a fault of this daemon started or ended.
func (p *process) markDisturbed() { p.disturbedAt.Store(time.Now().UnixNano()) }

// isStable reports whether the daemon had no fault recently, so that it must meet its
// times. That it gets little processor time is no excuse.
func (p *process) isStable() bool {
	return (!p.busy.Load() || p.starved.Load()) && time.Since(time.Unix(0, p.disturbedAt.Load())) > stableTime
}

func (p *process) start() error {
	p.markDisturbed()
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program, "run", "--settings", p.settingsFile)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	p.stopping.Store(false)
	go func() {
		err := cmd.Wait()
		close(done)
		if !p.stopping.Load() {
			p.restartAfterExit(err)
		}
	}()
	return nil
}

// restartDelay is the time after which the platform restarts a process that exited.
const restartDelay = 200 * time.Millisecond

// restartAfterExit restarts a process that exited unexpectedly and reports the exit as an
// error of the daemon. The exception is an exit by SIGHUP: a reload signal that arrives
// before the program is loaded terminates any process.
func (p *process) restartAfterExit(err error) {
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGHUP {
		p.onError(fmt.Errorf("%s exited unexpectedly: %w", p.name, err))
	}
	time.Sleep(restartDelay)
	if p.stopping.Load() {
		return
	}
	if err := p.start(); err != nil {
		p.onError(err)
	}
}

// acquire reserves the process for one fault. It reports false if another fault has it.
func (p *process) acquire() bool { return p.busy.CompareAndSwap(false, true) }

func (p *process) release() { p.busy.Store(false) }

// signal sends a signal to the process. A process that has exited is not an error.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s to %s, process %d: %w", s, p.name, p.cmd.Process.Pid, err)
	}
	return nil
}

// killTimeout is how long a process may take to exit after SIGKILL.
const killTimeout = 10 * time.Second

// stop sends the signal and waits until the process exits. A process that does not exit
// within twice its grace time is killed, and stop returns an error, because a planned stop
// that hangs is a fault of the daemon.
func (p *process) stop(s syscall.Signal) error {
	p.stopping.Store(true)
	err := p.signal(s)
	p.mu.Lock()
	done, pid := p.done, p.cmd.Process.Pid
	p.mu.Unlock()
	select {
	case <-done:
		return err
	case <-time.After(2 * terminationGrace):
	}
	late := fmt.Errorf("%s, process %d, still runs %v after %s", p.name, pid, 2*terminationGrace, s)
	err = errors.Join(err, late, p.signal(syscall.SIGKILL))
	select {
	case <-done:
		return err
	case <-time.After(killTimeout):
		return errors.Join(err, fmt.Errorf("%s, process %d, did not exit after SIGKILL", p.name, pid))
	}
}

// restart stops the process with a signal and starts it again after the time down.
func (p *process) restart(s syscall.Signal, down time.Duration) error {
	err := p.stop(s)
	time.Sleep(down)
	return errors.Join(err, p.start())
}

// isReady reports whether a load balancer would send callers to the daemon.
func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.readyAddr + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logTail returns the end of the daemon's log.
func (p *process) logTail() string {
	b, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxLogTail):])
}

// maxLogTail limits how much of a log is included in an error.
const maxLogTail = 2 << 10

func (p *process) kill() error {
	err := errors.Join(p.signal(syscall.SIGCONT), p.stop(syscall.SIGKILL))
	p.store.close()
	p.log.Close()
	return err
}
