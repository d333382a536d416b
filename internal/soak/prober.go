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
	// probeEvery is the pause between two looks at a daemon's configuration.
	probeEvery = 100 * time.Millisecond
	// forceSlack is what a request takes besides.
	forceSlack = 300 * time.Millisecond
	// backSlack is how long after a newer configuration was seen an older one may
	// still answer.
	backSlack = 250 * time.Millisecond
)

// prober asks each daemon for the route that only the newest version has, and
// for the one before, which that took away.
type prober struct {
	ledger *ledger
	names  fireflypath.Headers
	client *http.Client

	mu sync.Mutex
	// number is that of the newest route, since when it was written.
	number int
	since  time.Time
}

// route is the route of a number.
func (p *prober) route(n int) fireflypath.Route {
	r := routes()[1]
	r.Name, r.Prefix, r.Public = fmt.Sprintf("probe%d", n), fmt.Sprintf("/probe%d/", n), true
	return r
}

// next makes a new route the newest.
func (p *prober) next() fireflypath.Route {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	p.since = time.Now()
	return p.route(p.number)
}

// newest is the number of the newest route.
func (p *prober) newest() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.number
}

// run watches one daemon. calm is false while it may rightly lag.
func (p *prober) run(ctx context.Context, d *process, calm func() bool) {
	seen, at := 0, time.Time{}
	for i := 0; ctx.Err() == nil; i++ {
		sleep(ctx, probeEvery)
		p.mu.Lock()
		n, since := p.number, p.since
		p.mu.Unlock()
		sent := time.Now()
		status := p.get(ctx, d, n, fmt.Sprintf("%s-%d", d.name, i))
		switch {
		case status == http.StatusOK && n >= seen:
			if n > seen {
				seen, at = n, time.Now()
			}
		case status == http.StatusNotFound && p.newest() != n:
			// A newer configuration took the route away while the question was on its way.
		case status == http.StatusNotFound && n == seen:
			p.ledger.check(promiseForward, false, "%s took version %d back", d.name, n)
		case status == http.StatusNotFound && sent.Sub(since) > forceTime+forceSlack && calm():
			p.ledger.check(promiseForward, false, "%s does not know version %d after %v", d.name, n, sent.Sub(since))
		}
		p.ledger.check(promiseForward, true, "")
		if seen > 1 && time.Since(at) > backSlack {
			old := p.get(ctx, d, seen-1, fmt.Sprintf("%s-%d-old", d.name, i))
			p.ledger.check(promiseForward, old != http.StatusOK, "%s went back to version %d from %d", d.name, seen-1, seen)
		}
	}
}

// get asks for a numbered route and returns the status, 0 without an answer.
func (p *prober) get(ctx context.Context, d *process, n int, id string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/probe%d/", d.callers, n)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Host = host
	id = strings.ReplaceAll(id, "/", "-")
	r.Header.Set(p.names.ID, id)
	r.Header.Set(p.names.Deadline, "900")
	p.ledger.send(id, &sent{at: time.Now()})
	resp, err := p.client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
