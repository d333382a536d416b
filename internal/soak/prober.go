package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// probeInterval is the time between two probes of a daemon's configuration.
	probeInterval = 100 * time.Millisecond
	// probeMargin is added to activationDelay for the duration of the probe itself.
	probeMargin = 300 * time.Millisecond
	// rollbackMargin is how long an older configuration may still be served after a
	// newer one was observed.
	rollbackMargin = 250 * time.Millisecond
)

// prober detects which version of the configuration a daemon uses. Each version has one
// numbered route of its own that the next version removes; the prober requests the newest
// route and the one before it.
type prober struct {
	history *history
	headers fireflypath.Headers
	client  *http.Client

	mu sync.Mutex
	// number is the number of the newest route, createdAt the time when it was written.
	number    int
	createdAt time.Time
}

// route returns the route with a number.
func (p *prober) route(n int) fireflypath.Route {
	r := routes()[1]
	r.Name, r.Prefix, r.Public = fmt.Sprintf("probe%d", n), fmt.Sprintf("/probe%d/", n), true
	return r
}

// next begins the next number.
func (p *prober) next() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	p.createdAt = time.Now()
}

// newest returns the number of the newest route.
func (p *prober) newest() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.number
}

// run probes one daemon. While stable returns false, the daemon may use an outdated
// configuration.
func (p *prober) run(ctx context.Context, d *process, stable func() bool) {
	seen, seenAt := 0, time.Time{}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, probeInterval)
		p.mu.Lock()
		n, createdAt := p.number, p.createdAt
		p.mu.Unlock()
		sentAt := time.Now()
		status := p.get(ctx, d, n, fmt.Sprintf("%s-%d", d.name, i))
		switch {
		case status == http.StatusOK && n >= seen:
			if n > seen {
				seen, seenAt = n, time.Now()
			}
		case status == http.StatusNotFound && p.newest() != n:
			// A newer configuration removed the route during the probe.
		case status == http.StatusNotFound && n == seen:
			p.history.check(invariantVersion, false, "%s took version %d back", d.name, n)
		case status == http.StatusNotFound && sentAt.Sub(createdAt) > activationDelay+probeMargin && stable():
			p.history.check(invariantVersion, false, "%s does not serve version %d after %v", d.name, n, sentAt.Sub(createdAt))
		}
		p.history.check(invariantVersion, true, "")
		if seen > 1 && time.Since(seenAt) > rollbackMargin {
			old := p.get(ctx, d, seen-1, fmt.Sprintf("%s-%d-old", d.name, i))
			p.history.check(invariantVersion, old != http.StatusOK, "%s went back to version %d from %d", d.name, seen-1, seen)
		}
	}
}

// get requests the route with a number and returns the status, or 0 without a response.
func (p *prober) get(ctx context.Context, d *process, n int, id string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/probe%d/", d.callerAddr, n)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Host = host
	id = strings.ReplaceAll(id, "/", "-")
	r.Header.Set(p.headers.ID, id)
	r.Header.Set(p.headers.Deadline, "900")
	p.history.recordRequest(id, &request{sentAt: time.Now()})
	resp, err := p.client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
