package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/fireflypath/fireflypath/platform"
)

const (
	// largeBodySize is the largest body that a route takes, in bytes, and largeAnswerSize the size of
	// the answers to slow readers.
	largeBodySize   = 4 << 20
	largeAnswerSize = 200 << 10
	// slowReadBuffer is the receive buffer of a slow reader in bytes, slowReadInterval its time between
	// two bytes.
	slowReadBuffer   = 4 << 10
	slowReadInterval = 50 * time.Millisecond
	// slowReaderPause is the pause of a slow reader after a refusal.
	slowReaderPause = time.Second
	// daemonMemory is the memory of a daemon in MB, above which its host would end it.
	daemonMemory = 128
	// memoryInterval is how often the memory of the daemons is read.
	memoryInterval = 200 * time.Millisecond
	// slowReaderPrefix begins the ids of the requests of slow readers.
	slowReaderPrefix = "slow-"
)

// largeBody is shared by all slow readers, so that the history holds it once.
var largeBody = sync.OnceValue(func() string { return strings.Repeat("x", largeBodySize) })

// sendSlowRequests sends large bodies and reads a byte of the answers now and then.
func (r *run) sendSlowRequests(ctx context.Context, n int) {
	c := &caller{
		index: n, headers: platform.Codec{}.Headers(), history: r.history, daemons: r.daemons, keys: r.keys,
		client: slowClient(), rnd: rand.New(rand.NewPCG(r.options.Seed, uint64(10_000+n))), crowd: &r.crowd,
	}
	for i := 0; ctx.Err() == nil; i++ {
		c.sendSlowRequest(ctx, fmt.Sprintf("%s%d-%d", slowReaderPrefix, n, i), paths[c.rnd.IntN(len(paths))])
	}
}

// slowClient opens connections that take little before they are read.
func slowClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
	}}}
}

func (c *caller) sendSlowRequest(ctx context.Context, id, path string) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	r, d, err := c.newRequest(ctx, id, path, largeBody(), c.keys.random(c.rnd))
	if err != nil {
		return
	}
	c.history.recordRequest(id, &request{
		atMostOnce: path == "/once/" || path == "/stream/", body: largeBody(), sentAt: time.Now(), key: r.Header.Get(c.headers.Key), daemon: d,
	})
	resp, err := c.client.Do(r)
	if err != nil {
		return // a closed connection says nothing about whether the request ran
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.checkResponse(id, false, resp, "", nil)
		sleep(ctx, slowReaderPause)
		return
	}
	b := make([]byte, 1)
	for err == nil {
		_, err = resp.Body.Read(b)
		sleep(ctx, slowReadInterval)
	}
	c.history.check(invariantComplete, !errors.Is(err, io.EOF) || !isWhole(path), "%s was read to its end within its time", id)
}

func isWhole(path string) bool { return path == "/once/" || path == "/safe/" }

// watchMemory checks the memory of the daemons until the end of the run.
func (r *run) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		for _, d := range r.daemons {
			peak, ok := d.peakMemory()
			r.history.check(invariantMemory, !ok || peak <= daemonMemory<<10, "%s has taken %d KB, its host has %d MB", d.name, peak, daemonMemory)
		}
		sleep(ctx, memoryInterval)
	}
}

// peakMemory returns the most resident memory that the process has had, in KB. It reports false if the
// process does not run.
func (p *process) peakMemory() (kilobytes int, ok bool) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0, false
	}
	_, text, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, false // it has ended and was not waited for yet
	}
	n, err := fmt.Sscan(text, &kilobytes)
	return kilobytes, n == 1 && err == nil
}
